//! Metrics of the sidecar.

use crate::{metrics, side::role::Role};
use hibiscusroad::ErrorKind;
use std::time::Instant;

impl Role {
    /// Counts a request that the gate refused.
    pub(super) fn count_refused(&self, kind: ErrorKind) {
        let service = ("service", self.setup.side.service.as_str());
        let problem = ("problem", kind.answer().problem);
        let metrics = &self.setup.metrics;
        metrics.count(metrics::GATE_REFUSED, &[service, problem]);
    }

    /// Reports the gauges if their interval has elapsed.
    pub(super) fn report_gauges(&mut self, now: Instant) {
        let metrics = &self.setup.metrics;
        if !metrics.is_on() || now < self.reported_at + metrics::REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        let tags = [("service", self.setup.side.service.as_str())];
        let load = self.gate.load();
        metrics.gauge(metrics::GATE_RUNNING, load.running.into(), &tags);
        metrics.gauge(metrics::BUFFERED, load.buffered as u64, &tags);
        metrics.gauge(metrics::LINKS, self.links.len() as u64, &[]);
        metrics.gauge(metrics::CONFIG_VERSION, self.report.config_version(), &[]);
        metrics.flush();
    }
}
