//! The plain policy: a step's groups at once, and the batch when all are done.

use hibiscusroad::train::Span;

/// One sample of the step that is being generated.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) tokens: f64,
    pub(super) spans: Vec<Span>,
    pub(super) begun: f64,
}

/// One trainer's run under the plain policy.
#[derive(Clone, Debug, Default)]
pub(super) struct Plain {
    pub(super) done: Vec<Sample>,
    pub(super) started: bool,
    pub(super) wasted: f64,
}
