//! Why requests were placed, refused or tried again, and endpoints ejected.
//!
//! An operator asks after the fact, so that the last decisions are kept: of
//! each request a few, of the last requests only. A decision costs a copy of
//! the endpoint's name and no formatting; the words are made when asked.

use crate::entry::{
    call::CallRow,
    operators::Row,
    show::{age, row, state},
    side::SideKey,
    tables::Tables,
};
use hibiscusroad::{
    ErrorKind, RequestId,
    route::{EndpointView, HealthState, Outcome},
};
use serde_json::json;
use slotmap::SecondaryMap;
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Requests that are kept: half a second of the load to come, minutes of
/// today's, at about 300 bytes each.
const REQUESTS: usize = 4096;

/// Decisions on one request that are kept; more than its attempts can have.
const DECISIONS: usize = 16;

/// Changes of one endpoint that are kept.
const CHANGES: usize = 32;

/// One decision on a request.
#[derive(Clone, Debug)]
pub(super) enum Decision {
    Arrived,
    Placed(String, Option<EndpointView>),
    Ended(String, Outcome),
    Answered,
    Refused(ErrorKind, Duration, usize),
    Left,
}

/// How an endpoint stood from an instant on.
#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    state: &'static str,
    standing: Option<HealthState>,
    view: Option<EndpointView>,
    last: Option<ErrorKind>,
    config: u64,
}

/// The decisions of an entry that are kept.
#[derive(Debug, Default)]
pub(super) struct Trace {
    order: VecDeque<RequestId>,
    requests: HashMap<RequestId, Vec<(Instant, Decision)>>,
    changes: SecondaryMap<SideKey, VecDeque<Change>>,
    /// Why the last attempt at an endpoint that failed did.
    last: SecondaryMap<SideKey, ErrorKind>,
}

impl Trace {
    fn note(&mut self, now: Instant, id: RequestId, decision: Decision) {
        if !self.requests.contains_key(&id) {
            if self.order.len() >= REQUESTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.requests.remove(&oldest);
            }
            self.order.push_back(id);
        }
        let decisions = self.requests.entry(id).or_default();
        if decisions.len() < DECISIONS {
            decisions.push((now, decision));
        }
    }
}

impl Tables {
    /// Keeps a decision on a request.
    pub(super) fn trace(&mut self, now: Instant, id: RequestId, decision: Decision) {
        self.trace.note(now, id, decision);
    }

    /// Keeps where a request was sent.
    pub(super) fn trace_placed(&mut self, id: RequestId, key: SideKey) {
        let now = Instant::now();
        let side = &self.sides[key];
        let view = self.router.endpoint_view(now, side.endpoint);
        let decision = Decision::Placed(side.name.clone(), view);
        self.trace.note(now, id, decision);
    }

    /// Keeps how an attempt ended.
    pub(super) fn trace_ended(
        &mut self,
        now: Instant,
        id: RequestId,
        key: SideKey,
        outcome: Outcome,
    ) {
        let Some(side) = self.sides.get(key) else {
            return;
        };
        if let Outcome::NotRun(kind) | Outcome::Failed(kind) = outcome {
            self.trace.last.insert(key, kind);
        }
        let decision = Decision::Ended(side.name.clone(), outcome);
        self.trace.note(now, id, decision);
    }

    /// Keeps that a request was refused.
    pub(super) fn trace_refused(
        &mut self,
        now: Instant,
        id: RequestId,
        kind: ErrorKind,
        after: Duration,
    ) {
        let waiting = self.calls.get(&id).map_or(0, |row| self.in_queue(row));
        self.trace
            .note(now, id, Decision::Refused(kind, after, waiting));
    }

    fn in_queue(&self, row: &CallRow) -> usize {
        let service = self.router.service(&row.request.service);
        service.map_or(0, |key| self.router.queued(key, row.request.class))
    }

    /// Keeps how endpoints changed since the last look.
    pub(super) fn trace_endpoints(&mut self, now: Instant) {
        for (key, side) in &self.sides {
            let (state, standing) = (state(side), self.router.health_state(side.endpoint));
            let Some(entry) = self.trace.changes.entry(key) else {
                continue;
            };
            let changes = entry.or_default();
            let last = changes.back();
            if last.is_some_and(|last| last.state == state && last.standing == standing) {
                continue;
            }
            if changes.len() >= CHANGES {
                changes.pop_front();
            }
            changes.push_back(Change {
                at: now,
                state,
                standing,
                view: self.router.endpoint_view(now, side.endpoint),
                last: self.trace.last.get(key).copied(),
                config: self.config.version(),
            });
        }
    }

    /// Explains a request, by the name that its answer had.
    pub(super) fn explain_request(&self, now: Instant, name: &str) -> Vec<Row> {
        let mut requests = self.trace.requests.iter();
        let Some((_, decisions)) = requests.find(|(id, _)| id.to_string() == name) else {
            return Vec::new();
        };
        let rows = decisions.iter().map(|(at, decision)| {
            let (event, endpoint, why) = words(decision);
            row([
                ("request", json!(name)),
                ("event", json!(event)),
                ("endpoint", json!(endpoint)),
                ("why", json!(why)),
                ("age_ms", age(now, *at)),
                ("source", json!(self.name)),
            ])
        });
        rows.collect()
    }

    /// Explains how an endpoint came to stand as it does.
    pub(super) fn explain_endpoint(&self, now: Instant, name: &str) -> Vec<Row> {
        let sides = self.sides.iter().filter(|(_, side)| side.name == name);
        let changes = sides.flat_map(|(key, _)| self.trace.changes.get(key).into_iter().flatten());
        let rows = changes.map(|change| {
            row([
                ("endpoint", json!(name)),
                ("state", json!(change.state)),
                ("standing", json!(change.standing.map(standing))),
                ("why", json!(reason(change))),
                ("age_ms", age(now, change.at)),
                ("source", json!(self.name)),
            ])
        });
        rows.collect()
    }
}

const fn standing(standing: HealthState) -> &'static str {
    match standing {
        HealthState::Healthy => "fit",
        HealthState::Ejected => "ejected",
        HealthState::AwaitingTrial => "to be tried",
        HealthState::Trial => "on trial",
    }
}

fn words(decision: &Decision) -> (&'static str, &str, String) {
    match decision {
        Decision::Arrived => ("arrived", "", String::new()),
        Decision::Placed(endpoint, view) => {
            ("placed", endpoint, view.map_or_else(String::new, seen))
        }
        Decision::Ended(endpoint, Outcome::Answered) => ("ended", endpoint, "answered".to_owned()),
        Decision::Ended(endpoint, Outcome::NotRun(kind)) => {
            ("ended", endpoint, format!("not run: {kind}"))
        }
        Decision::Ended(endpoint, Outcome::Failed(kind)) => {
            ("ended", endpoint, format!("failed: {kind}"))
        }
        Decision::Answered => ("answered", "", String::new()),
        Decision::Refused(kind, after, waiting) => {
            let after = after.as_secs_f64();
            let problem = kind.answer().problem;
            let why =
                format!("{problem}; {waiting} of its class waited; come back after {after:.1} s");
            ("refused", "", why)
        }
        Decision::Left => ("left", "", "its caller went away".to_owned()),
    }
}

fn seen(view: EndpointView) -> String {
    let EndpointView {
        running,
        limit,
        score,
        latency_ratio,
        ..
    } = view;
    format!(
        "{running} of {limit} running, score {score:.2}, {latency_ratio:.1} times the expected time"
    )
}

fn reason(change: &Change) -> String {
    let config = change.config;
    match (change.state, change.standing) {
        ("drained", _) => {
            format!("drained by configuration {config} at the latest; see show audit")
        }
        ("leaving", _) => "the host list or its side says that it leaves".to_owned(),
        ("silent", _) => "its link gave nothing for 0.7 s".to_owned(),
        ("unlinked", _) => "there is no link to its side".to_owned(),
        ("unreachable", _) => "nothing listens at its address".to_owned(),
        (_, Some(HealthState::Ejected)) => ejected(change),
        (_, Some(HealthState::AwaitingTrial | HealthState::Trial)) => {
            "the pause after its ejection is over".to_owned()
        }
        _ => String::new(),
    }
}

fn ejected(change: &Change) -> String {
    let last = change.last.map_or_else(String::new, |kind| {
        format!(", the last failure {}", kind.answer().problem)
    });
    let Some(view) = change.view else {
        return last;
    };
    let EndpointView {
        latency_ratio,
        failure_rate,
        refused_streak,
        ..
    } = view;
    format!(
        "{refused_streak} refused connections in a row, {failure_rate:.2} of calls failing, {latency_ratio:.1} times the expected time{last}"
    )
}
