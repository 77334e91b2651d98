//! Reads and validates a caller's request.

use crate::{
    entry::event::{Inbound, Prompt},
    headers::is_hop_by_hop,
};
use hibiscusroad::{Class, ErrorKind};
use hibiscusroad_wire::Header;
use serde::Deserialize;
use std::{
    borrow::Cow,
    time::{Duration, Instant},
};
use tiny_http::{Method, Request};
use xxhash_rust::xxh3::xxh3_64;

/// Header with the caller's remaining time, in milliseconds.
const DEADLINE_HEADER: &str = "Deadline-Ms";

/// Header with the idempotency key.
const KEY_HEADER: &str = "Idempotency-Key";

/// Header with the request's class.
const CLASS_HEADER: &str = "Request-Class";

/// The range of [`DEADLINE_HEADER`], in milliseconds.
const DEADLINE_MS_RANGE: std::ops::RangeInclusive<u64> = 1..=600_000;

/// Longest timeout of a call, by its header or a service's rule.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(*DEADLINE_MS_RANGE.end());

/// Size limit of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Limits of the number and total size of the headers.
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Size limits of the request target and of the service name in it.
const MAX_TARGET_BYTES: usize = 8 << 10;
const MAX_SERVICE_BYTES: usize = 64;

/// Time limit for reading a body, so that a slow caller doesn't hold a worker.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes at the start of a prompt that are hashed for routing to an engine with
/// that prefix in its cache.
const PREFIX_BYTES: usize = 512;

/// Estimated bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens that a model call generates if its body sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Headers that the entry consumes.
const CONSUMED_HEADERS: [&str; 2] = ["content-length", "deadline-ms"];

/// Returns whether a header is hop-by-hop or consumed here, and isn't forwarded.
pub fn is_not_forwarded(name: &str) -> bool {
    is_hop_by_hop(name)
        || CONSUMED_HEADERS
            .iter()
            .any(|consumed| name.eq_ignore_ascii_case(consumed))
}

/// Returns whether a body may follow the headers.
pub fn has_body(request: &Request) -> bool {
    header_values(request, "Content-Length").any(|v| v != "0")
        || header_values(request, "Transfer-Encoding").next().is_some()
        || header_values(request, "Connection").any(is_upgrade)
}

/// Returns the caller's timeout, if it sets one.
///
/// # Errors
///
/// Returns [`ErrorKind::BadDeadline`] if the header is not a number in
/// its range.
pub fn deadline(request: &Request) -> Result<Option<Duration>, ErrorKind> {
    let Some(text) = single_header(request, DEADLINE_HEADER, ErrorKind::BadDeadline)? else {
        return Ok(None);
    };
    if !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ErrorKind::BadDeadline);
    }
    match text.parse() {
        Ok(ms) if DEADLINE_MS_RANGE.contains(&ms) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(ErrorKind::BadDeadline),
    }
}

/// Reads and validates a request; its body may have `max_body` bytes.
///
/// # Errors
///
/// Returns the kind of error if the request is invalid.
pub fn read(request: &mut Request, max_body: usize) -> Result<Inbound, ErrorKind> {
    check_headers(request)?;
    let (service, path) = target(request.url())?;
    let idempotent = idempotent(request.method())?;
    let class = class(request)?;
    let key = key(request)?;
    let headers = forwarded_headers(request);
    let method = request.method().as_str().to_owned();
    let body = body(request, max_body)?;
    let prompt = is_model_path(&path).then(|| prompt(&body)).flatten();
    Ok(Inbound {
        service,
        method,
        path,
        headers,
        body,
        class,
        key,
        idempotent,
        prompt,
    })
}

/// Returns whether a path is one of the common model APIs, whose calls are
/// idempotent.
pub fn is_model_path(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    matches!(path, "/v1/completions" | "/v1/chat/completions")
}

fn check_headers(request: &Request) -> Result<(), ErrorKind> {
    let headers = request.headers();
    let bytes = |h: &tiny_http::Header| h.field.as_str().as_str().len() + h.value.len();
    if headers.len() > MAX_HEADERS
        || headers.iter().map(bytes).sum::<usize>() > MAX_HEADER_BYTES
        || request.url().len() > MAX_TARGET_BYTES
    {
        return Err(ErrorKind::HeadersTooLarge);
    }
    let is_control = |b: u8| b.is_ascii_control() && b != b'\t';
    if headers
        .iter()
        .any(|h| h.value.as_str().bytes().any(is_control))
    {
        return Err(ErrorKind::BadRequest);
    }
    check_framing(request)
}

/// Refuses ambiguous body lengths, which would allow request smuggling (RFC 9112,
/// 6.3).
fn check_framing(request: &Request) -> Result<(), ErrorKind> {
    if header_values(request, "Connection").any(is_upgrade) {
        return Err(ErrorKind::BadRequest);
    }
    let mut codings = header_values(request, "Transfer-Encoding");
    let coding = codings.next();
    let length = single_header(request, "Content-Length", ErrorKind::BadRequest)?;
    match (coding, length) {
        (Some(_), Some(_)) => Err(ErrorKind::BadRequest),
        (Some(coding), None) if !coding.eq_ignore_ascii_case("chunked") => {
            Err(ErrorKind::BadRequest)
        }
        (None, Some(text)) if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) => {
            Err(ErrorKind::BadRequest)
        }
        (None, Some(_)) if request.body_length().is_none() => Err(ErrorKind::BodyTooLarge),
        _ if codings.next().is_some() => Err(ErrorKind::BadRequest),
        _ => Ok(()),
    }
}

fn target(url: &str) -> Result<(String, String), ErrorKind> {
    let rest = url.strip_prefix("/s/").ok_or(ErrorKind::UnknownPath)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if service.is_empty() || service.len() > MAX_SERVICE_BYTES || !service.bytes().all(valid) {
        return Err(ErrorKind::UnknownService);
    }
    if url.bytes().any(|b| !b.is_ascii_graphic()) {
        return Err(ErrorKind::BadRequest);
    }
    let slash = if path.starts_with('/') { "" } else { "/" };
    Ok((service.to_owned(), format!("{slash}{path}")))
}

fn idempotent(method: &Method) -> Result<bool, ErrorKind> {
    match method {
        Method::Get | Method::Head | Method::Put | Method::Delete | Method::Options => Ok(true),
        Method::Post | Method::Patch => Ok(false),
        _ => Err(ErrorKind::BadMethod),
    }
}

fn class(request: &Request) -> Result<Class, ErrorKind> {
    match single_header(request, CLASS_HEADER, ErrorKind::BadRequest)? {
        None | Some("interactive") => Ok(Class::Interactive),
        Some("partner") => Ok(Class::Partner),
        Some("rollout") => Ok(Class::Rollout),
        Some(_) => Err(ErrorKind::BadRequest),
    }
}

fn key(request: &Request) -> Result<Option<String>, ErrorKind> {
    let Some(key) = single_header(request, KEY_HEADER, ErrorKind::BadKey)? else {
        return Ok(None);
    };
    let printable = |b: u8| b.is_ascii_graphic() || b == b' ';
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(printable) {
        return Err(ErrorKind::BadKey);
    }
    Ok(Some(key.to_owned()))
}

fn forwarded_headers(request: &Request) -> Vec<Header> {
    let headers = request.headers().iter();
    headers
        .filter(|h| !is_not_forwarded(h.field.as_str().as_str()))
        .map(|h| Header {
            name: h.field.as_str().as_str().to_owned(),
            value: h.value.as_str().to_owned(),
        })
        .collect()
}

fn body(request: &mut Request, max_body: usize) -> Result<Vec<u8>, ErrorKind> {
    let length = request.body_length();
    if length.is_some_and(|n| n > max_body) {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut body = Vec::with_capacity(length.unwrap_or_default());
    if !has_body(request) {
        return Ok(body);
    }
    let start = Instant::now();
    let mut buf = [0; 16 << 10];
    let reader = request.as_reader();
    loop {
        let n = match reader.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => n,
            Err(_) => return Err(ErrorKind::BadBody),
        };
        body.extend_from_slice(&buf[..n]);
        if body.len() > max_body {
            return Err(ErrorKind::BodyTooLarge);
        }
        if start.elapsed() > BODY_TIMEOUT {
            return Err(ErrorKind::BadBody);
        }
    }
    if length.is_some_and(|n| n != body.len()) {
        return Err(ErrorKind::BadBody);
    }
    Ok(body)
}

#[derive(Deserialize)]
struct ModelCall<'a> {
    #[serde(borrow, default)]
    prompt: Cow<'a, str>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Parses the properties of a model call from its body.
///
/// Returns `None` for a body in another form, which is routed like a plain call
/// and left to the engine to validate.
fn prompt(body: &[u8]) -> Option<Prompt> {
    let call: ModelCall<'_> = serde_json::from_slice(body).ok()?;
    let text = call.prompt.as_bytes();
    let prompt_tokens = u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let generated = call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    Some(Prompt {
        tokens: prompt_tokens.saturating_add(generated),
        prefix: xxh3_64(&text[..text.len().min(PREFIX_BYTES)]),
        stream: call.stream,
    })
}

fn header_values<'a>(request: &'a Request, name: &'static str) -> impl Iterator<Item = &'a str> {
    let headers = request.headers().iter();
    headers
        .filter(move |h| h.field.equiv(name))
        .map(|h| h.value.as_str().trim())
}

/// Returns the value of a header that may occur at most once.
fn single_header<'a>(
    request: &'a Request,
    name: &'static str,
    kind: ErrorKind,
) -> Result<Option<&'a str>, ErrorKind> {
    let mut values = header_values(request, name);
    let value = values.next();
    match values.next() {
        None => Ok(value),
        Some(_) => Err(kind),
    }
}

fn is_upgrade(value: &str) -> bool {
    value.to_ascii_lowercase().contains("upgrade")
}
