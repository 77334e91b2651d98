//! Event loop of the thread that owns the state of a process.
//!
//! All other threads send their events through one bounded channel. A thread that serves a
//! caller never blocks on it: if the channel is full, the request is refused with the kind
//! `handover-full`. A task that reads a stream waits instead, which applies backpressure
//! to the sender, because no frame of a stream may be lost.

use flume::{Receiver, RecvTimeoutError};
use stakker::Stakker;
use std::time::{Duration, Instant};

/// Maximum number of events delivered after the first before timers run again.
///
/// A larger limit needs fewer calls of `settle` in a burst, but delays timers.
const MAX_BATCH: usize = 256;

/// Maximum time to wait for an event. It bounds the delay that a missed timer causes.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Runs the event loop until the actor requests shutdown or all senders are dropped.
///
/// `deliver` passes one event to the actor. `settle` is called once per iteration, after
/// the events, with the current time.
pub fn run<E>(
    stakker: &mut Stakker,
    events: &Receiver<E>,
    mut deliver: impl FnMut(&mut Stakker, E),
    mut settle: impl FnMut(&mut Stakker, Instant),
) {
    let mut idle = false;
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, idle);
        match events.recv_timeout(wait) {
            Ok(event) => {
                deliver(stakker, event);
                for event in events.try_iter().take(MAX_BATCH) {
                    deliver(stakker, event);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        idle = stakker.run(now, false);
        settle(stakker, now);
        idle |= stakker.run(now, false);
    }
}
