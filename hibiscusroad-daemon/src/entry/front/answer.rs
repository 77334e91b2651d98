//! Writes answers to callers.
//!
//! A streamed answer uses the chunked coding, whose last chunk marks it complete.
//! If an answer is broken off, that chunk must not be written, or the caller would
//! take it as complete. `tiny_http` can't close a connection at once, so an
//! invalid chunk is written instead, which HTTP clients report as an error.

use crate::entry::{event::Head, front::request::is_not_forwarded};
use chunked_transfer::Encoder;
use hibiscusroad::{ErrorKind, RequestId, Retry};
use serde::Serialize;
use std::{
    fmt::Write as _,
    io::{self, Write},
    time::Duration,
};
use tiny_http::{HTTPVersion, Method, Request, StatusCode};

/// Written in place of a chunk's size when an answer is broken off.
const INVALID_CHUNK_LINE: &[u8] = b"broken off\r\n";

/// Size limit of a chunk.
const MAX_CHUNK_BYTES: usize = 32 << 10;

/// Statuses whose answers have no body (RFC 9110, 6.4.1).
const BODYLESS_STATUSES: [u16; 2] = [204, 304];

/// A problem body (RFC 9457).
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    not_run: bool,
    request: String,
}

/// Properties of a request that determine the form of its answer.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    id: RequestId,
    /// Whether the caller supports the chunked coding.
    pub chunks: bool,
    bodyless: bool,
    close: bool,
}

impl Target {
    /// Creates the target of the answer to `request`.
    pub fn new(request: &Request, id: RequestId, close: bool) -> Self {
        Self {
            id,
            chunks: *request.http_version() >= HTTPVersion(1, 1),
            bodyless: *request.method() == Method::Head,
            close,
        }
    }
}

/// Writes the problem body of an error.
///
/// # Errors
///
/// Returns the system's error if it can't be written to the caller.
pub fn write_problem(
    out: &mut dyn Write,
    target: Target,
    kind: ErrorKind,
    after: Duration,
) -> io::Result<()> {
    let answer = kind.answer();
    let problem = Problem {
        r#type: format!("urn:hibiscusroad:problem:{}", answer.problem),
        title: answer.title,
        status: answer.status,
        not_run: answer.not_run,
        request: target.id.to_string(),
    };
    let body = serde_json::to_vec(&problem)?;
    let mut text = start_head(answer.status, target);
    text.push_str("Content-Type: application/problem+json\r\n");
    if answer.retry == Retry::After {
        push_header(&mut text, "Retry-After", &ceil_seconds(after).to_string());
    }
    finish(out, text, target, answer.status, &body)
}

/// Writes a complete answer.
///
/// # Errors
///
/// Returns the system's error if it can't be written to the caller.
pub fn write_whole(
    out: &mut dyn Write,
    target: Target,
    head: &Head,
    body: &[u8],
) -> io::Result<()> {
    let text = head_text(head, target);
    finish(out, text, target, head.status, body)
}

/// A streamed answer.
pub struct ChunkedAnswer {
    encoder: Encoder<ClosableWriter>,
}

impl ChunkedAnswer {
    /// Writes the head of a streamed answer.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't be written to the caller.
    pub fn start(mut out: Box<dyn Write + Send>, target: Target, head: &Head) -> io::Result<Self> {
        let mut text = head_text(head, target);
        push_header(&mut text, "Transfer-Encoding", "chunked");
        text.push_str("\r\n");
        out.write_all(text.as_bytes())?;
        let writer = ClosableWriter { out, closed: false };
        Ok(Self {
            encoder: Encoder::with_chunks_size(writer, MAX_CHUNK_BYTES),
        })
    }

    /// Adds bytes to the answer.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't be written to the caller.
    pub fn write(&mut self, data: &[u8]) -> io::Result<()> {
        self.encoder.write_all(data)
    }

    /// Flushes the written bytes to the caller.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't be written to the caller.
    pub fn flush(&mut self) -> io::Result<()> {
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }

    /// Ends a complete answer.
    pub fn end(self) {
        // The encoder writes the last chunk when it is dropped.
        drop(self);
    }

    /// Breaks off an incomplete answer.
    pub fn abort(mut self) {
        let _ = self.encoder.flush();
        let writer = self.encoder.get_mut();
        let _ = writer.write_all(INVALID_CHUNK_LINE);
        let _ = writer.flush();
        writer.closed = true;
    }
}

/// A writer that discards everything once closed, including the last chunk that
/// the encoder writes when dropped.
struct ClosableWriter {
    out: Box<dyn Write + Send>,
    closed: bool,
}

impl Write for ClosableWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.closed {
            return Ok(buf.len());
        }
        let written = self.out.write(buf);
        // After a failed write the last chunk must not follow, or the answer
        // would look complete.
        self.closed = written.is_err();
        written
    }

    fn flush(&mut self) -> io::Result<()> {
        let flushed = self.out.flush();
        self.closed |= flushed.is_err();
        flushed
    }
}

impl Drop for ClosableWriter {
    /// Flushes the last chunk, which the encoder writes when dropped, just before
    /// this. Otherwise it would stay in the server's buffer until the connection
    /// is closed.
    fn drop(&mut self) {
        if !self.closed {
            let _ = self.out.flush();
        }
    }
}

/// Rounds up, so that callers don't retry too early.
fn ceil_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

fn start_head(status: u16, target: Target) -> String {
    let reason = StatusCode(status).default_reason_phrase();
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    push_header(&mut text, "Request-Id", &target.id.to_string());
    if target.close {
        push_header(&mut text, "Connection", "close");
    }
    text
}

fn head_text(head: &Head, target: Target) -> String {
    let mut text = start_head(head.status, target);
    for header in head.headers.iter().filter(|h| !is_not_forwarded(&h.name)) {
        push_header(&mut text, &header.name, &header.value);
    }
    text
}

fn push_header(text: &mut String, name: &str, value: &str) {
    let _ = write!(text, "{name}: {value}\r\n");
}

fn finish(
    out: &mut dyn Write,
    mut text: String,
    target: Target,
    status: u16,
    body: &[u8],
) -> io::Result<()> {
    if !BODYLESS_STATUSES.contains(&status) && !target.bodyless {
        push_header(&mut text, "Content-Length", &body.len().to_string());
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    if !BODYLESS_STATUSES.contains(&status) && !target.bodyless {
        bytes.extend_from_slice(body);
    }
    out.write_all(&bytes)?;
    out.flush()
}
