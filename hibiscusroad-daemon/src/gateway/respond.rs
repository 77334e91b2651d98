//! The answer of a request that was run, as its caller gets it.

use super::{
    answer::{Flow, Out, problem, whole},
    attempt::{Answer, Head, Line, Received, text},
    calls::Ticket,
    forward::{Ended, Forward, ended},
    resume::{Again, resumed},
};
use crate::logs::CALLS;
use hibiscusroad::{ErrorKind, clock::millis, route::EndpointKey};
use hyper::{Response, header::CONTENT_TYPE};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Runs a request and returns its answer for the caller.
pub(super) async fn answered(line: &Line, request: Forward) -> Response<Out> {
    let head = Rc::clone(&request.head);
    let again = Again::of(&request);
    let (start, service) = (Instant::now(), request.service.clone());
    match ended(line, request).await {
        Ended::Answer(answer, more) => {
            log::info!(target: CALLS, id = head.id.as_str(), service = service.as_str(),
                endpoint = &*answer.endpoint, status = answer.status.as_u16(),
                streams = more.is_some(), took_ms = millis(start.elapsed());
                "A request is answered.");
            respond(line, &head, *answer, more, again)
        }
        Ended::Refused(kind, after) => {
            log::info!(target: CALLS, id = head.id.as_str(), kind = kind.answer().problem,
                after_ms = millis(after); "A request is refused.");
            problem(kind, after)
        }
    }
}

fn respond(
    line: &Line,
    head: &Head,
    answer: Answer,
    more: Option<(Ticket, EndpointKey)>,
    again: Option<Again>,
) -> Response<Out> {
    let mut response = match (answer.body, more) {
        (Received::Whole(body), _) => whole(answer.status, "", body),
        (Received::Flow(flowing), Some(place)) => {
            let (first, rest, guard) = flowing.split(line, place, head, &answer.headers);
            let events = text(&answer.headers, CONTENT_TYPE.as_str())
                .is_some_and(|kind| kind.starts_with("text/event-stream"));
            let body = match again.filter(|_| events && first.is_empty()) {
                Some(again) => Out::Resumed(resumed(line, again, rest, guard)),
                None => Out::Flow(Box::new(Flow { first, rest, guard })),
            };
            let mut response = Response::new(body);
            *response.status_mut() = answer.status;
            response
        }
        (Received::Flow(..), None) => return problem(ErrorKind::Internal, Duration::ZERO),
    };
    *response.headers_mut() = answer.headers;
    response
}
