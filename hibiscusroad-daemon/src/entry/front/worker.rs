//! Threads that each see one request through.

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

/// Parts of an answer that may wait for a slow caller. The tables drop a caller
/// that is further behind.
const PART_QUEUE_CAPACITY: usize = 1024;

/// How long past the deadline a worker waits for the tables' final word. They
/// give it at the deadline; this is for the case that they stand still.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// How long the news that a caller left may wait for room.
const CALLER_GONE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of an answer that are gathered for a caller that doesn't know chunks.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Bytes of a body that are skipped to keep a connection usable.
const MAX_SKIPPED_BYTES: usize = 64 << 20;

/// The status that comes before an answer to a request whose body isn't read.
const INTERIM_STATUS: u16 = 100;

/// Serves requests until the front is gone.
pub fn run(jobs: &Receiver<Job>, refusals: &Sender<Refusal>) {
    for mut job in jobs {
        let shared = Arc::clone(&job.guard.0);
        let read = request::deadline(&job.request)
            .and_then(|wait| Ok((request::read(&mut job.request, shared.max_body)?, wait)));
        match read {
            Ok((inbound, wait)) => serve(job, &shared, inbound, wait),
            // Only the server knows how much of the body was read.
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
        log::debug!(target: "callers", "A refusal was not taken: {e}.");
    }
}

/// Leaves a refusal to the threads that skip bodies.
///
/// When even these are all busy, skipping nothing and leaving the connection as
/// it is costs its thread until the caller hangs up, but no worker.
pub fn queue_refusal(refusals: &Sender<Refusal>, refusal: Refusal) {
    if let Err(e) = refusals.try_send(refusal) {
        abandon(e.into_inner().job);
    }
}

/// Refuses a request whose body was not read, and then skips the body.
///
/// The server would skip it first, which takes as long as the caller likes. It
/// gives the stream before that only after an interim status; callers pass over
/// that one.
///
/// A body that is declared longer than anybody sends is not skipped: the server
/// would reserve memory for all of it, which ends the process if there is less.
/// Its connection is left open and unused until the caller hangs up.
pub fn refuse_and_skip(refusal: Refusal) {
    let Refusal { job, kind } = refusal;
    job.guard.0.count_refused(kind);
    let target = target(&job);
    let length = job.request.body_length().unwrap_or_default();
    let interim = tiny_http::Response::empty(INTERIM_STATUS);
    let mut stream = job.request.upgrade("none", interim);
    if let Err(e) = answer::write_problem(&mut *stream, target, kind, random_retry_after()) {
        log::debug!(target: "callers", "A refusal was not taken: {e}.");
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
    // Only the tables know how long the service's callers wait who don't say.
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
    // Only now is it known whether the process is stopping.
    let target = target(&job);
    let (mut out, _guard) = split(job);
    let written = match first {
        FirstPart::Fail(kind, after) => answer::write_problem(&mut *out, target, kind, after),
        FirstPart::Whole(head, body) => answer::write_whole(&mut *out, target, &head, &body),
        FirstPart::Chunked(head) => answer.stream(out, target, &head),
    };
    if let Err(e) = written {
        log::debug!(target: "callers", "The caller of {id} left: {e}.");
        answer.report_caller_gone();
    }
}

/// How an answer begins.
enum FirstPart {
    Whole(Head, Vec<u8>),
    Chunked(Head),
    Fail(ErrorKind, Duration),
}

/// The answer to one request, as it comes from the tables.
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

    /// Waits for all of the answer, for a caller that doesn't know chunks: it
    /// could not see that an answer broke off.
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
                // Nothing more is there, so what is must not wait.
                chunked.flush()?;
                self.next()
            };
        }
    }

    /// Tells the tables that the caller took bytes, each time that they can
    /// acknowledge some.
    fn record_delivered(&self, bytes: usize) {
        let before = self.delivered.fetch_add(bytes as u64, Ordering::Relaxed);
        if before / ACK_INTERVAL_BYTES != (before + bytes as u64) / ACK_INTERVAL_BYTES {
            // If there is no room, the tables look by themselves soon.
            let _ = self.shared.events.try_send(Event::Delivered(self.id));
        }
    }

    /// Tells the tables that nobody waits for the answer any more.
    fn report_caller_gone(&self) {
        let event = Event::CallerGone(self.id);
        if self
            .shared
            .events
            .send_timeout(event, CALLER_GONE_TIMEOUT)
            .is_err()
        {
            log::warn!(target: "callers", "The tables don't hear that {} left.", self.id);
        }
    }
}
