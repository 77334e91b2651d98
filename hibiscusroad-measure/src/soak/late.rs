//! Finds requests that reach an endpoint long after it has announced that it leaves.

use super::{
    check::Check,
    departures::Departure,
    stranded::{SETTLE_TIME, Subject, time_of_day},
    world::{Execution, World},
};
use std::time::{Duration, Instant};

/// Time after which a leaving endpoint gets no more requests from gateways in touch with the store.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Limit on reported requests.
const MAX_REPORTS: usize = 20;

/// A request that reached an endpoint that was leaving.
struct Late<'a> {
    departure: &'a Departure,
    run: &'a Execution,
    /// The gateways that may have sent it.
    senders: Vec<usize>,
}

impl Late<'_> {
    /// Returns whether a subject was disturbed shortly before a moment.
    fn is_disturbed(world: &World, at: Instant, subject: Subject) -> bool {
        let mut faults = world.faults().iter();
        faults.any(|fault| fault.subject == subject && fault.contains(at, SETTLE_TIME))
    }

    /// Returns why it is allowed, if it is.
    fn excuse(&self, world: &World) -> Option<&'static str> {
        let at = self.run.request.started_at;
        if Self::is_disturbed(world, self.departure.from, Subject::Store) {
            return Some("the store was disturbed when it accepted the departure");
        }
        if Self::is_disturbed(world, at, Subject::Store) {
            return Some("the store was disturbed");
        }
        if Self::is_disturbed(world, at, Subject::Link(self.run.endpoint)) {
            return Some("its connections were disturbed");
        }
        if self.senders.is_empty() {
            return Some("no log tells its sender");
        }
        let is_disturbed = |n: &usize| Self::is_disturbed(world, at, Subject::Gateway(*n));
        let are_disturbed = self.senders.iter().all(is_disturbed);
        are_disturbed.then_some("its sender was disturbed")
    }
}

/// Returns the gateways whose logs tell that they sent a request to an endpoint.
fn senders(logs: &[String], id: &str, endpoint: &str) -> Vec<usize> {
    let (id, endpoint) = (format!("\"{id}\""), format!("\"{endpoint}\""));
    let has_sent = |log: &String| {
        let mut lines = log.lines();
        lines.any(|line| line.contains(&endpoint) && line.contains(&id))
    };
    let found = logs.iter().enumerate().filter(|(_, log)| has_sent(log));
    found.map(|(n, _)| n).collect()
}

/// Checks that no request from a gateway in touch with the store reached an endpoint that had been
/// leaving for [`MAX_DELAY`].
pub(super) fn check(check: &Check, world: &World) {
    let departures = world.departures.all();
    let runs = world.executions();
    let late = departures.iter().flat_map(|departure| {
        runs.iter().filter_map(move |run| {
            let at = run.request.started_at;
            let leaving = departure.duration_at(&run.endpoint_id, at)?;
            (leaving > MAX_DELAY).then_some((departure, run, leaving))
        })
    });
    let late: Vec<_> = late.collect();
    check.set("departures", departures.len());
    check.set("late requests", late.len());
    if late.is_empty() {
        return;
    }
    let logs = world.logs();
    for (n, (departure, run, leaving)) in late.into_iter().enumerate() {
        let request = &run.request;
        let senders = senders(&logs, &request.id, &run.endpoint_id);
        let text = format!(
            "{} reached {} {} ms after it was leaving, at {}, from gateways {senders:?}",
            request.id,
            run.endpoint_id,
            leaving.as_millis(),
            time_of_day(request.started_at),
        );
        let late = Late {
            departure,
            run,
            senders,
        };
        match late.excuse(world) {
            None => check.record_violation(&text),
            Some(excuse) if n < MAX_REPORTS => check.record_note(format!("{text}: {excuse}")),
            Some(_) => {}
        }
    }
}
