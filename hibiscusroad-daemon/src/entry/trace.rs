//! A bounded history of decisions on requests and of endpoints' state changes.
//!
//! It lets operators query afterwards why a request was placed, refused or
//! retried, or an endpoint ejected. Entries are formatted only when queried.

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

/// Requests that are kept, at about 300 bytes each.
const MAX_REQUESTS: usize = 4096;

/// Decisions that are kept of one request.
const MAX_DECISIONS: usize = 16;

/// Changes that are kept of one endpoint.
const MAX_CHANGES: usize = 32;

/// One decision on a request.
#[derive(Clone, Debug)]
pub(super) enum Decision {
    Arrived,
    Placed(String, Option<EndpointView>),
    Ended(String, Outcome),
    Answered,
    Refused(ErrorKind, Duration, usize),
    CallerGone,
}

/// A change of an endpoint's state.
#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    state: &'static str,
    health: Option<HealthState>,
    view: Option<EndpointView>,
    last_failure: Option<ErrorKind>,
    config: u64,
}

/// The history of an entry's decisions.
#[derive(Debug, Default)]
pub(super) struct Trace {
    order: VecDeque<RequestId>,
    requests: HashMap<RequestId, Vec<(Instant, Decision)>>,
    changes: SecondaryMap<SideKey, VecDeque<Change>>,
    /// The error of the last failed attempt at each endpoint.
    last_failures: SecondaryMap<SideKey, ErrorKind>,
}

impl Trace {
    fn record(&mut self, now: Instant, id: RequestId, decision: Decision) {
        if !self.requests.contains_key(&id) {
            if self.order.len() >= MAX_REQUESTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.requests.remove(&oldest);
            }
            self.order.push_back(id);
        }
        let decisions = self.requests.entry(id).or_default();
        if decisions.len() < MAX_DECISIONS {
            decisions.push((now, decision));
        }
    }
}

impl Tables {
    /// Records a decision on a request.
    pub(super) fn trace(&mut self, now: Instant, id: RequestId, decision: Decision) {
        self.trace.record(now, id, decision);
    }

    /// Records where a request was sent.
    pub(super) fn trace_placed(&mut self, id: RequestId, key: SideKey) {
        let now = Instant::now();
        let side = &self.sides[key];
        let view = self.router.endpoint_view(now, side.endpoint);
        let decision = Decision::Placed(side.name.clone(), view);
        self.trace.record(now, id, decision);
    }

    /// Records the outcome of an attempt.
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
            self.trace.last_failures.insert(key, kind);
        }
        let decision = Decision::Ended(side.name.clone(), outcome);
        self.trace.record(now, id, decision);
    }

    /// Records the refusal of a request.
    pub(super) fn trace_refused(
        &mut self,
        now: Instant,
        id: RequestId,
        kind: ErrorKind,
        after: Duration,
    ) {
        let waiting = self.calls.get(&id).map_or(0, |row| self.in_queue(row));
        self.trace
            .record(now, id, Decision::Refused(kind, after, waiting));
    }

    fn in_queue(&self, row: &CallRow) -> usize {
        let service = self.router.service(&row.request.service);
        service.map_or(0, |key| self.router.queued(key, row.request.class))
    }

    /// Records endpoints' changes since the last call.
    pub(super) fn trace_endpoints(&mut self, now: Instant) {
        for (key, side) in &self.sides {
            let (state, health) = (state(side), self.router.health_state(side.endpoint));
            let Some(entry) = self.trace.changes.entry(key) else {
                continue;
            };
            let changes = entry.or_default();
            let last = changes.back();
            if last.is_some_and(|last| last.state == state && last.health == health) {
                continue;
            }
            if changes.len() >= MAX_CHANGES {
                changes.pop_front();
            }
            changes.push_back(Change {
                at: now,
                state,
                health,
                view: self.router.endpoint_view(now, side.endpoint),
                last_failure: self.trace.last_failures.get(key).copied(),
                config: self.config.version(),
            });
        }
    }

    /// Returns the decisions on a request, by the id in its answer.
    pub(super) fn explain_request(&self, now: Instant, name: &str) -> Vec<Row> {
        let mut requests = self.trace.requests.iter();
        let Some((_, decisions)) = requests.find(|(id, _)| id.to_string() == name) else {
            return Vec::new();
        };
        let rows = decisions.iter().map(|(at, decision)| {
            let (event, endpoint, why) = describe_decision(decision);
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

    /// Returns the recorded changes of an endpoint.
    pub(super) fn explain_endpoint(&self, now: Instant, name: &str) -> Vec<Row> {
        let sides = self.sides.iter().filter(|(_, side)| side.name == name);
        let changes = sides.flat_map(|(key, _)| self.trace.changes.get(key).into_iter().flatten());
        let rows = changes.map(|change| {
            row([
                ("endpoint", json!(name)),
                ("state", json!(change.state)),
                ("standing", json!(change.health.map(health_label))),
                ("why", json!(describe_change(change))),
                ("age_ms", age(now, change.at)),
                ("source", json!(self.name)),
            ])
        });
        rows.collect()
    }
}

const fn health_label(health: HealthState) -> &'static str {
    match health {
        HealthState::Healthy => "fit",
        HealthState::Ejected => "ejected",
        HealthState::AwaitingTrial => "to be tried",
        HealthState::Trial => "on trial",
    }
}

fn describe_decision(decision: &Decision) -> (&'static str, &str, String) {
    match decision {
        Decision::Arrived => ("arrived", "", String::new()),
        Decision::Placed(endpoint, view) => (
            "placed",
            endpoint,
            view.map_or_else(String::new, describe_view),
        ),
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
        Decision::CallerGone => ("left", "", "its caller went away".to_owned()),
    }
}

fn describe_view(view: EndpointView) -> String {
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

fn describe_change(change: &Change) -> String {
    let config = change.config;
    match (change.state, change.health) {
        ("drained", _) => {
            format!("drained by configuration {config} at the latest; see show audit")
        }
        ("leaving", _) => "the host list or its side says that it leaves".to_owned(),
        ("silent", _) => "its link gave nothing for 0.7 s".to_owned(),
        ("unlinked", _) => "there is no link to its side".to_owned(),
        ("unreachable", _) => "nothing listens at its address".to_owned(),
        (_, Some(HealthState::Ejected)) => describe_ejection(change),
        (_, Some(HealthState::AwaitingTrial | HealthState::Trial)) => {
            "the pause after its ejection is over".to_owned()
        }
        _ => String::new(),
    }
}

fn describe_ejection(change: &Change) -> String {
    let last = change.last_failure.map_or_else(String::new, |kind| {
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
