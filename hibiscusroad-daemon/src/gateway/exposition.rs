//! Answers requests for the metrics of a gateway.

use super::{
    Gateway, account_meters,
    answer::{ResponseBody, full_response},
};
use crate::logs::{PROCESS, dropped_lines};
use hyper::{Response, StatusCode};

/// Most evacuated data centres that have a metric of their own.
const MAX_DATA_CENTRES: usize = 8;

impl Gateway {
    /// Updates the gauges and returns all metrics as text.
    pub(super) fn exposition(&self) -> Response<ResponseBody> {
        let meters = &self.meters;
        let gauge_value = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        meters
            .connections
            .set(gauge_value(self.context.pool.opened_count()));
        meters.dropped.set(gauge_value(dropped_lines()));
        let version = self.known.catalog().map_or(0, |catalog| catalog.version);
        meters.config.set(gauge_value(version));
        meters
            .running
            .set(gauge_value(self.batches.running() as u64));
        meters
            .engines_held
            .set(gauge_value(self.batches.held_count() as u64));
        let counts = self.context.calls.count_slowness();
        let by_slowness = [
            ("usual", counts.usual),
            ("slow", counts.slow),
            ("unknown", counts.unknown),
        ];
        for (slowness, count) in by_slowness {
            let gauge = meters.endpoints.with_label_values(&[slowness]);
            gauge.set(count.into());
        }
        let evacuated = self.context.destinations.data_centres().evacuated();
        meters.evacuated.set(gauge_value(evacuated.len() as u64));
        meters.evacuated_requests.reset();
        for (data_centre, running) in evacuated.iter().take(MAX_DATA_CENTRES) {
            let gauge = meters.evacuated_requests.with_label_values(&[data_centre]);
            gauge.set(gauge_value(*running as u64));
        }
        self.context.cold.set_gauges();
        account_meters::set_gauges(&self.context.calls, meters);
        match meters.text() {
            Ok(text) => full_response(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(error) => {
                log::error!(target: PROCESS, error = error.to_string().as_str();
                    "Encoding the metrics failed.");
                full_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "")
            }
        }
    }
}
