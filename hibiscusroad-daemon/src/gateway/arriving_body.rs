//! The body of an answer that is passed on as it arrives.
//!
//! It ends at the request's deadline: an endpoint may fall silent, or send without end.

use hyper::body::{Body, Bytes, Incoming};
use std::{
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};
use tokio::time::{Sleep, sleep_until};

/// Why a body ended early.
#[derive(Debug, thiserror::Error)]
pub(super) enum EarlyEnd {
    /// The connection broke.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The deadline passed before the end arrived.
    #[error("the deadline passed")]
    Deadline,
}

/// The rest of a body, which ends at a deadline.
pub(super) struct ArrivingBody {
    body: Incoming,
    deadline: Pin<Box<Sleep>>,
}

impl ArrivingBody {
    pub(super) fn new(body: Incoming, deadline: Instant) -> Self {
        Self {
            body,
            deadline: Box::pin(sleep_until(deadline.into())),
        }
    }

    /// Returns the remaining length in bytes, if it is known.
    pub(super) fn exact_len(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Polls for the next bytes; `None` at the end of the body.
    pub(super) fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, EarlyEnd>>> {
        // Comes first, since a body without end may always have bytes ready.
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(EarlyEnd::Deadline)));
        }
        loop {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
                // Trailers are hop-by-hop here.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }

    /// Waits for the next bytes; `None` at the end of the body.
    pub(super) async fn data(&mut self) -> Option<Result<Bytes, EarlyEnd>> {
        poll_fn(|cx| self.poll_data(cx)).await
    }
}
