//! The head and the content of a request for an endpoint.

use super::http::{PartialBody, RequestBody, full_body};
use http_body_util::Either;
use hyper::{
    HeaderMap, Method, Uri,
    body::{Body, Bytes},
};
use std::{rc::Rc, time::Instant};

/// The method, target and headers of a request for an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    /// The request id that the caller chose.
    pub(super) id: String,
    pub(super) deadline: Instant,
    /// The client account that is charged for the request.
    pub(super) account: Option<Rc<str>>,
}

/// A request's body.
pub(super) enum Content {
    /// A complete body, which can be sent any number of times.
    Whole(Bytes),
    /// A body that is still arriving, which can be sent once; `None` after that.
    Once(Option<Box<PartialBody>>),
}

impl Content {
    /// Returns the part that has been read, and the length of the whole body if the
    /// caller declared it.
    pub(super) fn prefix(&self) -> (Bytes, Option<u64>) {
        match self {
            Self::Whole(body) => (body.clone(), Some(body.len() as u64)),
            Self::Once(None) => (Bytes::new(), None),
            Self::Once(Some(rest)) => {
                let first = rest.first.clone().unwrap_or_default();
                (first, rest.size_hint().exact())
            }
        }
    }

    /// Returns the body for the next attempt; `None` if it can't be sent again.
    pub(super) fn take_body(&mut self) -> Option<RequestBody> {
        match self {
            Self::Whole(body) => Some(full_body(body.clone())),
            Self::Once(rest) => rest.take().map(|rest| Either::Right(*rest)),
        }
    }
}

/// Returns a header's value if it is visible ASCII text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
