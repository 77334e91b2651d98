//! Resumes an event stream at another endpoint when its connection breaks.
//!
//! On resumable routes an endpoint continues after the event number that the
//! request names. Complete events are passed on as they arrive, and the request is
//! repeated after the last one, within the attempts of the route. The caller sees
//! one answer, with the head of the first endpoint's.
//!
//! A partial event is not passed on, since the next endpoint sends it again; the
//! cost is that an event is delayed until its last byte has arrived.

use super::{
    accounts::QueueAccount,
    answer::{Broken, Resumed},
    arriving_body::ArrivingBody,
    attempt::{Answer, AnswerBody, AttemptContext, Guard, set},
    forward::{Ended, Forward, run_to_end},
    message::{Content, Head},
    subject::Subject,
};
use crate::logs::CALLS;
use futures_util::stream::unfold;
use hibiscusroad::{Class, catalog::Kind, clock::millis, topology::RegionSet};
use hibiscusroad_platform::{event::EventDecoder, header};
use hyper::body::Bytes;
use std::{collections::VecDeque, rc::Rc, time::Instant};

/// What is needed to repeat a streaming request.
#[derive(Clone)]
pub(super) struct ResumableRequest {
    head: Rc<Head>,
    subject: Option<Rc<Subject>>,
    body: Bytes,
    service: String,
    class: Class,
    kind: Kind,
    tokens: u32,
    account: Option<QueueAccount>,
    regions: RegionSet,
    /// Number of runs left.
    runs_left: u32,
}

impl ResumableRequest {
    /// Copies what is needed of a request; `None` if it can't be resumed.
    pub(super) fn of(request: &Forward) -> Option<Self> {
        let (Kind::Stream { resumable: true }, Content::Whole(body)) =
            (request.kind, &request.content)
        else {
            return None;
        };
        Some(Self {
            head: Rc::clone(&request.head),
            subject: request.subject.clone(),
            body: body.clone(),
            service: request.service.clone(),
            class: request.class,
            kind: request.kind,
            tokens: request.tokens,
            account: request.account.clone(),
            regions: request.regions,
            runs_left: request.max_attempts.saturating_sub(1),
        })
    }

    /// Builds the request that continues after an event; `None` if no run is left.
    fn next_run(&mut self, last: Option<u64>) -> Option<Forward> {
        self.runs_left = self.runs_left.checked_sub(1)?;
        let mut head = (*self.head).clone();
        if let Some(last) = last {
            set(&mut head.headers, header::LAST_EVENT, &last.to_string());
        }
        Some(Forward {
            head: Rc::new(head),
            subject: self.subject.clone(),
            content: Content::Whole(self.body.clone()),
            service: self.service.clone(),
            class: self.class,
            kind: self.kind,
            max_attempts: self.runs_left + 1,
            tokens: self.tokens,
            account: self.account.clone(),
            regions: self.regions,
        })
    }
}

/// The state of a stream that is being passed on.
struct State {
    context: AttemptContext,
    request: ResumableRequest,
    events: EventDecoder,
    /// Number of the last event that was passed on.
    last: Option<u64>,
    ready: VecDeque<Bytes>,
    /// The body that events are read from; `None` after the end of the stream.
    source: Option<(ArrivingBody, Guard)>,
}

/// Passes a stream on and resumes it at another endpoint when it breaks.
pub(super) fn resumed(
    context: &AttemptContext,
    request: ResumableRequest,
    rest: ArrivingBody,
    guard: Guard,
) -> Resumed {
    let state = State {
        context: context.clone(),
        request,
        events: EventDecoder::new(),
        last: None,
        ready: VecDeque::new(),
        source: Some((rest, guard)),
    };
    Box::pin(unfold(state, |mut state| async move {
        let next = state.next().await?;
        Some((next, state))
    }))
}

impl State {
    /// Returns the next complete event, an error if the stream can't be resumed, and
    /// `None` after its end.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(event));
            }
            let (rest, guard) = self.source.as_mut()?;
            match rest.data().await {
                Some(Ok(data)) => {
                    self.events.push(&data);
                    if self.take_events() {
                        continue;
                    }
                    self.abort("an event is malformed or out of order");
                }
                None if self.events.is_at_boundary() => {
                    guard.complete();
                    self.source = None;
                    return None;
                }
                None => self.abort("the event stream ended early"),
                Some(Err(end)) => guard.record_early_end(&end),
            }
            if !self.resume().await {
                return Some(Err(Broken));
            }
        }
    }

    /// Queues all complete events; returns `false` if one is malformed or out of order.
    fn take_events(&mut self) -> bool {
        loop {
            match self.events.next_raw() {
                Ok(Some((number, bytes))) => {
                    if self.last.is_some_and(|last| number != last + 1) {
                        return false;
                    }
                    self.last = Some(number);
                    self.ready.push_back(bytes.into());
                }
                Ok(None) => return true,
                Err(_malformed) => return false,
            }
        }
    }

    /// Ends the present run because its answer is invalid.
    fn abort(&mut self, error: &str) {
        if let Some((_, guard)) = &mut self.source {
            guard.record_invalid(error);
        }
    }

    /// Continues after the last event at another endpoint; returns whether it succeeded.
    async fn resume(&mut self) -> bool {
        let id = self.request.head.id.clone();
        self.source = None;
        self.events = EventDecoder::new();
        while Instant::now() < self.request.head.deadline {
            let Some(forward) = self.request.next_run(self.last) else {
                break;
            };
            let head = Rc::clone(&forward.head);
            match run_to_end(&self.context, forward).await {
                Ended::Answer(answer, Some(run)) if answer.status.is_success() => {
                    let Answer { headers, body, .. } = *answer;
                    let AnswerBody::Partial(partial) = body else {
                        break;
                    };
                    let (first, rest, guard) = partial.split(&self.context, run, &head, &headers);
                    for part in first {
                        self.events.push(&part);
                    }
                    self.source = Some((rest, guard));
                    log::info!(target: CALLS, id = id.as_str(), after:? = self.last,
                        left = self.request.runs_left; "A stream is resumed at another endpoint.");
                    return true;
                }
                Ended::Answer(answer, _) => {
                    log::info!(target: CALLS, id = id.as_str(), after:? = self.last,
                        status = answer.status.as_u16(); "An endpoint did not resume a stream.");
                }
                Ended::Refused(kind, after) => {
                    log::info!(target: CALLS, id = id.as_str(), after:? = self.last,
                        kind = kind.answer().problem, after_ms = millis(after);
                        "A stream can't be resumed.");
                    break;
                }
            }
        }
        false
    }
}
