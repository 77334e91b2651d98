//! The generated text, which depends on the prompt only, so that tests can recompute it.

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

/// Returns the number of tokens of a prompt: one per word, at least one.
#[must_use]
pub fn count(prompt: &str) -> u64 {
    prompt.split_whitespace().count().max(1) as u64
}
