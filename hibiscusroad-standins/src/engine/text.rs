//! The text that the engine generates, which anyone can work out again.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the token at `index` of the answer to `prompt`: a space and four
/// hexadecimal digits.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    format!(" {:04x}", hash & 0xffff)
}

/// Returns the tokens `from` to `to` of the answer to `prompt`.
#[must_use]
pub fn answer(prompt: &str, from: u64, to: u64) -> String {
    (from..to).map(|index| token(prompt, index)).collect()
}

/// Returns how many tokens a prompt has: its words, and at least one.
#[must_use]
pub fn count(prompt: &str) -> u64 {
    prompt.split_whitespace().count().max(1) as u64
}
