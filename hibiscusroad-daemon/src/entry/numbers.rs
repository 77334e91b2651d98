//! What an entry counts and measures.

use crate::{
    entry::{call::CallRow, event::Inbound, tables::Tables},
    metrics::{self, Tag},
};
use hibiscusroad::{Class, ErrorKind, claim::ClaimOutcome};
use std::{collections::BTreeSet, time::Instant};

impl Tables {
    /// Counts a request that came in.
    pub(super) fn count_request(&self, request: &Inbound) {
        self.metrics.count(metrics::REQUESTS, &tags(request));
    }

    /// Counts a request that got its whole answer.
    pub(super) fn count_answered(&self, now: Instant, row: &CallRow) {
        let tags = tags(&row.request);
        self.metrics.count(metrics::ANSWERED, &tags);
        let took = now.saturating_duration_since(row.arrived);
        self.metrics.time(metrics::LATENCY, took, &tags);
    }

    /// Counts a request that got a problem.
    pub(super) fn count_refused(&self, request: &Inbound, kind: ErrorKind) {
        let [service, class] = tags(request);
        let tags = [service, class, ("problem", kind.answer().problem)];
        self.metrics.count(metrics::REFUSED, &tags);
    }

    /// Counts a request whose service nobody knows. The name is the caller's
    /// own word and becomes no tag: anybody could make up thousands.
    pub(super) fn count_unknown(&self, kind: ErrorKind) {
        let tags = [("problem", kind.answer().problem)];
        self.metrics.count(metrics::REFUSED, &tags);
    }

    /// Counts a request whose caller has gone.
    pub(super) fn count_left(&self, row: &CallRow) {
        self.metrics.count(metrics::LEFT, &tags(&row.request));
    }

    /// Counts an attempt that was sent.
    pub(super) fn count_attempt(&self, row: &CallRow) {
        let [service, _] = tags(&row.request);
        self.metrics.count(metrics::ATTEMPTS, &[service]);
        if row.tries > 1 {
            self.metrics.count(metrics::RETRIES, &[service]);
        }
    }

    /// Counts what became of a claim.
    pub(super) fn count_claim(&self, outcome: &ClaimOutcome) {
        let outcome = match outcome {
            ClaimOutcome::Won => "won",
            ClaimOutcome::Held(_) => "held",
            ClaimOutcome::Free => "free",
            ClaimOutcome::Down => "down",
        };
        self.metrics.count(metrics::CLAIMS, &[("verdict", outcome)]);
    }

    /// Reports the gauges, once a second.
    pub(super) fn report_numbers(&mut self, now: Instant) {
        if !self.metrics.is_on() || now < self.reported + metrics::REPORT_INTERVAL {
            return;
        }
        self.reported = now;
        let linked = self.sides.values().filter(|side| side.link.is_some());
        self.metrics
            .gauge(metrics::LINKS, linked.count() as u64, &[]);
        let version = self.config.version();
        self.metrics.gauge(metrics::CONFIG_VERSION, version, &[]);
        let services: BTreeSet<&str> = self.sides.values().map(|s| s.service.as_str()).collect();
        for name in services {
            self.report_service(name);
        }
        self.metrics.flush();
    }

    fn report_service(&self, name: &str) {
        let Some(key) = self.router.service(name) else {
            return;
        };
        for class in Class::ALL {
            let tags = [("service", name), ("class", class.name())];
            let queued = self.router.queued(key, class) as u64;
            self.metrics.gauge(metrics::QUEUED, queued, &tags);
            let running = self.router.running(key, class).into();
            self.metrics.gauge(metrics::RUNNING, running, &tags);
        }
    }
}

fn tags(request: &Inbound) -> [Tag<'_>; 2] {
    [
        ("service", request.service.as_str()),
        ("class", request.class.name()),
    ]
}
