//! The parts of a caller's request that identify it across repeats.

use super::message::{Content, Head, text};
use hibiscusroad::quarantine::{Fingerprint, Identity};
use hyper::body::Bytes;
use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
};

/// The parts of a caller's request that are the same in each of its repeats.
#[derive(Debug)]
pub(super) struct Subject {
    method: String,
    host: String,
    path: String,
    account: Option<String>,
    /// The content, or the part of it that was read before the request is sent.
    body: Bytes,
    /// Length of the whole content in bytes, if the caller declared it.
    length: Option<u64>,
    fingerprint: OnceCell<Fingerprint>,
    answered: Cell<bool>,
}

impl Subject {
    pub(super) fn new(head: &Head, account: Option<&str>, content: &Content) -> Rc<Self> {
        let (body, length) = content.prefix();
        let path = head.target.path_and_query();
        Rc::new(Self {
            method: head.method.as_str().to_owned(),
            host: text(&head.headers, "host").unwrap_or_default().to_owned(),
            path: path.map_or("", |path| path.as_str()).to_owned(),
            account: account.map(str::to_owned),
            body,
            length,
            fingerprint: OnceCell::new(),
            answered: Cell::new(false),
        })
    }

    /// Records that an endpoint answered the request.
    pub(super) fn set_answered(&self) {
        self.answered.set(true);
    }

    /// Returns whether an endpoint has answered the request.
    pub(super) fn is_answered(&self) -> bool {
        self.answered.get()
    }

    /// Returns the request's path.
    pub(super) fn path(&self) -> &str {
        &self.path
    }

    /// Returns the request's fingerprint, which is computed on first use.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            Fingerprint::of(&Identity {
                method: &self.method,
                host: &self.host,
                path: &self.path,
                account: self.account.as_deref(),
                body: &self.body,
                length: self.length,
            })
        })
    }
}

/// Returns the fingerprint of a request for a log line; the work of a batch has none.
pub(super) fn fingerprint_text(subject: Option<&Subject>) -> Option<String> {
    subject.map(|subject| subject.fingerprint().to_string())
}
