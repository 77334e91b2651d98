//! Lengths of the texts that engines generate.

use std::time::Duration;

/// Number of events of a text where all texts are alike.
pub(super) const EVENT_COUNT: u64 = 20;
/// Number of events of a text where writes of texts are late; it takes longer than a delay.
pub(super) const LONG_EVENT_COUNT: u64 = 240;
/// How many events engines send together where writes of texts are late, so that pieces of
/// different runs end at the same events. They take longer than the time between two saves.
pub(super) const BURST: u64 = 20;
/// Range of the number of events of most texts, where lengths differ.
const USUAL_EVENTS: std::ops::Range<u64> = 5..35;
/// Range of the number of events of long texts, ten times as many as usual.
const LONG_EVENTS: std::ops::Range<u64> = 150..210;
/// How long engines read most prompts, and long ones.
const USUAL_PROMPT: Duration = Duration::from_millis(60);
const LONG_PROMPT: Duration = Duration::from_millis(800);
/// One in this many texts is long, and so is one in this many prompts.
const LONG_INTERVAL: u64 = 25;

/// Returns the number of events of any text.
pub(super) const fn equal_length(_id: &str) -> u64 {
    EVENT_COUNT
}

/// Returns the number of events of any text where writes of texts are late.
pub(super) const fn long_length(_id: &str) -> u64 {
    LONG_EVENT_COUNT
}

/// Returns the number of events of the text of an item, which follows from its id.
pub(super) fn drawn_length(id: &str) -> u64 {
    let hash = hash(id);
    let range = if hash.is_multiple_of(LONG_INTERVAL) {
        LONG_EVENTS
    } else {
        USUAL_EVENTS
    };
    range.start + hash / LONG_INTERVAL % (range.end - range.start)
}

/// Returns how long an engine reads the prompt of an item, which follows from its id.
pub(super) fn prompt_duration(id: &str) -> Duration {
    if (hash(id) / LONG_INTERVAL).is_multiple_of(LONG_INTERVAL) {
        LONG_PROMPT
    } else {
        USUAL_PROMPT
    }
}

/// Returns the FNV-1a hash of a text, mixed so that similar ids differ in all bits.
fn hash(id: &str) -> u64 {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 17
}
