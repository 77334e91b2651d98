//! Attempts on their way, watched for the end of their endpoint.

use super::{Crashes, Subject};
use crate::gateway::http::Fault;
use hibiscusroad::quarantine::EndpointIncarnation;
use std::{error::Error, io, rc::Rc, time::Instant};

/// A request in flight at an endpoint.
///
/// Dropped without an outcome, it stays open: its endpoint may turn out to have ended.
pub(in crate::gateway) struct InFlight {
    crashes: Rc<Crashes>,
    subject: Rc<Subject>,
    life: EndpointIncarnation,
    sent: bool,
}

impl Crashes {
    /// Begins to watch a request on its way to an endpoint.
    pub(in crate::gateway) fn watch(
        self: &Rc<Self>,
        subject: &Rc<Subject>,
        life: EndpointIncarnation,
    ) -> InFlight {
        InFlight {
            crashes: Rc::clone(self),
            subject: Rc::clone(subject),
            life,
            sent: false,
        }
    }

    fn leave_open(&self, subject: &Subject, life: &EndpointIncarnation) {
        if subject.is_answered() {
            return;
        }
        let request = subject.fingerprint();
        let path = subject.path().to_owned();
        let ended = self
            .open
            .borrow_mut()
            .add(Instant::now(), request, life.clone(), path);
        if ended {
            self.record(request, life, subject.path());
        }
    }
}

impl InFlight {
    /// Notes that the request goes out on an open connection.
    pub(in crate::gateway) fn sent(&mut self) {
        self.sent = true;
    }

    /// Notes that the request was answered: it doesn't crash endpoints.
    pub(in crate::gateway) fn answered(&mut self) {
        self.sent = false;
        self.subject.set_answered();
        self.crashes.clear(&self.subject);
    }

    /// Notes that the endpoint lives and did not answer the request.
    pub(in crate::gateway) fn dismissed(&mut self) {
        self.sent = false;
    }

    /// Notes why the connection broke before the whole answer was there.
    pub(in crate::gateway) fn broke(&mut self, error: &(dyn Error + 'static)) {
        if self.sent && is_closed(error) {
            self.sent = false;
            self.crashes
                .record(self.subject.fingerprint(), &self.life, self.subject.path());
        }
    }

    /// Notes why no answer came.
    pub(in crate::gateway) fn faulted(&mut self, fault: &Fault) {
        match fault {
            Fault::Broken(error) => self.broke(error),
            Fault::Unreached(why) => {
                self.sent = false;
                if why.is_refusal() {
                    self.crashes.ended(&self.life);
                }
            }
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.sent {
            self.crashes.leave_open(&self.subject, &self.life);
        }
    }
}

/// Says whether the other side closed or reset the connection, as it does when its
/// process ends. A silent connection tells nothing of the endpoint: it may be the
/// network.
fn is_closed(error: &(dyn Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
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
        next = error.source();
    }
    false
}
