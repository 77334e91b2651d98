//! The closed list of error kinds and the answers for them.
//!
//! Every failure of a request is one [`ErrorKind`]. The table in [`ErrorKind::answer`] is
//! the only source of what callers are told, so the claim "not run" can be checked in one
//! place: a kind makes it only if it occurs exclusively before any endpoint can have
//! started the request.
//!
//! The trade-off: a failure that can occur both before and after the start needs two
//! kinds, such as [`ErrorKind::Expired`] and [`ErrorKind::TimedOut`].

use std::fmt;

/// Whether and how a caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// A retry of the same request fails again.
    Never,
    /// The caller may retry after the time in the `Retry-After` header.
    After,
    /// The caller may retry with the same `Idempotency-Key`; the answer to the first
    /// attempt is replayed, if there is one.
    SameKey,
}

/// The answer to a caller for one [`ErrorKind`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The last part of the problem type URI (RFC 9457), in kebab case.
    pub problem: &'static str,
    /// A short human-readable summary.
    pub title: &'static str,
    /// Whether the request certainly never started at an endpoint.
    pub not_run: bool,
    /// Whether and how to retry.
    pub retry: Retry,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $status:literal, $problem:literal, $title:literal, $not_run:literal, $retry:ident;)*) => {
        /// The kind of an error. The list is closed: a new cause needs a new row.
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
    /// The request is malformed.
    BadRequest = 400, "bad-request", "The request can't be understood", true, Never;
    /// The deadline header is not a number of milliseconds within the allowed range.
    BadDeadline = 400, "bad-deadline", "The deadline header is out of range", true, Never;
    /// The idempotency key is empty, too long or not printable ASCII.
    BadKey = 400, "bad-key", "The idempotency key is not valid", true, Never;
    /// The body is incomplete or contradicts its headers.
    BadBody = 400, "bad-body", "The body could not be read whole", true, Never;
    /// The token is missing or wrong.
    Unauthorized = 401, "unauthorized", "The token is missing or wrong", true, Never;
    /// The route needs a key, and the caller sent none.
    KeyMissing = 401, "key-missing", "A key of an account is needed", true, Never;
    /// The credential is not a single key.
    KeyMalformed = 401, "key-malformed", "The key can't be read", true, Never;
    /// No account has the key, or several have it.
    KeyUnknown = 401, "key-unknown", "The key is not in force", true, Never;
    /// No service has this name.
    UnknownService = 404, "unknown-service", "No such service", true, Never;
    /// The path is not served.
    UnknownPath = 404, "unknown-path", "No such path", true, Never;
    /// The path doesn't support the method.
    BadMethod = 405, "bad-method", "The method is not allowed here", true, Never;
    /// The command is based on a version of the configuration that has been replaced.
    ConfigConflict = 409, "config-conflict", "Another change came first", true, Never;
    /// No batch has this id, or it has ended.
    UnknownBatch = 404, "unknown-batch", "No such batch", true, Never;
    /// No run has this name.
    UnknownRun = 404, "unknown-run", "No such run", true, Never;
    /// A run of this name exists with other settings.
    RunTaken = 409, "run-taken", "A run of this name has other settings", true, Never;
    /// The cursor is neither the next step nor one of the last few steps.
    BadCursor = 409, "bad-cursor", "The cursor is not near the run's step", true, Never;
    /// The previous step was not reported as done, so its weights are unknown.
    StepOpen = 409, "step-open", "The step before was not reported done", true, Never;
    /// The weight version of a trainer decreased.
    BadVersion = 409, "bad-version", "The weight version is older than the last", true, Never;
    /// A request with the same idempotency key is running; this one did not start.
    KeyRunning = 409, "key-running", "A request with this key is still running", false, SameKey;
    /// The idempotency key was used with another body.
    KeyReused = 422, "key-reused", "The key was used with another request", true, Never;
    /// The body is larger than the service allows.
    BodyTooLarge = 413, "body-too-large", "The body is too large", true, Never;
    /// The headers are too large or too many.
    HeadersTooLarge = 431, "headers-too-large", "The headers are too large", true, Never;
    /// The fencing token is older than one seen before.
    Fenced = 409, "fenced", "A newer holder gave orders", true, Never;
    /// A defect of this program.
    Internal = 500, "internal", "An internal error", false, SameKey;
    /// The endpoint broke the connection or the protocol after the start.
    EndpointBroken = 502, "endpoint-broken", "The endpoint failed during the request", false, SameKey;
    /// The endpoint could not be reached, so nothing started.
    EndpointDown = 503, "endpoint-down", "The endpoint could not be reached", true, After;
    /// The answer ended before its declared end.
    AnswerShort = 502, "answer-short", "The answer is incomplete", false, SameKey;
    /// It is unknown whether the request ran.
    OutcomeUnknown = 502, "outcome-unknown", "It is not known whether the request ran", false, SameKey;
    /// The request can't be answered before its deadline under the current load.
    Saturated = 503, "saturated", "Too much work to answer in time", true, After;
    /// The account has as many places as it may have while others wait.
    AccountShare = 429, "account-share", "The account has its share of the places", true, After;
    /// The queue between two threads is full.
    HandoverFull = 503, "handover-full", "Too many requests at once", true, After;
    /// No endpoint of the service accepts requests.
    NoEndpoint = 503, "no-endpoint", "No endpoint takes work", true, After;
    /// No endpoint in the regions that are allowed for the request accepts requests.
    NoEndpointInRegion = 503, "no-endpoint-in-region", "No endpoint in the allowed regions takes work", true, After;
    /// The request crashes the endpoints that run it.
    Quarantined = 503, "quarantined", "Endpoints end while they run this request", true, After;
    /// The process or endpoint is stopping and accepts no new requests.
    Stopping = 503, "stopping", "This process is stopping", true, After;
    /// The platform's table service, which the request needs, does not answer.
    StoreDown = 503, "store-down", "The table service does not answer", true, After;
    /// The process has no configuration yet.
    NoConfig = 503, "no-config", "No configuration has arrived yet", true, After;
    /// The deadline passed before the request started.
    Expired = 504, "expired", "The deadline passed before the request started", true, After;
    /// The deadline passed after the request may have started.
    TimedOut = 504, "timed-out", "The deadline passed during the request", false, SameKey;
    /// The other process uses an unknown version of the wire protocol.
    WireVersion = 505, "wire-version", "The processes speak different versions", true, After;
}

impl ErrorKind {
    /// Returns the kind with the problem name `problem`.
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
