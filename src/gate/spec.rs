//! What goes into a gate and what comes out.

use crate::{
    claim::RETENTION,
    class::Repeat,
    error::ErrorKind,
    gate::LinkKey,
    id::{Incarnation, RequestId},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// How long a link may be silent before it is given up.
///
/// Three heartbeats of 250 ms, so that one lost turn of a busy host does not
/// cut a link, and a dead one is found within a second.
pub const LINK_SILENCE: Duration = Duration::from_millis(800);

/// How long the tombstone of an attempt is kept.
///
/// Longer than a frame can be delayed by a silent link and by queues. Afterwards
/// the coarser watermarks of the entry apply.
pub const TOMBSTONE_TTL: Duration = Duration::from_mins(1);

/// What bounds a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateSpec {
    /// Requests that the endpoint works on at once.
    pub limit: u32,
    /// Bytes of all answers kept at once.
    pub buffer: usize,
    /// Unacknowledged bytes of one answer before its reading pauses.
    pub window: usize,
    /// Bytes up to which one answer is kept for replay.
    pub replay: usize,
    /// Answers that are kept for replay at once.
    pub kept: usize,
    /// How long an attempt waits for an entry that lost its link.
    pub grace: Duration,
    /// How long the answer of an attempt that runs only once is kept.
    pub keep: Duration,
}

impl GateSpec {
    /// Creates bounds with the defaults.
    ///
    /// A window of 256 KiB lets one answer fill a link of 1 Gbit/s with 2 ms
    /// of latency. The grace of 5 s is longer than an entry needs to find a
    /// silent link (1 s) and open another. Answers are kept for as long as the
    /// claims that lead to them, but no more than 16,384, which take some 8 MB
    /// besides their bytes.
    #[must_use]
    pub const fn new(limit: u32, buffer: usize) -> Self {
        Self {
            limit,
            buffer,
            window: 256 << 10,
            replay: 256 << 10,
            kept: 16_384,
            grace: Duration::from_secs(5),
            keep: RETENTION,
        }
    }
}

/// A request to start an attempt, as the gate sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// The attempt.
    pub id: RequestId,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
}

/// What the gate decided about an [`Ask`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The endpoint is to be called now, this once.
    Run,
    /// The attempt is known; what is kept of it was sent.
    Known,
    /// The attempt is sealed and never runs.
    Refused(ErrorKind),
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Never started, and never will.
    Sealed,
    /// The endpoint works on it.
    Running,
    /// The whole answer is kept.
    Done,
    /// Started, and no whole answer is kept.
    Lost,
}

/// One header of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Headers, without those that concern one connection only.
    pub headers: Vec<Header>,
}

/// Part of an answer's body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Offset of its first byte.
    pub offset: u64,
    /// The bytes, shared between the buffer and what is on its way.
    pub data: Arc<[u8]>,
}

/// A weight version and the first token that it produced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The version that the engine reported with the token.
    pub version: String,
    /// Number of the token, from 0.
    pub first: u64,
}

/// What an entry is told about an attempt.
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
    /// The answer is whole.
    End {
        /// The attempt.
        id: RequestId,
        /// Bytes of the body.
        length: u64,
        /// Weight versions that made it.
        runs: Arc<[Run]>,
    },
    /// There is no answer, and there will be none.
    Refused {
        /// The attempt.
        id: RequestId,
        /// Why.
        kind: ErrorKind,
    },
    /// What became of the attempt.
    Standing {
        /// The attempt.
        id: RequestId,
        /// What became of it.
        standing: Standing,
    },
}

/// What the side has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send a frame to an entry.
    Send {
        /// The link to it.
        link: LinkKey,
        /// What to send.
        frame: Frame,
    },
    /// End the call of an attempt at the endpoint.
    Abort {
        /// The attempt.
        id: RequestId,
    },
    /// Stop reading the answer from the endpoint for now.
    Pause {
        /// The attempt.
        id: RequestId,
    },
    /// Read the answer on.
    Resume {
        /// The attempt.
        id: RequestId,
    },
    /// Close a link that is silent.
    Close {
        /// The link.
        link: LinkKey,
        /// The entry at its other end.
        entry: Incarnation,
    },
}

/// What a gate reports of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GateLoad {
    /// Calls at the endpoint, those being aborted included.
    pub running: u32,
    /// Calls that it may have at once.
    pub limit: u32,
    /// Bytes of answers that are kept.
    pub held: usize,
    /// Tombstones that are kept.
    pub tombs: usize,
    /// Attempts that are running or done, kept answers included.
    pub attempts: usize,
}
