//! Reassembly of an answer from its chunks.
//!
//! A connection may be replaced during an answer, and the sidecar then resends
//! from the requested offset. Chunks of both connections can arrive interleaved,
//! so each is placed by its offset alone: bytes that were received before are
//! skipped, and a chunk after a gap is rejected, because the gap would corrupt
//! the caller's answer unnoticed.

/// The outcome of adding a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkOutcome {
    /// These bytes are new and follow the last ones received.
    New(Vec<u8>),
    /// All of its bytes were received before.
    Duplicate,
    /// Bytes before it are missing.
    Gap,
}

/// The outcome of checking the declared end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndOutcome {
    /// The answer is complete.
    Complete,
    /// Bytes are missing.
    Missing,
    /// More bytes were received than declared.
    Excess,
}

/// Tracks the contiguous bytes received of one answer.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    offset: u64,
}

impl Assembly {
    /// Returns the number of contiguous bytes received.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// Adds a chunk that starts at `offset`.
    pub fn chunk(&mut self, offset: u64, mut data: Vec<u8>) -> ChunkOutcome {
        let Some(received) = self.offset.checked_sub(offset) else {
            return ChunkOutcome::Gap;
        };
        let Ok(received) = usize::try_from(received) else {
            return ChunkOutcome::Duplicate;
        };
        if received >= data.len() {
            return ChunkOutcome::Duplicate;
        }
        data.drain(..received);
        self.offset += data.len() as u64;
        ChunkOutcome::New(data)
    }

    /// Checks an end that declares `length` bytes.
    #[must_use]
    pub const fn end(&self, length: u64) -> EndOutcome {
        if length == self.offset {
            EndOutcome::Complete
        } else if length > self.offset {
            EndOutcome::Missing
        } else {
            EndOutcome::Excess
        }
    }
}
