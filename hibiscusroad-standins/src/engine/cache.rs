//! The prefix cache: blocks of prompts that need not be read again.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of a block.
pub const BLOCK: u64 = 16;

/// Blocks by the hash of the whole prompt up to their end.
#[derive(Debug)]
pub struct Cache {
    blocks: HashMap<u64, u64>,
    capacity: usize,
    uses: u64,
}

impl Cache {
    /// Creates an empty cache of `tokens` tokens.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self {
            blocks: HashMap::new(),
            capacity: usize::try_from(tokens / BLOCK).unwrap_or(usize::MAX),
            uses: 0,
        }
    }

    /// Returns how many tokens of the prompt's start are cached, and caches it.
    pub fn read(&mut self, prompt: &str) -> u64 {
        let words: Vec<&str> = prompt.split_whitespace().collect();
        let mut hash = 0;
        let mut hits = 0;
        let mut missed = false;
        for block in words.chunks_exact(usize::try_from(BLOCK).unwrap_or(1)) {
            hash = xxh3_64_with_seed(block.join(" ").as_bytes(), hash);
            self.uses += 1;
            let known = self.blocks.insert(hash, self.uses).is_some();
            missed |= !known;
            hits += u64::from(!missed);
        }
        self.evict();
        hits * BLOCK
    }

    /// Returns how many more tokens fit in.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.blocks.len()) as u64 * BLOCK
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.blocks.clear();
    }

    // Removes the blocks used longest ago.
    fn evict(&mut self) {
        let Some(excess) = self.blocks.len().checked_sub(self.capacity + 1) else {
            return;
        };
        let mut uses: Vec<u64> = self.blocks.values().copied().collect();
        let (_, last, _) = uses.select_nth_unstable(excess);
        let last = *last;
        self.blocks.retain(|_, used| *used > last);
    }
}
