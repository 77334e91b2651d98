//! Answers who fetches the metrics of a gateway.

use super::{
    Gateway,
    answer::{Out, whole},
};
use crate::logs::{PROCESS, dropped_lines};
use hyper::{Response, StatusCode};

impl Gateway {
    /// Answers with all metrics as text.
    pub(super) fn exposition(&self) -> Response<Out> {
        let meters = &self.meters;
        let count = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        meters
            .connections
            .set(count(self.line.channels.opened_count()));
        meters.dropped.set(count(dropped_lines()));
        let version = self.known.catalog().map_or(0, |catalog| catalog.version);
        meters.config.set(count(version));
        meters.running.set(count(self.batches.running() as u64));
        match meters.text() {
            Ok(text) => whole(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(error) => {
                log::error!(target: PROCESS, error = error.to_string().as_str();
                    "Metrics can't be told.");
                whole(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "")
            }
        }
    }
}
