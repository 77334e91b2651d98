//! One attempt: the kept part of its answer and those who read it.

use crate::{
    gate::{Chunk, Frame, Head, LinkKey, Run},
    id::{Incarnation, RequestId},
};
use std::{collections::VecDeque, mem, sync::Arc, time::Instant};

/// Bytes from which a joined chunk is sent.
const PIECE: usize = 32 << 10;

/// An attempt that is running or done.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) once: bool,
    pub(crate) done: bool,
    /// Whether the body is kept from its first byte on, to replay it.
    pub(crate) whole: bool,
    /// When its caller stops waiting; none once that was acted on.
    pub(crate) deadline: Option<Instant>,
    /// When it was done.
    pub(crate) since: Instant,
    pub(crate) body: Body,
    pub(crate) viewers: Vec<Viewer>,
}

/// An entry that reads an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Viewer {
    pub(crate) entry: Incarnation,
    /// The link that the answer goes to; none while the entry has lost it.
    pub(crate) link: Option<LinkKey>,
    /// All bytes below have arrived.
    pub(crate) acked: u64,
    /// When the entry is given up; set while it has no link.
    pub(crate) until: Option<Instant>,
}

impl Attempt {
    /// The offset below which all readers have everything.
    pub(crate) fn acked(&self) -> u64 {
        let acked = self.viewers.iter().map(|viewer| viewer.acked);
        acked.min().unwrap_or(self.body.length())
    }
}

/// What is kept of an answer.
#[derive(Debug, Default)]
pub(crate) struct Body {
    head: Option<Arc<Head>>,
    chunks: VecDeque<Chunk>,
    /// Offset of the first byte that is kept.
    base: u64,
    /// Bytes that have come so far.
    length: u64,
    end: Option<Arc<[Run]>>,
}

impl Body {
    pub(crate) const fn base(&self) -> u64 {
        self.base
    }

    pub(crate) const fn length(&self) -> u64 {
        self.length
    }

    /// Bytes that are kept.
    pub(crate) fn held(&self) -> usize {
        usize::try_from(self.length - self.base).unwrap_or(usize::MAX)
    }

    pub(crate) fn set_head(&mut self, head: Head) -> Arc<Head> {
        Arc::clone(self.head.insert(Arc::new(head)))
    }

    pub(crate) fn set_end(&mut self, runs: Vec<Run>) -> Arc<[Run]> {
        Arc::clone(self.end.insert(runs.into()))
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

    /// Drops the chunks that end at or below `offset`; returns bytes freed.
    pub(crate) fn trim(&mut self, offset: u64) -> usize {
        let before = self.held();
        while let Some(chunk) = self.chunks.front() {
            let end = chunk.offset + chunk.data.len() as u64;
            if end > offset {
                break;
            }
            self.base = end;
            self.chunks.pop_front();
        }
        before - self.held()
    }

    /// Everything from `offset` on, as frames.
    ///
    /// Small chunks are joined: an answer of a thousand tokens would otherwise
    /// fill the queue of the link that takes it up again.
    pub(crate) fn replay(&self, id: RequestId, offset: u64) -> Vec<Frame> {
        let head = self.head.iter().map(|head| Frame::Head {
            id,
            head: Arc::clone(head),
        });
        let chunks = self.joined(offset).into_iter();
        let chunks = chunks.map(|chunk| Frame::Chunk { id, chunk });
        let end = self.end.iter().map(|runs| Frame::End {
            id,
            length: self.length,
            runs: Arc::clone(runs),
        });
        head.chain(chunks).chain(end).collect()
    }

    fn joined(&self, offset: u64) -> Vec<Chunk> {
        let mut pieces = Vec::new();
        let mut start = offset.max(self.base);
        let mut piece = Vec::new();
        for chunk in &self.chunks {
            piece.extend_from_slice(rest(chunk, offset));
            if piece.len() >= PIECE {
                pieces.push(take_piece(&mut start, &mut piece));
            }
        }
        if !piece.is_empty() {
            pieces.push(take_piece(&mut start, &mut piece));
        }
        pieces
    }
}

fn take_piece(start: &mut u64, piece: &mut Vec<u8>) -> Chunk {
    let chunk = Chunk {
        offset: *start,
        data: mem::take(piece).into(),
    };
    *start += chunk.data.len() as u64;
    chunk
}

/// The part of a chunk from `offset` on; empty if there is none.
fn rest(chunk: &Chunk, offset: u64) -> &[u8] {
    let skip = offset.saturating_sub(chunk.offset);
    let skip = usize::try_from(skip).unwrap_or(usize::MAX);
    chunk.data.get(skip..).unwrap_or_default()
}
