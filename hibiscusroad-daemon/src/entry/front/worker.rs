//! Worker threads, each serving one request at a time.

use crate::entry::{
    call::random_retry_after,
    event::{Arrival, Event, Head, Inbound, Part},
    frames::ACK_INTERVAL_BYTES,
    front::{
        Guard, Job, Refusal, Shared,
        answer::{self, ChunkedAnswer, Target},
        request,
    },
};
use flume::{Receiver, Sender};
use hibiscusroad::{ErrorKind, RequestId};
use std::{
    io::{self, Write},
    mem,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Parts of an answer that may be queued for a slow caller. The tables drop the
/// call if the queue is full.
const PART_QUEUE_CAPACITY: usize = 1024;

/// How long past the deadline a worker waits for the tables' final answer, in case
/// they are stalled.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// How long a worker tries to report that a caller disconnected.
const CALLER_GONE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size limit of an answer that is buffered for a caller without chunked coding.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Size limit of a body that is skipped to keep a connection usable.
const MAX_SKIPPED_BYTES: usize = 64 << 20;

/// Interim status before the answer to a request whose body isn't read.
const INTERIM_STATUS: u16 = 100;

/// Serves requests until the server ends.
pub fn run(jobs: &Receiver<Job>, refusals: &Sender<Refusal>) {
    for mut job in jobs {
        let shared = Arc::clone(&job.guard.0);
        let read = request::deadline(&job.request)
            .and_then(|timeout| Ok((request::read(&mut job.request, shared.max_body)?, timeout)));
        match read {
            Ok((inbound, timeout)) => serve(job, &shared, inbound, timeout),
            // It is unknown here how much of the body was read.
            Err(kind) if request::has_body(&job.request) => {
                queue_refusal(refusals, Refusal { job, kind });
            }
            Err(kind) => refuse(job, kind),
        }
    }
}

/// Refuses a request whose body was read.
pub fn refuse(job: Job, kind: ErrorKind) {
    job.guard.0.count_refused(kind);
    let target = target(&job);
    let (mut out, _guard) = split(job);
    if let Err(e) = answer::write_problem(&mut *out, target, kind, random_retry_after()) {
        log::debug!(target: "callers", "A refusal could not be sent: {e}.");
    }
}

/// Queues a refusal for the threads that skip bodies.
///
/// If the queue is full, the connection is leaked without an answer. That holds
/// its thread until the caller disconnects, but no worker.
pub fn queue_refusal(refusals: &Sender<Refusal>, refusal: Refusal) {
    if let Err(e) = refusals.try_send(refusal) {
        abandon(e.into_inner().job);
    }
}

/// Refuses a request whose body was not read, and then skips the body.
///
/// The server would skip the body first, which blocks on the caller. It provides
/// the stream before that only after an interim status, which callers ignore.
///
/// A body with an excessive declared length is not skipped, because the server
/// would allocate all of it. Its connection is leaked until the caller
/// disconnects.
pub fn refuse_and_skip(refusal: Refusal) {
    let Refusal { job, kind } = refusal;
    job.guard.0.count_refused(kind);
    let target = target(&job);
    let length = job.request.body_length().unwrap_or_default();
    let interim = tiny_http::Response::empty(INTERIM_STATUS);
    let mut stream = job.request.upgrade("none", interim);
    if let Err(e) = answer::write_problem(&mut *stream, target, kind, random_retry_after()) {
        log::debug!(target: "callers", "A refusal could not be sent: {e}.");
    }
    drop(job.guard);
    if length > MAX_SKIPPED_BYTES {
        mem::forget(stream);
    }
}

fn abandon(job: Job) {
    mem::forget(job.request);
}

fn target(job: &Job) -> Target {
    Target::new(&job.request, job.id, job.guard.0.stopping())
}

fn split(job: Job) -> (Box<dyn Write + Send>, Guard) {
    (job.request.into_writer(), job.guard)
}

fn serve(job: Job, shared: &Shared, inbound: Inbound, timeout: Option<Duration>) {
    let (reply, parts) = flume::bounded(PART_QUEUE_CAPACITY);
    let delivered = Arc::new(AtomicU64::new(0));
    let id = job.id;
    let arrival = Arrival {
        id,
        request: inbound,
        arrived: job.arrived,
        timeout,
        reply,
        delivered: Arc::clone(&delivered),
    };
    if shared
        .events
        .try_send(Event::Arrive(Box::new(arrival)))
        .is_err()
    {
        return refuse(job, ErrorKind::HandoverFull);
    }
    // Only the tables know the default timeout of the service.
    let deadline = job.arrived + timeout.unwrap_or(request::MAX_TIMEOUT);
    let answer = Answer {
        id,
        shared,
        parts,
        delivered,
        limit: deadline + DEADLINE_GRACE,
    };
    let chunks = target(&job).chunks;
    let first = if chunks {
        answer.first()
    } else {
        answer.collect()
    };
    // Computed again, because the process may be stopping by now.
    let target = target(&job);
    let (mut out, _guard) = split(job);
    let written = match first {
        FirstPart::Fail(kind, after) => answer::write_problem(&mut *out, target, kind, after),
        FirstPart::Whole(head, body) => answer::write_whole(&mut *out, target, &head, &body),
        FirstPart::Chunked(head) => answer.stream(out, target, &head),
    };
    if let Err(e) = written {
        log::debug!(target: "callers", "The caller of {id} disconnected: {e}.");
        answer.report_caller_gone();
    }
}

/// The start of an answer.
enum FirstPart {
    Whole(Head, Vec<u8>),
    Chunked(Head),
    Fail(ErrorKind, Duration),
}

/// The answer to a request, received from the tables.
struct Answer<'a> {
    id: RequestId,
    shared: &'a Shared,
    parts: Receiver<Part>,
    delivered: Arc<AtomicU64>,
    limit: Instant,
}

impl Answer<'_> {
    fn next(&self) -> Part {
        use flume::RecvTimeoutError::{Disconnected, Timeout};
        match self.parts.recv_deadline(self.limit) {
            Ok(part) => part,
            Err(Disconnected) => Part::Fail(ErrorKind::Internal, random_retry_after()),
            Err(Timeout) => {
                self.report_caller_gone();
                Part::Fail(ErrorKind::TimedOut, random_retry_after())
            }
        }
    }

    fn first(&self) -> FirstPart {
        match self.next() {
            Part::Whole(head, body) => FirstPart::Whole(head, body),
            Part::Head(head) => FirstPart::Chunked(head),
            Part::Fail(kind, after) => FirstPart::Fail(kind, after),
            Part::Data(_) | Part::End => FirstPart::Fail(ErrorKind::Internal, random_retry_after()),
        }
    }

    /// Collects the complete answer for a caller without chunked coding, which
    /// could not detect that an answer was broken off.
    fn collect(&self) -> FirstPart {
        let head = match self.first() {
            FirstPart::Chunked(head) => head,
            other => return other,
        };
        let mut body = Vec::new();
        loop {
            match self.next() {
                Part::Data(data) => {
                    self.record_delivered(data.len());
                    body.extend(data);
                    if body.len() > MAX_BUFFERED_BYTES {
                        self.report_caller_gone();
                        return FirstPart::Fail(ErrorKind::AnswerShort, random_retry_after());
                    }
                }
                Part::End => return FirstPart::Whole(head, body),
                Part::Fail(kind, after) => return FirstPart::Fail(kind, after),
                Part::Whole(..) | Part::Head(_) => {
                    return FirstPart::Fail(ErrorKind::Internal, random_retry_after());
                }
            }
        }
    }

    fn stream(&self, out: Box<dyn Write + Send>, target: Target, head: &Head) -> io::Result<()> {
        let mut chunked = ChunkedAnswer::start(out, target, head)?;
        let mut part = self.next();
        loop {
            match part {
                Part::Data(data) => {
                    chunked.write(&data)?;
                    self.record_delivered(data.len());
                }
                Part::End => {
                    chunked.end();
                    return Ok(());
                }
                Part::Fail(..) | Part::Whole(..) | Part::Head(_) => {
                    chunked.abort();
                    return Ok(());
                }
            }
            part = if let Ok(part) = self.parts.try_recv() {
                part
            } else {
                // No part is queued, so send what is buffered.
                chunked.flush()?;
                self.next()
            };
        }
    }

    /// Counts bytes that were delivered to the caller, and notifies the tables when
    /// enough are delivered for an acknowledgement.
    fn record_delivered(&self, bytes: usize) {
        let before = self.delivered.fetch_add(bytes as u64, Ordering::Relaxed);
        if before / ACK_INTERVAL_BYTES != (before + bytes as u64) / ACK_INTERVAL_BYTES {
            // If the queue is full, the tables' next tick acknowledges them.
            let _ = self.shared.events.try_send(Event::Delivered(self.id));
        }
    }

    /// Notifies the tables that the answer is no longer needed.
    fn report_caller_gone(&self) {
        let event = Event::CallerGone(self.id);
        if self
            .shared
            .events
            .send_timeout(event, CALLER_GONE_TIMEOUT)
            .is_err()
        {
            log::warn!(target: "callers", "The event queue is full; the end of the caller of {} is not reported.", self.id);
        }
    }
}
