//! The metrics of an entry.

use crate::{
    entry::{call::CallRow, event::Inbound, tables::Tables},
    metrics::{self, Tag},
};
use hibiscusroad::{Class, ErrorKind, claim::ClaimOutcome};
use std::{collections::BTreeSet, time::Instant};

impl Tables {
    /// Counts a request that arrived.
    pub(super) fn count_request(&self, request: &Inbound) {
        self.metrics.count(metrics::REQUESTS, &tags(request));
    }

    /// Counts a request that was answered completely.
    pub(super) fn count_answered(&self, now: Instant, row: &CallRow) {
        let tags = tags(&row.request);
        self.metrics.count(metrics::ANSWERED, &tags);
        let latency = now.saturating_duration_since(row.arrived);
        self.metrics.time(metrics::LATENCY, latency, &tags);
    }

    /// Counts a request that was refused.
    pub(super) fn count_refused(&self, request: &Inbound, kind: ErrorKind) {
        let [service, class] = tags(request);
        let tags = [service, class, ("problem", kind.answer().problem)];
        self.metrics.count(metrics::REFUSED, &tags);
    }

    /// Counts a request for an unknown service. The name isn't a tag, because
    /// callers could create any number of them.
    pub(super) fn count_unknown(&self, kind: ErrorKind) {
        let tags = [("problem", kind.answer().problem)];
        self.metrics.count(metrics::REFUSED, &tags);
    }

    /// Counts a request whose caller disconnected.
    pub(super) fn count_caller_gone(&self, row: &CallRow) {
        self.metrics.count(metrics::LEFT, &tags(&row.request));
    }

    /// Counts an attempt that was sent.
    pub(super) fn count_attempt(&self, row: &CallRow) {
        let [service, _] = tags(&row.request);
        self.metrics.count(metrics::ATTEMPTS, &[service]);
        if row.attempt_count > 1 {
            self.metrics.count(metrics::RETRIES, &[service]);
        }
    }

    /// Counts a claim by its outcome.
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
    pub(super) fn report_gauges(&mut self, now: Instant) {
        if !self.metrics.is_on() || now < self.last_report + metrics::REPORT_INTERVAL {
            return;
        }
        self.last_report = now;
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
