//! The loop that joins the threads of a process to its tables.
//!
//! One bounded channel leads to the thread that owns the tables. A thread that
//! serves a caller never waits on it: a full channel is a refusal of the kind
//! `handover-full`, because a caller who waits in front of a full queue only
//! gets a late answer. A task that reads a link waits instead, which stops the
//! reading of that link and so the sender: frames must not be lost.

use flume::{Receiver, RecvTimeoutError};
use stakker::Stakker;
use std::time::{Duration, Instant};

/// Events taken in one turn before timers run again.
///
/// Large enough that a burst costs one pass over the tables, small enough that
/// a timer is late by no more than a millisecond or two.
const BATCH: usize = 256;

/// The longest sleep, so that a missed timer can't stop a process for good.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// Runs a process until its actor asks for shutdown.
///
/// `deliver` hands one event to the actor. `settle` is called once a turn,
/// after the events, with the present instant.
pub fn run<E>(
    stakker: &mut Stakker,
    events: &Receiver<E>,
    mut deliver: impl FnMut(&mut Stakker, E),
    mut settle: impl FnMut(&mut Stakker, Instant),
) {
    let mut idle = false;
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), LONGEST_SLEEP, idle);
        match events.recv_timeout(wait) {
            Ok(event) => {
                deliver(stakker, event);
                for event in events.try_iter().take(BATCH) {
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
