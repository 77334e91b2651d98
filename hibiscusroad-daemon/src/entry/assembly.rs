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
pub enum Taken {
    /// These bytes are new and follow the last ones.
    New(Vec<u8>),
    /// All of it was taken before.
    Old,
    /// Bytes before it are missing.
    Gap,
}

/// What became of the declared end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The answer is whole.
    Whole,
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
    pub fn chunk(&mut self, offset: u64, mut data: Vec<u8>) -> Taken {
        let Some(known) = self.offset.checked_sub(offset) else {
            return Taken::Gap;
        };
        let Ok(known) = usize::try_from(known) else {
            return Taken::Old;
        };
        if known >= data.len() {
            return Taken::Old;
        }
        data.drain(..known);
        self.offset += data.len() as u64;
        Taken::New(data)
    }

    /// Judges an end that declares `length` bytes.
    #[must_use]
    pub const fn end(&self, length: u64) -> Ending {
        if length == self.offset {
            Ending::Whole
        } else if length > self.offset {
            Ending::Missing
        } else {
            Ending::Excess
        }
    }
}
