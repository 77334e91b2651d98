//! The path of one request from its caller to an endpoint and back.
//!
//! The router says where it starts, where it starts again, and when there is no
//! point in going on; this module carries that out, with two attempts under way
//! at the most. Dropped, it drops the attempts and with them their connections:
//! that is how the work of a caller that has left is cancelled.

use super::{
    attempt::{Answer, Done, Head, Line, Received, Sending, run},
    calls::Ticket,
    http::{Rest, Sent, whole as whole_body},
    subject::Subject,
};
use crate::logs::CALLS;
use hibiscusroad::{
    Class, ErrorKind, Repeat,
    catalog::Kind,
    quarantine::Verdict,
    route::{EndpointKey, Outcome, Step},
};
use http_body_util::Either;
use hyper::body::{Body, Bytes};
use std::{future::poll_fn, pin::Pin, rc::Rc, task::Poll, time::Duration};

/// A request's body, as far as it can be sent again.
pub(super) enum Content {
    /// All of it; can be sent any number of times.
    Whole(Bytes),
    /// It comes while it is sent; can be sent once.
    Once(Option<Box<Rest>>),
}

impl Content {
    /// Returns as much of it as is there before it is sent, and the length of all of it,
    /// if that is told.
    pub(super) fn known(&self) -> (Bytes, Option<u64>) {
        match self {
            Self::Whole(body) => (body.clone(), Some(body.len() as u64)),
            Self::Once(None) => (Bytes::new(), None),
            Self::Once(Some(rest)) => {
                let first = rest.first.clone().unwrap_or_default();
                (first, rest.size_hint().exact())
            }
        }
    }

    fn send(&mut self) -> Option<Sent> {
        match self {
            Self::Whole(body) => Some(whole_body(body.clone())),
            Self::Once(rest) => rest.take().map(|rest| Either::Right(*rest)),
        }
    }
}

/// A request that is to be run.
pub(super) struct Forward {
    pub(super) head: Rc<Head>,
    pub(super) subject: Rc<Subject>,
    pub(super) content: Content,
    pub(super) service: String,
    pub(super) class: Class,
    pub(super) kind: Kind,
    pub(super) attempts: u32,
    pub(super) tokens: u32,
}

/// How a request ended.
pub(super) enum Ended {
    /// With an endpoint's answer; the ticket if more of it is to come.
    Answer(Box<Answer>, Option<(Ticket, EndpointKey)>),
    /// Without one.
    Refused(ErrorKind, Duration),
}

type Running = (EndpointKey, Pin<Box<dyn Future<Output = Done>>>);

/// Runs a request until it is answered or refused.
pub(super) async fn ended(line: &Line, mut request: Forward) -> Ended {
    let repeat = match request.kind {
        Kind::Idempotent | Kind::Stream { resumable: true } => Repeat::Idempotent,
        Kind::Once | Kind::Stream { resumable: false } | Kind::Rollout => Repeat::Once,
    };
    let alone = match line.crashes.verdict(&request.subject) {
        Verdict::Clear => false,
        Verdict::Suspect => true,
        Verdict::Quarantined(left) => return stopped(&request, None, false, left),
    };
    let flow = matches!(request.kind, Kind::Stream { .. });
    let tries = u8::try_from(request.attempts).unwrap_or(u8::MAX);
    let deadline = request.head.deadline;
    let shape = |call: hibiscusroad::route::Call| {
        let call = call
            .repeat(repeat)
            .max_attempts(tries)
            .tokens(request.tokens);
        call.no_hedge(alone)
    };
    let mut ticket = line
        .calls
        .arrive(&request.service, request.class, deadline, shape);
    let mut running: Vec<Running> = Vec::new();
    // What an endpoint told of its own failure, if nothing better comes.
    let mut told = None;
    // Attempts that run or may have run.
    let mut begun = 0_u32;
    loop {
        tokio::select! {
            step = ticket.next() => match step {
                Step::Start { endpoint, .. } => {
                    if let Verdict::Quarantined(left) = line.crashes.verdict(&request.subject) {
                        return stopped(&request, told, begun > 0, left);
                    }
                    let target = line.calls.target(endpoint);
                    let (Some(target), Some(body)) = (target, request.content.send()) else {
                        ticket.finish(endpoint, Outcome::NotRun(ErrorKind::NoEndpoint));
                        continue;
                    };
                    let sending = Sending {
                        head: Rc::clone(&request.head),
                        subject: Rc::clone(&request.subject),
                        body,
                        flow,
                    };
                    let attempt = run(line.clone(), sending, endpoint, target);
                    running.push((endpoint, Box::pin(attempt)));
                    begun += 1;
                }
                Step::Cancel { endpoint, .. } => running.retain(|(key, _)| *key != endpoint),
                Step::Refuse { kind, retry_after, .. } => {
                    return match told {
                        Some(answer) => Ended::Answer(Box::new(answer), None),
                        None => Ended::Refused(kind, retry_after),
                    };
                }
            },
            (endpoint, done) = first(&mut running) => match done {
                Done::Answer(answer) if matches!(answer.body, Received::Whole(_)) => {
                    ticket.finish(endpoint, Outcome::Answered);
                    return Ended::Answer(Box::new(answer), None);
                }
                Done::Answer(answer) => {
                    ticket.commit(endpoint);
                    return Ended::Answer(Box::new(answer), Some((ticket, endpoint)));
                }
                Done::NotRun(kind) => {
                    begun -= 1;
                    ticket.finish(endpoint, Outcome::NotRun(kind));
                }
                Done::Failed(kind, answer) => {
                    told = answer.filter(|a| matches!(a.body, Received::Whole(_))).or(told);
                    ticket.finish(endpoint, Outcome::Failed(kind));
                }
            },
        }
    }
}

/// Ends a request that is in quarantine; `begun` if an attempt of it may have run.
fn stopped(request: &Forward, told: Option<Answer>, begun: bool, left: Duration) -> Ended {
    log::info!(target: CALLS, id = request.head.id.as_str(), path = request.subject.path(),
        fingerprint:% = request.subject.fingerprint(), begun = begun;
        "A request in quarantine is not run.");
    match told {
        Some(answer) => Ended::Answer(Box::new(answer), None),
        None if begun => Ended::Refused(ErrorKind::EndpointBroken, Duration::ZERO),
        None => Ended::Refused(ErrorKind::Quarantined, left),
    }
}

/// Waits for the first attempt that ends; for ever if there is none.
async fn first(running: &mut Vec<Running>) -> (EndpointKey, Done) {
    poll_fn(|cx| {
        for n in 0..running.len() {
            if let Poll::Ready(done) = running[n].1.as_mut().poll(cx) {
                let (endpoint, _) = running.swap_remove(n);
                return Poll::Ready((endpoint, done));
            }
        }
        Poll::Pending
    })
    .await
}
