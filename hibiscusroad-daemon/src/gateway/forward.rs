//! Runs a request at endpoints until it is answered or refused.
//!
//! The router decides where to start an attempt, when to start or cancel another,
//! and when to give up; this module carries out its steps, with at most two
//! attempts in flight. Dropping the future drops the attempts with their
//! connections, which cancels the work of a caller that has disconnected.

use super::{
    account_meters::{Refusal, record_refusal},
    accounts::QueueAccount,
    attempt::{Answer, AnswerBody, AttemptContext, AttemptRequest, Done, run},
    calls::Ticket,
    message::{Content, Head},
    regions::{record_refusal as record_refusal_by_regions, record_sent},
    subject::{Subject, fingerprint_text},
};
use crate::logs::CALLS;
use hibiscusroad::{
    Class, ErrorKind, Repeat,
    catalog::Kind,
    quarantine::Verdict,
    route::{EndpointKey, Outcome, Step},
    topology::RegionSet,
};
use std::{future::poll_fn, pin::Pin, rc::Rc, task::Poll, time::Duration};

/// A request to run at a service.
pub(super) struct Forward {
    pub(super) head: Rc<Head>,
    /// `None` for the work of a batch, which is never the cause of a crash.
    pub(super) subject: Option<Rc<Subject>>,
    pub(super) content: Content,
    pub(super) service: String,
    pub(super) class: Class,
    pub(super) kind: Kind,
    pub(super) max_attempts: u32,
    pub(super) tokens: u32,
    /// The account in whose turn it waits for an endpoint.
    pub(super) account: Option<QueueAccount>,
    /// The regions in which it may be served.
    pub(super) regions: RegionSet,
}

/// How a request ended.
pub(super) enum Ended {
    /// With an endpoint's answer; the ticket and endpoint if its body is still arriving.
    Answer(Box<Answer>, Option<(Ticket, EndpointKey)>),
    /// With a refusal and the delay after which to retry.
    Refused(ErrorKind, Duration),
}

type Running = (EndpointKey, Pin<Box<dyn Future<Output = Done>>>);

/// Runs a request until it is answered or refused.
pub(super) async fn run_to_end(context: &AttemptContext, mut request: Forward) -> Ended {
    let repeat = match request.kind {
        Kind::Idempotent | Kind::Stream { resumable: true } => Repeat::Idempotent,
        Kind::Once | Kind::Stream { resumable: false } | Kind::Rollout => Repeat::Once,
    };
    let no_hedge = match context.crashes.verdict(request.subject.as_deref()) {
        Verdict::Clear => false,
        Verdict::Suspect => true,
        Verdict::Quarantined(left) => return end_quarantined(&request, None, false, left),
    };
    let streams = matches!(request.kind, Kind::Stream { .. });
    let max_attempts = u8::try_from(request.max_attempts).unwrap_or(u8::MAX);
    let deadline = request.head.deadline;
    let configure = |call: hibiscusroad::route::Call| {
        let call = call
            .repeat(repeat)
            .max_attempts(max_attempts)
            .tokens(request.tokens)
            .regions(request.regions);
        call.no_hedge(no_hedge)
    };
    let mut ticket = context.calls.submit(
        &request.service,
        request.class,
        deadline,
        request.account.clone(),
        configure,
    );
    let mut running: Vec<Running> = Vec::new();
    // An endpoint's error response, passed on if no attempt succeeds.
    let mut error_answer = None;
    // Number of attempts that run or may have run.
    let mut may_run = 0_u32;
    loop {
        tokio::select! {
            step = ticket.next() => match step {
                Step::Start { endpoint, .. } => {
                    let verdict = context.crashes.verdict(request.subject.as_deref());
                    if let Verdict::Quarantined(left) = verdict {
                        return end_quarantined(&request, error_answer, may_run > 0, left);
                    }
                    // The body of a large request can be taken once, so this is checked first.
                    let target = context.calls.target(endpoint);
                    let target = target.filter(|target| {
                        context.destinations.is_open(&target.id, &target.data_centre)
                    });
                    let body = target.as_ref().and_then(|_| request.content.take_body());
                    let (Some(target), Some(body)) = (target, body) else {
                        ticket.finish(endpoint, Outcome::NotRun(ErrorKind::NoEndpoint));
                        continue;
                    };
                    record_sent(context, &request, &target);
                    let attempt = AttemptRequest {
                        head: Rc::clone(&request.head),
                        subject: request.subject.clone(),
                        body,
                        streams,
                    };
                    let attempt = run(context.clone(), attempt, endpoint, target);
                    running.push((endpoint, Box::pin(attempt)));
                    may_run += 1;
                }
                Step::Cancel { endpoint, .. } => running.retain(|(key, _)| *key != endpoint),
                Step::Refuse { kind, retry_after, .. } => {
                    record_account_refusal(context, &request, kind);
                    if kind == ErrorKind::NoEndpointInRegion {
                        record_refusal_by_regions(context, &request);
                    }
                    return match error_answer {
                        Some(answer) => Ended::Answer(Box::new(answer), None),
                        None => Ended::Refused(kind, retry_after),
                    };
                }
            },
            (endpoint, done) = next_done(&mut running) => match done {
                Done::Answer(answer) if matches!(answer.body, AnswerBody::Whole(_)) => {
                    ticket.finish(endpoint, Outcome::Answered);
                    return Ended::Answer(Box::new(answer), None);
                }
                Done::Answer(answer) => {
                    ticket.commit(endpoint);
                    return Ended::Answer(Box::new(answer), Some((ticket, endpoint)));
                }
                Done::NotRun(kind) => {
                    may_run -= 1;
                    ticket.finish(endpoint, Outcome::NotRun(kind));
                }
                Done::Failed(kind, answer) => {
                    error_answer = answer
                        .filter(|a| matches!(a.body, AnswerBody::Whole(_)))
                        .or(error_answer);
                    ticket.finish(endpoint, Outcome::Failed(kind));
                }
            },
        }
    }
}

/// Ends a request that is in quarantine; `may_have_run` if it had an attempt.
fn end_quarantined(
    request: &Forward,
    error_answer: Option<Answer>,
    may_have_run: bool,
    left: Duration,
) -> Ended {
    log::info!(target: CALLS, id = request.head.id.as_str(), path = request.head.target.path(),
        fingerprint = fingerprint_text(request.subject.as_deref()), begun = may_have_run; "A request in quarantine is not run.");
    match error_answer {
        Some(answer) => Ended::Answer(Box::new(answer), None),
        None if may_have_run => Ended::Refused(ErrorKind::EndpointBroken, Duration::ZERO),
        None => Ended::Refused(ErrorKind::Quarantined, left),
    }
}

/// Waits for the first attempt to end; never returns if there is none.
async fn next_done(running: &mut Vec<Running>) -> (EndpointKey, Done) {
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

/// Records a refusal by the router for the account of a request, if it has one.
fn record_account_refusal(context: &AttemptContext, request: &Forward, kind: ErrorKind) {
    if let Some(account) = &request.account {
        let refusal = Refusal {
            id: request.head.id.as_str(),
            account,
            service: &request.service,
            class: request.class,
            kind,
        };
        record_refusal(&context.calls, &context.meters, &refusal);
    }
}
