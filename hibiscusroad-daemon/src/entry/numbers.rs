//! What an entry counts and measures.

use crate::{
    entry::{call::CallRow, tables::Tables},
    metrics,
};
use hibiscusroad::{Class, ErrorKind};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Time between two reports of the gauges.
const REPORT: Duration = Duration::from_secs(1);

impl Tables {
    /// Counts a request that came in.
    pub(super) fn count_request(&self, service: &str) {
        let tags = [("service", service)];
        self.metrics.count(metrics::REQUESTS, &tags);
    }

    /// Counts a request that got its whole answer.
    pub(super) fn count_answered(&self, now: Instant, row: &CallRow) {
        let tags = [("service", row.request.service.as_str())];
        self.metrics.count(metrics::ANSWERED, &tags);
        let took = now.saturating_duration_since(row.arrived);
        self.metrics.time(metrics::LATENCY, took, &tags);
    }

    /// Counts a request that got a problem.
    pub(super) fn count_refused(&self, service: &str, kind: ErrorKind) {
        let tags = [("service", service), ("problem", kind.answer().problem)];
        self.metrics.count(metrics::REFUSED, &tags);
    }

    /// Reports the gauges, once a second.
    pub(super) fn report_numbers(&mut self, now: Instant) {
        if now < self.reported + REPORT {
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
        let tags = [("service", name)];
        if let Some(key) = self.router.service(name) {
            let waiting = |class| self.router.waiting(key, class) as u64;
            let queued = Class::ALL.into_iter().map(waiting).sum();
            self.metrics.gauge(metrics::QUEUED, queued, &tags);
        }
        let sides = self.sides.values().filter(|side| side.service == name);
        let running: usize = sides.map(|side| side.attempts.len()).sum();
        self.metrics.gauge(metrics::RUNNING, running as u64, &tags);
    }
}
