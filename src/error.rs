//! The closed list of error kinds and the table of answers.
//!
//! Everything that goes wrong on the way of a request is one [`ErrorKind`]. The
//! table in [`ErrorKind::answer`] is the only place that says what a caller is
//! told, so that a refusal that says "not run" can be checked in one place: a
//! kind says so only if it can arise solely while no endpoint can have started
//! the request.
//!
//! The trade-off: a kind that can arise both before and after a start must be
//! split in two. [`ErrorKind::Expired`] and [`ErrorKind::TimedOut`] are such a
//! pair.

use std::fmt;

/// Whether and when it makes sense to ask again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// The same request fails again.
    Never,
    /// Ask again after the time that the answer's `Retry-After` names.
    After,
    /// Ask again with the same `Idempotency-Key`: the answer to the first
    /// attempt is replayed, if there is one.
    SameKey,
}

/// What a caller is told for one [`ErrorKind`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Last part of the problem type URI (RFC 9457), kebab case.
    pub problem: &'static str,
    /// Short human-readable summary.
    pub title: &'static str,
    /// Whether the request surely never started at an endpoint.
    pub not_run: bool,
    /// Whether and when to ask again.
    pub retry: Retry,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $status:literal, $problem:literal, $title:literal, $not_run:literal, $retry:ident;)*) => {
        /// One kind of error. The list is closed: a new cause gets a new row.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Returns the row of the table for this kind.
            #[must_use]
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        status: $status,
                        problem: $problem,
                        title: $title,
                        not_run: $not_run,
                        retry: Retry::$retry,
                    },)*
                }
            }
        }
    };
}

kinds! {
    // kind = status, problem, title, not run, retry;
    /// The request can't be understood.
    BadRequest = 400, "bad-request", "The request can't be understood", true, Never;
    /// The deadline header is no number of milliseconds in its range.
    BadDeadline = 400, "bad-deadline", "The deadline header is out of range", true, Never;
    /// The idempotency key is empty, too long or not printable ASCII.
    BadKey = 400, "bad-key", "The idempotency key is not valid", true, Never;
    /// The body can't be read whole, or isn't what its headers say.
    BadBody = 400, "bad-body", "The body could not be read whole", true, Never;
    /// The token is missing or wrong.
    Unauthorized = 401, "unauthorized", "The token is missing or wrong", true, Never;
    /// The route is for accounts only, and the caller showed no key.
    KeyMissing = 401, "key-missing", "A key of an account is needed", true, Never;
    /// What the caller showed is no single key.
    KeyMalformed = 401, "key-malformed", "The key can't be read", true, Never;
    /// No account holds the key, or several do.
    KeyUnknown = 401, "key-unknown", "The key is not in force", true, Never;
    /// No service has this name.
    UnknownService = 404, "unknown-service", "No such service", true, Never;
    /// The path leads to nothing.
    UnknownPath = 404, "unknown-path", "No such path", true, Never;
    /// The path doesn't take this method.
    BadMethod = 405, "bad-method", "The method is not allowed here", true, Never;
    /// A command was written for a version of the configuration that is gone.
    ConfigConflict = 409, "config-conflict", "Another change came first", true, Never;
    /// No batch has this id, or it has ended.
    UnknownBatch = 404, "unknown-batch", "No such batch", true, Never;
    /// No run has this name.
    UnknownRun = 404, "unknown-run", "No such run", true, Never;
    /// A run of this name was opened with other settings.
    RunTaken = 409, "run-taken", "A run of this name has other settings", true, Never;
    /// The cursor is neither the next step nor one of the last few.
    BadCursor = 409, "bad-cursor", "The cursor is not near the run's step", true, Never;
    /// The step before was not reported done, so its weights aren't known.
    StepOpen = 409, "step-open", "The step before was not reported done", true, Never;
    /// A trainer's weight version went back.
    BadVersion = 409, "bad-version", "The weight version is older than the last", true, Never;
    /// The same idempotency key is being worked on; this copy did not start.
    KeyRunning = 409, "key-running", "A request with this key is still running", false, SameKey;
    /// The key was used before with another body.
    KeyReused = 422, "key-reused", "The key was used with another request", true, Never;
    /// The body is larger than the service takes.
    BodyTooLarge = 413, "body-too-large", "The body is too large", true, Never;
    /// The headers are larger or more than taken.
    HeadersTooLarge = 431, "headers-too-large", "The headers are too large", true, Never;
    /// The order carries a number older than one seen.
    Fenced = 409, "fenced", "A newer holder gave orders", true, Never;
    /// A defect of this program.
    Internal = 500, "internal", "An internal error", false, SameKey;
    /// The endpoint broke the connection or the protocol after the start.
    EndpointBroken = 502, "endpoint-broken", "The endpoint failed during the request", false, SameKey;
    /// The endpoint could not be reached, so nothing started.
    EndpointDown = 503, "endpoint-down", "The endpoint could not be reached", true, After;
    /// The answer ended before its declared end.
    AnswerShort = 502, "answer-short", "The answer is incomplete", false, SameKey;
    /// Nobody can say whether the request ran.
    OutcomeUnknown = 502, "outcome-unknown", "It is not known whether the request ran", false, SameKey;
    /// The request can't be answered before its deadline under the present load.
    Saturated = 503, "saturated", "Too much work to answer in time", true, After;
    /// The hand-over between two threads is full.
    HandoverFull = 503, "handover-full", "Too many requests at once", true, After;
    /// No endpoint of the service takes work.
    NoEndpoint = 503, "no-endpoint", "No endpoint takes work", true, After;
    /// The request crashes the endpoints that run it.
    Quarantined = 503, "quarantined", "Endpoints end while they run this request", true, After;
    /// The process or endpoint is stopping and takes no new work.
    Stopping = 503, "stopping", "This process is stopping", true, After;
    /// The platform's table can't be asked, and the request needs it.
    StoreDown = 503, "store-down", "The table service does not answer", true, After;
    /// The process has no configuration yet.
    NoConfig = 503, "no-config", "No configuration has arrived yet", true, After;
    /// The deadline passed before the request started.
    Expired = 504, "expired", "The deadline passed before the request started", true, After;
    /// The deadline passed after the request may have started.
    TimedOut = 504, "timed-out", "The deadline passed during the request", false, SameKey;
    /// The other process speaks an unknown version of the frames.
    WireVersion = 505, "wire-version", "The processes speak different versions", true, After;
}

impl ErrorKind {
    /// Finds the kind whose problem name is `problem`.
    #[must_use]
    pub fn from_problem(problem: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|kind| kind.answer().problem == problem)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().title)
    }
}

impl std::error::Error for ErrorKind {}
