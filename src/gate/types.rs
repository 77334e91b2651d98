//! Limits, requests, decisions and frames of a gate.

use crate::{
    claim::CLAIM_TTL,
    class::Repeat,
    error::ErrorKind,
    gate::LinkKey,
    id::{Incarnation, RequestId},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// How long a link may be silent before it is closed.
///
/// A little more than three heartbeats, so that one missed heartbeat does not
/// close the link.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the tombstone of an attempt is kept.
///
/// Longer than a frame can be delayed by a silent link and by queues. Afterwards
/// the coarser watermarks of the entry apply.
pub const TOMBSTONE_TTL: Duration = Duration::from_mins(1);

/// Limits of a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateLimits {
    /// Requests that the endpoint runs at once.
    pub max_running: u32,
    /// Bytes of all buffered answers.
    pub max_buffered: usize,
    /// Unacknowledged bytes of one answer before its reading pauses.
    pub max_unacked: usize,
    /// Bytes of one answer that is retained for replay.
    pub max_replay: usize,
    /// Number of answers that are retained for replay.
    pub max_retained: usize,
    /// How long an attempt waits for an entry that lost its link.
    pub reattach_timeout: Duration,
    /// How long the answer of an attempt that may run only once is retained.
    pub retention: Duration,
}

impl GateLimits {
    /// Creates limits with default values.
    ///
    /// The time to attach again is longer than an entry needs to notice a silent
    /// link and open another. Answers are retained for as long as the claims that
    /// lead to them, up to a fixed number that bounds the memory.
    #[must_use]
    pub const fn new(max_running: u32, max_buffered: usize) -> Self {
        Self {
            max_running,
            max_buffered,
            max_unacked: 256 << 10,
            max_replay: 256 << 10,
            max_retained: 16_384,
            reattach_timeout: Duration::from_secs(5),
            retention: CLAIM_TTL,
        }
    }
}

/// A request to start an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartRequest {
    /// The attempt.
    pub id: RequestId,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
}

/// The gate's decision about an [`StartRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The sidecar has to call the endpoint, exactly once.
    Run,
    /// The attempt is known; its buffered answer or its outcome was sent.
    Known,
    /// The attempt does not start.
    Refused(ErrorKind),
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// Never started, and never will.
    Sealed,
    /// In flight at the endpoint.
    Running,
    /// The answer is complete and buffered.
    Done,
    /// Started, but no complete answer is buffered.
    Lost,
}

/// One header of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The header's name.
    pub name: String,
    /// The header's value.
    pub value: String,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Headers, without the hop-by-hop ones.
    pub headers: Vec<Header>,
}

/// Part of an answer's body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Offset of its first byte.
    pub offset: u64,
    /// The bytes, shared between the buffer and the frames that carry them.
    pub data: Arc<[u8]>,
}

/// A weight version and the first token that it produced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionRun {
    /// The version that the engine reported with the token.
    pub version: String,
    /// Index of the token, from 0.
    pub first_token: u64,
}

/// A frame to an entry about an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Status and headers.
    Head {
        /// The attempt.
        id: RequestId,
        /// Status and headers.
        head: Arc<Head>,
    },
    /// Part of the body.
    Chunk {
        /// The attempt.
        id: RequestId,
        /// The part.
        chunk: Chunk,
    },
    /// The answer is complete.
    End {
        /// The attempt.
        id: RequestId,
        /// Bytes of the body.
        length: u64,
        /// Weight versions that produced it.
        runs: Arc<[VersionRun]>,
    },
    /// There is no answer, and there will be none.
    Refused {
        /// The attempt.
        id: RequestId,
        /// The reason.
        kind: ErrorKind,
    },
    /// The state of the attempt.
    State {
        /// The attempt.
        id: RequestId,
        /// Its state.
        state: AttemptState,
    },
}

/// An action for the sidecar's I/O to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send a frame to an entry.
    Send {
        /// The link to the entry.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// Abort an attempt's call to the endpoint.
    Abort {
        /// The attempt.
        id: RequestId,
    },
    /// Pause reading the answer from the endpoint.
    Pause {
        /// The attempt.
        id: RequestId,
    },
    /// Resume reading the answer from the endpoint.
    Resume {
        /// The attempt.
        id: RequestId,
    },
    /// Close a silent link.
    Close {
        /// The link.
        link: LinkKey,
        /// The entry at its other end.
        entry: Incarnation,
    },
}

/// The load of a gate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GateLoad {
    /// Calls open at the endpoint, those being aborted included.
    pub running: u32,
    /// Calls that the endpoint may run at once.
    pub max_running: u32,
    /// Bytes of buffered answers.
    pub buffered: usize,
    /// Number of tombstones.
    pub tombstones: usize,
    /// Attempts that are running or done, retained answers included.
    pub attempts: usize,
}
