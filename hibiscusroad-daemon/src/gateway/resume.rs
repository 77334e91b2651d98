//! A stream that goes on at another endpoint when its own breaks off.
//!
//! Where the route allows it, an endpoint that is asked with the number of the last
//! event goes on behind it. So the caller's answer need not end with the endpoint
//! that began it: whole events are passed on as they come, and behind the last one
//! the request is run again, as often as the route allows. The caller sees one
//! answer, with the head of the first endpoint.
//!
//! An event of which only a part came is not passed on: it comes whole from the
//! next endpoint. The price is that an event leaves here when its last byte has
//! come, not its first. Dropped, the stream drops what runs for it.

use super::{
    answer::{Broken, Resumed},
    attempt::{Answer, Guard, Head, Line, Received, set},
    forward::{Content, Ended, Forward, ended},
    subject::Subject,
};
use crate::logs::CALLS;
use futures_util::stream::unfold;
use hibiscusroad::{Class, catalog::Kind, clock::millis};
use hibiscusroad_platform::{event::EventDecoder, header};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use std::{collections::VecDeque, rc::Rc, time::Instant};

/// What it takes to run a request again.
#[derive(Clone)]
pub(super) struct Again {
    head: Rc<Head>,
    subject: Rc<Subject>,
    body: Bytes,
    service: String,
    class: Class,
    kind: Kind,
    tokens: u32,
    /// Runs that are left.
    left: u32,
}

impl Again {
    /// Keeps what is needed of a request; `None` if it can't be run again.
    pub(super) fn of(request: &Forward) -> Option<Self> {
        let (Kind::Stream { resumable: true }, Content::Whole(body)) =
            (request.kind, &request.content)
        else {
            return None;
        };
        Some(Self {
            head: Rc::clone(&request.head),
            subject: Rc::clone(&request.subject),
            body: body.clone(),
            service: request.service.clone(),
            class: request.class,
            kind: request.kind,
            tokens: request.tokens,
            left: request.attempts.saturating_sub(1),
        })
    }

    /// Describes the run behind an event.
    fn forward(&mut self, last: Option<u64>) -> Option<Forward> {
        self.left = self.left.checked_sub(1)?;
        let mut head = (*self.head).clone();
        if let Some(last) = last {
            set(&mut head.headers, header::LAST_EVENT, &last.to_string());
        }
        Some(Forward {
            head: Rc::new(head),
            subject: Rc::clone(&self.subject),
            content: Content::Whole(self.body.clone()),
            service: self.service.clone(),
            class: self.class,
            kind: self.kind,
            attempts: self.left + 1,
            tokens: self.tokens,
        })
    }
}

/// A stream under way.
struct State {
    line: Line,
    again: Again,
    events: EventDecoder,
    /// The last event that was passed on.
    last: Option<u64>,
    ready: VecDeque<Bytes>,
    /// Where events come from; nothing more comes without it.
    source: Option<(Incoming, Guard)>,
}

/// Passes a stream on, and goes on with it elsewhere when it breaks off.
pub(super) fn resumed(line: &Line, again: Again, rest: Incoming, guard: Guard) -> Resumed {
    let state = State {
        line: line.clone(),
        again,
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
    /// Returns the next whole event, an error where the stream breaks off for good,
    /// and `None` behind its end.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(event));
            }
            let (rest, guard) = self.source.as_mut()?;
            let broke = match rest.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.events.push(&data);
                    !self.take_whole()
                }
                None if self.events.is_at_boundary() => {
                    guard.complete();
                    self.source = None;
                    return None;
                }
                None => true,
                Some(Err(error)) => {
                    guard.failed(&error);
                    true
                }
            };
            if broke && !self.go_on().await {
                return Some(Err(Broken));
            }
        }
    }

    /// Takes all whole events; `false` if one doesn't follow the last.
    fn take_whole(&mut self) -> bool {
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
                Err(_garbled) => return false,
            }
        }
    }

    /// Finds another endpoint behind the last event.
    async fn go_on(&mut self) -> bool {
        let id = self.again.head.id.clone();
        if let Some((_, mut guard)) = self.source.take() {
            guard.broke("its events end or don't follow");
        }
        self.events = EventDecoder::new();
        while Instant::now() < self.again.head.deadline {
            let Some(request) = self.again.forward(self.last) else {
                break;
            };
            let head = Rc::clone(&request.head);
            match ended(&self.line, request).await {
                Ended::Answer(answer, Some(place)) if answer.status.is_success() => {
                    let Answer { headers, body, .. } = *answer;
                    let Received::Flow(flowing) = body else {
                        break;
                    };
                    let (first, rest, guard) = flowing.split(&self.line, place, &head, &headers);
                    for part in first {
                        self.events.push(&part);
                    }
                    self.source = Some((rest, guard));
                    log::info!(target: CALLS, id = id.as_str(), after:? = self.last,
                        left = self.again.left; "A stream goes on at another endpoint.");
                    return true;
                }
                Ended::Answer(answer, _) => {
                    log::info!(target: CALLS, id = id.as_str(), after:? = self.last,
                        status = answer.status.as_u16(); "A stream can't go on there.");
                }
                Ended::Refused(kind, after) => {
                    log::info!(target: CALLS, id = id.as_str(), after:? = self.last,
                        kind = kind.answer().problem, after_ms = millis(after);
                        "A stream can't go on.");
                    break;
                }
            }
        }
        false
    }
}
