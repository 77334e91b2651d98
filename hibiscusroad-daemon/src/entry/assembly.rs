//! The bytes of one answer, in order.
//!
//! A link may be replaced while an answer is under way, and the side then sends
//! again from the offset it is asked for. Frames of both links can arrive mixed,
//! so that each chunk is judged by its offset alone: what was taken before is
//! skipped, and what leaves a hole is not taken at all. A hole would make a
//! caller's answer wrong without any sign of it; asking again from the last
//! good offset costs one round trip.

/// What became of a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkOutcome {
    /// These bytes are new and follow the last ones.
    New(Vec<u8>),
    /// All of it was taken before.
    Duplicate,
    /// Bytes before it are missing.
    Gap,
}

/// What became of the declared end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndOutcome {
    /// The answer is whole.
    Complete,
    /// Bytes are missing.
    Missing,
    /// More bytes came than were declared.
    Excess,
}

/// Counts the bytes of one answer.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    offset: u64,
}

impl Assembly {
    /// Returns the number of bytes taken.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// Judges a chunk that begins at `offset`.
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

    /// Judges an end that declares `length` bytes.
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
