//! Logs pauses of the process, in which it learned of nothing.

use crate::logs::PROCESS;
use hibiscusroad::clock::millis;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between two looks at the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shorter pauses are not logged: a busy host causes them all the time.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Logs each pause until the process ends.
pub(super) async fn watch() {
    let mut last = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let pause = now.saturating_duration_since(last + CHECK_INTERVAL);
        if pause >= MIN_PAUSE {
            log::warn!(target: PROCESS, paused_ms = millis(pause);
                "The process did not run for a while.");
        }
        last = now;
    }
}
