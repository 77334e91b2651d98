//! The prefix cache, which remembers processed blocks of prompts.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of tokens in a block.
pub const BLOCK_TOKENS: u64 = 16;

/// A cache of prompt prefixes that evicts the least recently used blocks.
#[derive(Debug)]
pub struct Cache {
    /// The last use of each block, by the hash of the prompt up to its end.
    last_uses: HashMap<u64, u64>,
    max_blocks: usize,
    use_count: u64,
}

impl Cache {
    /// Creates an empty cache that holds `tokens` tokens.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self {
            last_uses: HashMap::new(),
            max_blocks: usize::try_from(tokens / BLOCK_TOKENS).unwrap_or(usize::MAX),
            use_count: 0,
        }
    }

    /// Returns the length of the prompt's cached prefix in tokens, and caches the prompt.
    pub fn lookup(&mut self, prompt: &str) -> u64 {
        let words: Vec<&str> = prompt.split_whitespace().collect();
        let mut hash = 0;
        let mut hits = 0;
        let mut missed = false;
        for block in words.chunks_exact(usize::try_from(BLOCK_TOKENS).unwrap_or(1)) {
            hash = xxh3_64_with_seed(block.join(" ").as_bytes(), hash);
            self.use_count += 1;
            let is_cached = self.last_uses.insert(hash, self.use_count).is_some();
            missed |= !is_cached;
            hits += u64::from(!missed);
        }
        self.evict();
        hits * BLOCK_TOKENS
    }

    /// Returns the free capacity in tokens.
    #[must_use]
    pub fn free_tokens(&self) -> u64 {
        self.max_blocks.saturating_sub(self.last_uses.len()) as u64 * BLOCK_TOKENS
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.last_uses.clear();
    }

    /// Removes the least recently used blocks in excess of the capacity.
    fn evict(&mut self) {
        let Some(excess) = self.last_uses.len().checked_sub(self.max_blocks + 1) else {
            return;
        };
        let mut uses: Vec<u64> = self.last_uses.values().copied().collect();
        let (_, last, _) = uses.select_nth_unstable(excess);
        let last = *last;
        self.last_uses.retain(|_, used| *used > last);
    }
}
