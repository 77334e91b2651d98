//! The checks of a history, one for each guarantee.

use super::{
    counts::Counts,
    inject::{InjectedFault, OperatorReply},
    plan::Fault,
    watch::VersionSample,
};
use crate::{
    caller::{Ending, GRACE, Work},
    deployment::Row,
    load::CompletedCall,
};
use hibiscusroad::ErrorKind;
use hibiscusroad_standins::plain::LogEntry;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long after a drain requests may still start.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// How long a fault may still affect calls after it was undone.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// The records of a fault run.
#[derive(Debug)]
pub struct History {
    /// Calls and their outcomes.
    pub calls: Vec<CompletedCall>,
    /// The addresses of the entries for callers.
    pub entries: Vec<String>,
    /// The configuration versions of each entry, in the order of `entries`.
    pub versions: Vec<Vec<VersionSample>>,
    /// The requests that endpoints ran, by name of the endpoint.
    pub endpoint_logs: BTreeMap<String, Vec<LogEntry>>,
    /// The audit trail.
    pub audit_rows: Vec<Row>,
    /// The injected faults.
    pub faults: Vec<InjectedFault>,
    /// The start of the load, milliseconds since 1970 UTC.
    pub epoch_ms: u64,
}

impl History {
    /// Runs all checks.
    #[must_use]
    pub fn check(&self) -> Counts {
        let mut counts = Counts {
            requests: self.calls.len(),
            faults: self.faults.len(),
            runs: self.endpoint_logs.values().map(Vec::len).sum(),
            ..Counts::default()
        };
        for record in &self.calls {
            self.check_outcome(record, &mut counts);
        }
        self.check_duplicates(&mut counts);
        self.check_not_run(&mut counts);
        self.check_reverts(&mut counts);
        self.check_commands(&mut counts);
        self.check_drains(&mut counts);
        for injected in &self.faults {
            if let Some(error) = &injected.error {
                counts.remark(format!("fault {:?}: {error}", injected.fault));
            }
        }
        counts.trace = self.trace();
        counts
    }

    fn trace(&self) -> Vec<(Duration, String)> {
        let faults = self.faults.iter().map(|injected| {
            let (fault, to) = (injected.fault, injected.to);
            (injected.from, format!("{fault:?} until {to:.2?}"))
        });
        let calls = self
            .calls
            .iter()
            .filter(|record| record.outcome.ending != Ending::Answered);
        let calls = calls.map(|record| {
            let text = format!("{}: {:?}", describe(record), record.outcome.ending);
            (record.call.at + record.outcome.latency, text)
        });
        let replies = self.faults.iter().flat_map(|fault| &fault.replies);
        let replies =
            replies.map(|reply| (reply.at, format!("{}: {}", reply.statement, reply.answer)));
        let mut trace: Vec<_> = faults.chain(calls).chain(replies).collect();
        trace.sort();
        trace
    }

    fn check_outcome(&self, record: &CompletedCall, counts: &mut Counts) {
        let (call, outcome) = (&record.call, &record.outcome);
        let repeatable = !matches!(call.work, Work::Post { .. });
        let unavailable = self.entry_unavailable(record);
        counts.repeatable.0 += usize::from(repeatable && !unavailable);
        let mut failure = None;
        match &outcome.ending {
            Ending::Answered => {
                counts.answered += 1;
                counts.repeatable.1 += usize::from(repeatable && !unavailable);
            }
            Ending::Refused(_, problem) => {
                counts.refused += 1;
                *counts.refusals.entry(problem.clone()).or_default() += 1;
                let unknown = ErrorKind::OutcomeUnknown.answer().problem;
                counts.unknown += usize::from(problem == unknown);
                if !unavailable && self.cut_by_stop(record, problem) {
                    counts.cut_off += 1;
                    counts.remark(format!("cut by a stop: {}: {problem}", describe(record)));
                }
                if unavailable && outcome.wait > call.deadline + GRACE {
                    counts.unserved += 1;
                }
            }
            Ending::Short(why) => {
                counts.incomplete += 1;
                counts.remark(format!("short: {}: {why}", describe(record)));
            }
            Ending::Lost(_) if unavailable => counts.unserved += 1,
            Ending::Lost(_) if self.stream_broken(record) => counts.broken_streams += 1,
            Ending::Lost(why) => failure = Some(why.clone()),
        }
        if !unavailable {
            let overdue = outcome.wait.saturating_sub(call.deadline);
            counts.max_overdue = counts.max_overdue.max(overdue);
            if outcome.wait > call.deadline + GRACE {
                failure = Some(format!("{overdue:.0?} after its deadline"));
            }
        }
        if let Some(why) = failure {
            if self.entry_stopping(record) {
                counts.cut_off += 1;
                counts.remark(format!("cut by a stop: {}: {why}", describe(record)));
            } else {
                counts.late += 1;
                counts.remark(format!("late: {}: {why}", describe(record)));
            }
        }
    }

    /// Returns whether a call's entry was killed or frozen during the call or
    /// had not recovered yet, or refused the connection while it stopped.
    fn entry_unavailable(&self, record: &CompletedCall) -> bool {
        self.overlaps_fault(record, |fault, n| match fault {
            Fault::KillEntry(entry) | Fault::FreezeEntry(entry) => entry == n,
            _ => false,
        }) || (self.entry_stopping(record) && refused_connection(record))
    }

    /// Returns whether a stream had begun and a sidecar or endpoint was killed or
    /// frozen during the call. Planned stops don't count.
    fn stream_broken(&self, record: &CompletedCall) -> bool {
        let behind_entry = |fault| {
            matches!(
                fault,
                Fault::KillSide(_)
                    | Fault::KillEndpoint(_)
                    | Fault::FreezeSide(_)
                    | Fault::FreezeEndpoint(_)
            )
        };
        record.outcome.tokens > 0 && self.overlaps_fault(record, |fault, _| behind_entry(fault))
    }

    /// Returns whether a refusal shows that a planned stop interrupted a request:
    /// it may have run, and no faults but planned stops were active.
    fn cut_by_stop(&self, record: &CompletedCall, problem: &str) -> bool {
        let may_have_run =
            ErrorKind::from_problem(problem).is_none_or(|kind| !kind.answer().not_run);
        let stop = |fault| matches!(fault, Fault::StopEntry(_) | Fault::StopSide(_));
        let timed_out = ErrorKind::TimedOut.answer().problem;
        may_have_run
            && problem != timed_out
            // The stored answer for a repeated key may be lost with its sidecar.
            // The repeat is refused then, and the request does not run again.
            && !self.was_answered(record)
            && self.overlaps_fault(record, |fault, _| stop(fault))
            && !self.overlaps_fault(record, |fault, _| !stop(fault))
    }

    /// Returns whether a call's entry was asked to stop during the call.
    fn entry_stopping(&self, record: &CompletedCall) -> bool {
        self.overlaps_fault(record, |fault, n| fault == Fault::StopEntry(n))
    }

    /// Returns whether a fault that matches was active during a call.
    fn overlaps_fault(
        &self,
        record: &CompletedCall,
        matches: impl Fn(Fault, usize) -> bool,
    ) -> bool {
        let to = record.call.at + record.outcome.latency;
        let from = to.saturating_sub(record.outcome.wait);
        let entry = self.entry_index(record);
        self.faults
            .iter()
            .filter(|injected| matches(injected.fault, entry))
            .any(|injected| {
                from <= injected.to.saturating_add(RECOVERY_TIME) && injected.from <= to
            })
    }

    /// Returns the index of a call's entry, or the number of entries if unknown.
    fn entry_index(&self, record: &CompletedCall) -> usize {
        let entry_address = address(&record.call.base);
        let entries = self.entries.iter();
        entries
            .clone()
            .position(|a| a == entry_address)
            .unwrap_or(entries.len())
    }

    fn was_answered(&self, record: &CompletedCall) -> bool {
        let mut same = self
            .calls
            .iter()
            .filter(|other| other.call.request == record.call.request);
        same.any(|other| other.outcome.ending == Ending::Answered)
    }

    fn check_duplicates(&self, counts: &mut Counts) {
        let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (endpoint, log) in &self.endpoint_logs {
            // Calls with the same key have the same request name.
            let writes = log.iter().filter(|ran| ran.method == "POST");
            for request in writes.filter_map(|ran| ran.request.as_deref()) {
                runs.entry(request).or_default().push(endpoint);
            }
        }
        for (key, at) in runs.into_iter().filter(|(_, at)| at.len() > 1) {
            counts.duplicates += 1;
            counts.remark(format!("doubled: {key} ran at {}", at.join(", ")));
        }
    }

    /// Checks that a request isn't in any log if all its callers were told that
    /// it did not run.
    fn check_not_run(&self, counts: &mut Counts) {
        let logs = self.endpoint_logs.values().flatten();
        let ran: BTreeSet<&str> = logs.filter_map(|ran| ran.request.as_deref()).collect();
        let mut calls: BTreeMap<&str, Vec<&CompletedCall>> = BTreeMap::new();
        for record in &self.calls {
            calls.entry(&record.call.request).or_default().push(record);
        }
        for (request, records) in calls {
            if ran.contains(request) && records.iter().all(|record| says_not_run(record)) {
                counts.false_not_run += 1;
                counts.remark(format!("false not run: {}", describe(records[0])));
            }
        }
    }

    /// Checks that the version never falls within one incarnation of an entry. A
    /// pair of answers that overlaps a kill or stop is not compared.
    fn check_reverts(&self, counts: &mut Counts) {
        for (entry, seen) in self.versions.iter().enumerate() {
            for pair in seen.windows(2) {
                let (before, after) = (pair[0], pair[1]);
                let ended = self.faults.iter().any(|injected| {
                    let ends = matches!(injected.fault, Fault::KillEntry(n) | Fault::StopEntry(n) if n == entry);
                    ends && before.requested_at <= injected.to && injected.from <= after.answered_at
                });
                if after.version < before.version && !ended {
                    counts.config_reverts += 1;
                    counts.remark(format!("entry {entry} reverted: {before:?}, {after:?}"));
                }
            }
        }
    }

    /// Checks that each confirmed command has a version of its own in the audit
    /// trail.
    fn check_commands(&self, counts: &mut Counts) {
        let versions: BTreeSet<u64> = self
            .audit_rows
            .iter()
            .filter_map(|row| row.get("version").and_then(serde_json::Value::as_u64))
            .collect();
        let mut confirmed = BTreeSet::new();
        for OperatorReply {
            statement, answer, ..
        } in self.faults.iter().flat_map(|fault| &fault.replies)
        {
            let Some((_, version)) = answer.split_once("done: version ") else {
                continue;
            };
            let Ok(version) = version.trim().parse::<u64>() else {
                continue;
            };
            if !versions.contains(&version) || !confirmed.insert(version) {
                counts.lost_commands += 1;
                counts.remark(format!("not in the trail: {statement}: {answer}"));
            }
        }
    }

    fn check_drains(&self, counts: &mut Counts) {
        for injected in &self.faults {
            let Fault::Drain(endpoint_index) = injected.fault else {
                continue;
            };
            let drained = |reply: &&OperatorReply| {
                reply.statement.starts_with("drain ") && reply.answer.contains("done: ")
            };
            let accepted = injected.replies.iter().find(drained);
            let Some((accepted, (endpoint, log))) =
                accepted.zip(self.endpoint_logs.iter().nth(endpoint_index))
            else {
                continue;
            };
            let from = accepted.at + DRAIN_GRACE;
            for ran in log {
                let at = Duration::from_millis(ran.at_ms.saturating_sub(self.epoch_ms));
                if at > from && at + Duration::from_secs(1) < injected.to {
                    counts.after_drain += 1;
                    counts.remark(format!(
                        "after drain: {:?} at {endpoint}, {at:?}",
                        ran.request
                    ));
                }
            }
        }
    }
}

fn says_not_run(record: &CompletedCall) -> bool {
    match &record.outcome.ending {
        Ending::Refused(_, problem) => {
            ErrorKind::from_problem(problem).is_some_and(|kind| kind.answer().not_run)
        }
        _ => false,
    }
}

fn refused_connection(record: &CompletedCall) -> bool {
    matches!(&record.outcome.ending, Ending::Lost(why) if why.contains("refused"))
}

fn address(base: &str) -> &str {
    base.trim_start_matches("http://")
        .split('/')
        .next()
        .unwrap_or(base)
}

fn describe(record: &CompletedCall) -> String {
    let (call, outcome) = (&record.call, &record.outcome);
    let kind = match &call.work {
        Work::Get => "GET",
        Work::Post { .. } => "POST",
        Work::Complete { .. } => "completion",
    };
    let (at, wait) = (call.at, outcome.wait);
    format!(
        "{kind} {} at {} from {at:.2?}, waited {wait:.2?}",
        call.request,
        address(&call.base)
    )
}
