//! Tracking of requests in flight, which detects that their endpoint ended.

use super::{Crashes, Subject};
use crate::gateway::http::Fault;
use hibiscusroad::quarantine::EndpointIncarnation;
use std::{
    error::Error,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

/// A request in flight at an endpoint.
///
/// If it is dropped after it was sent and without an outcome, it is kept as unresolved: its
/// endpoint may turn out to have ended.
pub(in crate::gateway) struct InFlight {
    crashes: Rc<Crashes>,
    /// `None` for the work of a batch, which is never the cause of a crash.
    subject: Option<Rc<Subject>>,
    incarnation: EndpointIncarnation,
    /// It was sent, and its outcome is not known.
    unresolved: bool,
    /// When it was last sent, by the store's clock.
    sent_at: Duration,
}

impl Crashes {
    /// Starts to track a request to an endpoint; the work of a batch has no subject.
    pub(in crate::gateway) fn track(
        self: &Rc<Self>,
        subject: Option<&Rc<Subject>>,
        incarnation: EndpointIncarnation,
    ) -> InFlight {
        InFlight {
            crashes: Rc::clone(self),
            subject: subject.cloned(),
            incarnation,
            unresolved: false,
            sent_at: Duration::ZERO,
        }
    }

    /// Keeps a request whose outcome is unknown until its endpoint is seen to have ended.
    fn add_unresolved(&self, subject: &Subject, incarnation: &EndpointIncarnation) {
        if subject.is_answered() {
            return;
        }
        let request = subject.fingerprint();
        let path = subject.path().to_owned();
        let ended =
            self.unresolved
                .borrow_mut()
                .add(Instant::now(), request, incarnation.clone(), path);
        if ended {
            self.record_crash(request, incarnation, subject.path());
        }
    }
}

impl InFlight {
    /// Records that the request is being written to an open connection.
    pub(in crate::gateway) fn mark_sent(&mut self) {
        self.unresolved = true;
        self.sent_at = self.crashes.now();
    }

    /// Records that the endpoint began to answer the request, so it lives.
    pub(in crate::gateway) fn mark_alive(&self) {
        self.crashes.record_life(&self.incarnation, self.sent_at);
    }

    /// Records that the request was answered, and removes the evidence against it.
    pub(in crate::gateway) fn mark_answered(&mut self) {
        self.unresolved = false;
        if let Some(subject) = &self.subject {
            subject.set_answered();
            self.crashes.remove_evidence(subject);
        }
    }

    /// Records that the endpoint survived the request, although it did not answer it.
    pub(in crate::gateway) fn mark_survived(&mut self) {
        self.unresolved = false;
    }

    /// Records the error that broke the connection before the answer was complete.
    pub(in crate::gateway) fn record_break(&mut self, error: &(dyn Error + 'static)) {
        if !self.unresolved || !is_closed(error) {
            return;
        }
        self.unresolved = false;
        if let Some(subject) = &self.subject {
            let request = subject.fingerprint();
            self.crashes
                .record_crash(request, &self.incarnation, subject.path());
        }
    }

    /// Records the fault because of which no answer was received.
    pub(in crate::gateway) fn record_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Broken(error) => self.record_break(error),
            Fault::Evacuated | Fault::Left | Fault::Withheld | Fault::Foreign => {
                self.unresolved = false;
            }
            Fault::Connect(cause) => {
                self.unresolved = false;
                if cause.is_refusal() {
                    self.crashes.record_end(&self.incarnation);
                }
            }
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(subject) = self.subject.as_ref().filter(|_| self.unresolved) {
            self.crashes.add_unresolved(subject, &self.incarnation);
        }
    }
}

/// Returns whether the other side closed or reset the connection, as happens when its
/// process ends. A timeout doesn't count: the network may be the cause.
fn is_closed(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<hyper::Error>()
            && error.is_incomplete_message()
        {
            return true;
        }
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::BrokenPipe
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::UnexpectedEof
            );
        }
        cause = error.source();
    }
    false
}
