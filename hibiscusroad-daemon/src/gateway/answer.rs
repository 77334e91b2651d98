//! Responses to callers, and their bodies.

use super::{arriving_body::ArrivingBody, attempt::Guard};
use futures_util::stream::Stream;
use hibiscusroad::{ErrorKind, clock::millis};
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    body::{Body, Bytes, Frame, SizeHint},
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
};
use serde::Serialize;
use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

/// The body of a response to a caller.
pub(super) enum ResponseBody {
    /// A complete body.
    Whole(Full<Bytes>),
    /// An endpoint's body that is passed on as it arrives.
    Flow(Box<Flow>),
    /// A stream of events that may come from several endpoints.
    Resumed(Resumed),
}

/// A stream of events that may come from several endpoints.
pub(super) type Resumed = Pin<Box<dyn Stream<Item = Result<Bytes, Broken>>>>;

/// An endpoint's body that is passed on as it arrives.
pub(super) struct Flow {
    pub(super) first: VecDeque<Bytes>,
    pub(super) rest: ArrivingBody,
    /// Reports the end of the attempt when the body is read to its end or dropped.
    pub(super) guard: Guard,
}

/// The answer ended early; the caller's connection is closed so that it shows.
#[derive(Debug, thiserror::Error)]
#[error("the answer ended early")]
pub(super) struct Broken;

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(body) => match Pin::new(body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
                Poll::Ready(_) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
            Self::Flow(flow) => flow.poll(cx),
            Self::Resumed(stream) => {
                let next = stream.as_mut().poll_next(cx);
                next.map(|next| next.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Flow(_) | Self::Resumed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Flow(flow) => flow.size_hint(),
            Self::Resumed(_) => SizeHint::default(),
        }
    }
}

impl Flow {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if let Some(first) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match ready!(self.rest.poll_data(cx)) {
            None => {
                self.guard.complete();
                Poll::Ready(None)
            }
            Some(Ok(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Err(end)) => {
                self.guard.record_early_end(&end);
                Poll::Ready(Some(Err(Broken)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        let first: usize = self.first.iter().map(Bytes::len).sum();
        match self.rest.exact_len() {
            Some(rest) => SizeHint::with_exact(rest + first as u64),
            None => SizeHint::default(),
        }
    }
}

/// Builds a response with a complete body; an empty `content_type` sets no header.
pub(super) fn full_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Full::new(body.into())));
    *response.status_mut() = status;
    if !content_type.is_empty() {
        let value = HeaderValue::from_static(content_type);
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

#[derive(Serialize)]
struct Problem<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
}

/// Builds the problem response of an error kind.
///
/// `retry_after` is sent with status 429 and 503, which say that the request did
/// not run.
pub(super) fn problem(kind: ErrorKind, retry_after: Duration) -> Response<ResponseBody> {
    let answer = kind.answer();
    let body = serde_json::to_vec(&Problem {
        r#type: answer.problem,
        title: answer.title,
        status: answer.status,
    });
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = full_response(status, "application/problem+json", body.unwrap_or_default());
    response.extensions_mut().insert(kind);
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    if matches!(answer.status, 429 | 503) {
        let secs = millis(retry_after.max(MIN_RETRY_AFTER)) as f64 / 1000.0;
        if let Ok(value) = HeaderValue::from_str(&format!("{secs:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// The smallest `Retry-After` value that is sent.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
