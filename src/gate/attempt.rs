//! An attempt, the buffered part of its answer and the entries that read it.

use crate::{
    gate::{Chunk, Frame, Head, LinkKey, VersionRun},
    id::{Incarnation, RequestId},
};
use std::{collections::VecDeque, mem, sync::Arc, time::Instant};

/// Bytes after which a replayed chunk is complete.
const REPLAY_CHUNK_BYTES: usize = 32 << 10;

/// An attempt that is running, or whose answer is complete.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Whether the request may run only once.
    pub(crate) run_once: bool,
    /// Whether the answer is complete.
    pub(crate) done: bool,
    /// Whether the body is buffered from its first byte on, to be replayed.
    pub(crate) replayable: bool,
    /// When its caller stops waiting; none once that has been handled.
    pub(crate) deadline: Option<Instant>,
    /// When the answer was completed, last acknowledged in full, or taken from
    /// the retained answers again.
    pub(crate) retained_since: Instant,
    pub(crate) body: Body,
    pub(crate) readers: Vec<Reader>,
}

/// An entry that reads an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reader {
    pub(crate) entry: Incarnation,
    /// The link that the answer is sent on; none while the entry has no link.
    pub(crate) link: Option<LinkKey>,
    /// The offset below which all bytes are acknowledged.
    pub(crate) acked: u64,
    /// When the entry is removed if it does not attach again; set while it has
    /// no link.
    pub(crate) expires_at: Option<Instant>,
}

impl Attempt {
    /// Returns the offset below which all readers have acknowledged all bytes.
    pub(crate) fn acked(&self) -> u64 {
        let acked = self.readers.iter().map(|reader| reader.acked);
        acked.min().unwrap_or(self.body.length())
    }
}

/// The buffered part of an answer.
#[derive(Debug, Default)]
pub(crate) struct Body {
    head: Option<Arc<Head>>,
    chunks: VecDeque<Chunk>,
    /// Offset of the first buffered byte.
    start: u64,
    /// Bytes received from the endpoint so far.
    length: u64,
    /// Weight versions of the answer; set when it is complete.
    runs: Option<Arc<[VersionRun]>>,
}

impl Body {
    pub(crate) const fn start(&self) -> u64 {
        self.start
    }

    pub(crate) const fn length(&self) -> u64 {
        self.length
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn buffered(&self) -> usize {
        usize::try_from(self.length - self.start).unwrap_or(usize::MAX)
    }

    pub(crate) fn set_head(&mut self, head: Head) -> Arc<Head> {
        Arc::clone(self.head.insert(Arc::new(head)))
    }

    /// Sets the weight versions, which completes the answer.
    pub(crate) fn set_runs(&mut self, runs: Vec<VersionRun>) -> Arc<[VersionRun]> {
        Arc::clone(self.runs.insert(runs.into()))
    }

    pub(crate) fn push(&mut self, data: Arc<[u8]>) -> Chunk {
        let chunk = Chunk {
            offset: self.length,
            data,
        };
        self.length += chunk.data.len() as u64;
        self.chunks.push_back(chunk.clone());
        chunk
    }

    /// Drops the chunks that end at or below `offset`; returns the number of
    /// bytes freed.
    pub(crate) fn drop_below(&mut self, offset: u64) -> usize {
        let before = self.buffered();
        while let Some(chunk) = self.chunks.front() {
            let end = chunk.offset + chunk.data.len() as u64;
            if end > offset {
                break;
            }
            self.start = end;
            self.chunks.pop_front();
        }
        before - self.buffered()
    }

    /// Returns the buffered answer from `offset` on as frames.
    ///
    /// Joins small chunks, because a long answer streamed token by token would
    /// fill the queue of the link that it is replayed on.
    pub(crate) fn replay(&self, id: RequestId, offset: u64) -> Vec<Frame> {
        let head = self.head.iter().map(|head| Frame::Head {
            id,
            head: Arc::clone(head),
        });
        let chunks = self.joined_chunks(offset).into_iter();
        let chunks = chunks.map(|chunk| Frame::Chunk { id, chunk });
        let end = self.runs.iter().map(|runs| Frame::End {
            id,
            length: self.length,
            runs: Arc::clone(runs),
        });
        head.chain(chunks).chain(end).collect()
    }

    fn joined_chunks(&self, offset: u64) -> Vec<Chunk> {
        let mut joined = Vec::new();
        let mut start = offset.max(self.start);
        let mut buf = Vec::new();
        for chunk in &self.chunks {
            buf.extend_from_slice(data_from(chunk, offset));
            if buf.len() >= REPLAY_CHUNK_BYTES {
                joined.push(take_chunk(&mut start, &mut buf));
            }
        }
        if !buf.is_empty() {
            joined.push(take_chunk(&mut start, &mut buf));
        }
        joined
    }
}

/// Empties `buf` into a chunk at `start`, and advances `start` past it.
fn take_chunk(start: &mut u64, buf: &mut Vec<u8>) -> Chunk {
    let chunk = Chunk {
        offset: *start,
        data: mem::take(buf).into(),
    };
    *start += chunk.data.len() as u64;
    chunk
}

/// Returns the bytes of a chunk from `offset` on; empty if there are none.
fn data_from(chunk: &Chunk, offset: u64) -> &[u8] {
    let skip = offset.saturating_sub(chunk.offset);
    let skip = usize::try_from(skip).unwrap_or(usize::MAX);
    chunk.data.get(skip..).unwrap_or_default()
}
