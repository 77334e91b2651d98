//! The plain policy: all groups of a step start at once, and the batch is
//! delivered when all have finished.

use hibiscusroad::train::Span;

/// A finished sample of the current step.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) tokens: f64,
    pub(super) spans: Vec<Span>,
    pub(super) started_at: f64,
}

/// The state of one trainer under the plain policy.
#[derive(Clone, Debug, Default)]
pub(super) struct PlainRun {
    pub(super) finished: Vec<Sample>,
    pub(super) started: bool,
    pub(super) wasted_tokens: f64,
}
