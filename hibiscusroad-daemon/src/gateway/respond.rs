//! Runs a request and builds the response for its caller.

use super::{
    answer::{Flow, ResponseBody, full_response, problem},
    attempt::{Answer, AnswerBody, AttemptContext},
    calls::Ticket,
    forward::{Ended, Forward, run_to_end},
    message::{Head, text},
    resume::{ResumableRequest, resumed},
};
use crate::logs::CALLS;
use hibiscusroad::{ErrorKind, clock::millis, route::EndpointKey};
use hyper::{Response, header::CONTENT_TYPE};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Runs a request and returns the response for its caller.
pub(super) async fn run_for_caller(
    context: &AttemptContext,
    request: Forward,
) -> Response<ResponseBody> {
    let head = Rc::clone(&request.head);
    let resumable = ResumableRequest::of(&request);
    let (start, service) = (Instant::now(), request.service.clone());
    match run_to_end(context, request).await {
        Ended::Answer(answer, run) => {
            log::info!(target: CALLS, id = head.id.as_str(), service = service.as_str(),
                endpoint = &*answer.endpoint, status = answer.status.as_u16(),
                streams = run.is_some(), took_ms = millis(start.elapsed());
                "A request is answered.");
            build_response(context, &head, *answer, run, resumable)
        }
        Ended::Refused(kind, after) => {
            log::info!(target: CALLS, id = head.id.as_str(), kind = kind.answer().problem,
                after_ms = millis(after); "A request is refused.");
            problem(kind, after)
        }
    }
}

/// Builds the response from an endpoint's answer; `run` is set if its body is still
/// arriving.
fn build_response(
    context: &AttemptContext,
    head: &Head,
    answer: Answer,
    run: Option<(Ticket, EndpointKey)>,
    resumable: Option<ResumableRequest>,
) -> Response<ResponseBody> {
    let mut response = match (answer.body, run) {
        (AnswerBody::Whole(body), _) => full_response(answer.status, "", body),
        (AnswerBody::Partial(partial), Some(run)) => {
            let (first, rest, guard) = partial.split(context, run, head, &answer.headers);
            let is_event_stream = text(&answer.headers, CONTENT_TYPE.as_str())
                .is_some_and(|value| value.starts_with("text/event-stream"));
            let body = match resumable.filter(|_| is_event_stream && first.is_empty()) {
                Some(request) => ResponseBody::Resumed(resumed(context, request, rest, guard)),
                None => ResponseBody::Flow(Box::new(Flow { first, rest, guard })),
            };
            let mut response = Response::new(body);
            *response.status_mut() = answer.status;
            response
        }
        (AnswerBody::Partial(..), None) => return problem(ErrorKind::Internal, Duration::ZERO),
    };
    *response.headers_mut() = answer.headers;
    response
}
