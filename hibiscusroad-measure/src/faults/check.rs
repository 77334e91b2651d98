//! The checks: one for each promise, over nothing but the history.

use super::{
    counts::Counts,
    inject::{Done, Told},
    plan::Fault,
    watch::Seen,
};
use crate::{
    caller::{Ending, GRACE, Work},
    deployment::Row,
    load::Made,
};
use hibiscusroad::ErrorKind;
use hibiscusroad_standins::plain::LogEntry;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long after a drain new work may still start.
const DRAIN: Duration = Duration::from_secs(3);

/// How long a process that comes back may need before its callers count.
const RECOVERY: Duration = Duration::from_secs(1);

/// What recorders wrote down.
#[derive(Debug)]
pub struct History {
    /// Callers.
    pub made: Vec<Made>,
    /// Where the entries take callers, in their order.
    pub entries: Vec<String>,
    /// Watchers of the entries, in their order.
    pub seen: Vec<Vec<Seen>>,
    /// Endpoints, by name.
    pub runs: BTreeMap<String, Vec<LogEntry>>,
    /// The audit trail.
    pub trail: Vec<Row>,
    /// Faults.
    pub done: Vec<Done>,
    /// The start of the load, milliseconds since 1970 UTC.
    pub epoch_ms: u64,
}

impl History {
    /// Runs all checks.
    #[must_use]
    pub fn check(&self) -> Counts {
        let mut counts = Counts {
            requests: self.made.len(),
            faults: self.done.len(),
            runs: self.runs.values().map(Vec::len).sum(),
            ..Counts::default()
        };
        for made in &self.made {
            self.outcome(made, &mut counts);
        }
        self.doubled(&mut counts);
        self.not_run(&mut counts);
        self.reverts(&mut counts);
        self.commands(&mut counts);
        self.drains(&mut counts);
        for done in &self.done {
            if let Some(failed) = &done.failed {
                counts.remark(format!("fault {:?}: {failed}", done.fault));
            }
        }
        counts.trace = self.trace();
        counts
    }

    fn trace(&self) -> Vec<(Duration, String)> {
        let faults = self.done.iter().map(|done| {
            let (fault, to) = (done.fault, done.to);
            (done.from, format!("{fault:?} until {to:.2?}"))
        });
        let calls = self
            .made
            .iter()
            .filter(|made| made.outcome.ending != Ending::Answered);
        let calls = calls.map(|made| {
            let text = format!("{}: {:?}", name(made), made.outcome.ending);
            (made.call.at + made.outcome.latency, text)
        });
        let told = self.done.iter().flat_map(|done| &done.told);
        let told = told.map(|told| (told.at, format!("{}: {}", told.statement, told.answer)));
        let mut trace: Vec<_> = faults.chain(calls).chain(told).collect();
        trace.sort();
        trace
    }

    fn outcome(&self, made: &Made, counts: &mut Counts) {
        let (call, outcome) = (&made.call, &made.outcome);
        let free = !matches!(call.work, Work::Post { .. });
        let gone = self.entry_gone(made);
        counts.repeatable.0 += usize::from(free && !gone);
        let mut wrong = None;
        match &outcome.ending {
            Ending::Answered => {
                counts.answered += 1;
                counts.repeatable.1 += usize::from(free && !gone);
            }
            Ending::Refused(_, problem) => {
                counts.refused += 1;
                *counts.refusals.entry(problem.clone()).or_default() += 1;
                let unknown = ErrorKind::OutcomeUnknown.answer().problem;
                counts.unknown += usize::from(problem == unknown);
                if !gone && self.cut(made, problem) {
                    counts.cut += 1;
                    counts.remark(format!("cut by a stop: {}: {problem}", name(made)));
                }
                if gone && outcome.wait > call.deadline + GRACE {
                    counts.unserved += 1;
                }
            }
            Ending::Short(why) => {
                counts.short += 1;
                counts.remark(format!("short: {}: {why}", name(made)));
            }
            Ending::Lost(_) if gone => counts.unserved += 1,
            Ending::Lost(_) if self.broken(made) => counts.broken += 1,
            Ending::Lost(why) => wrong = Some(why.clone()),
        }
        if !gone {
            let overdue = outcome.wait.saturating_sub(call.deadline);
            counts.overdue = counts.overdue.max(overdue);
            if outcome.wait > call.deadline + GRACE {
                wrong = Some(format!("{overdue:.0?} after its deadline"));
            }
        }
        if let Some(why) = wrong {
            if self.stopping(made) {
                counts.cut += 1;
                counts.remark(format!("cut by a stop: {}: {why}", name(made)));
            } else {
                counts.late += 1;
                counts.remark(format!("late: {}: {why}", name(made)));
            }
        }
    }

    /// Says whether a call's entry was killed or stood still at some time
    /// during the call, or had not come back yet. Nobody can answer for it then.
    fn entry_gone(&self, made: &Made) -> bool {
        self.during(made, |fault, n| match fault {
            Fault::KillEntry(entry) | Fault::FreezeEntry(entry) => entry == n,
            _ => false,
        }) || (self.stopping(made) && refused_connection(made))
    }

    /// Says whether a stream had begun and broke off, while a crash or a pause
    /// was at work behind the entry. A planned stop is none.
    fn broken(&self, made: &Made) -> bool {
        let behind = |fault| {
            matches!(
                fault,
                Fault::KillSide(_)
                    | Fault::KillEndpoint(_)
                    | Fault::FreezeSide(_)
                    | Fault::FreezeEndpoint(_)
            )
        };
        made.outcome.tokens > 0 && self.during(made, |fault, _| behind(fault))
    }

    /// Says whether a refusal shows that a planned stop cut off a request: it
    /// may have run, and nothing but planned stops was at work.
    fn cut(&self, made: &Made, problem: &str) -> bool {
        let may_have_run =
            ErrorKind::from_problem(problem).is_none_or(|kind| !kind.answer().not_run);
        let stop = |fault| matches!(fault, Fault::StopEntry(_) | Fault::StopSide(_));
        let timed_out = ErrorKind::TimedOut.answer().problem;
        may_have_run
            && problem != timed_out
            // A repeat of a key whose request was answered whole asks for an
            // answer that went with its side. It is told so, and nothing runs.
            && !self.was_answered(made)
            && self.during(made, |fault, _| stop(fault))
            && !self.during(made, |fault, _| !stop(fault))
    }

    /// Says whether a call's entry was asked to stop during the call.
    fn stopping(&self, made: &Made) -> bool {
        self.during(made, |fault, n| fault == Fault::StopEntry(n))
    }

    fn during(&self, made: &Made, of: impl Fn(Fault, usize) -> bool) -> bool {
        let to = made.call.at + made.outcome.latency;
        let from = to.saturating_sub(made.outcome.wait);
        let entry = self.entry(made);
        self.done
            .iter()
            .filter(|done| of(done.fault, entry))
            .any(|done| from <= done.to.saturating_add(RECOVERY) && done.from <= to)
    }

    /// The number of a call's entry.
    fn entry(&self, made: &Made) -> usize {
        let own = address(&made.call.base);
        let entries = self.entries.iter();
        entries
            .clone()
            .position(|a| a == own)
            .unwrap_or(entries.len())
    }

    fn was_answered(&self, made: &Made) -> bool {
        let mut same = self
            .made
            .iter()
            .filter(|other| other.call.request == made.call.request);
        same.any(|other| other.outcome.ending == Ending::Answered)
    }

    fn doubled(&self, counts: &mut Counts) {
        let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (endpoint, log) in &self.runs {
            // All calls with one key carry the same request name as well.
            let writes = log.iter().filter(|ran| ran.method == "POST");
            for request in writes.filter_map(|ran| ran.request.as_deref()) {
                runs.entry(request).or_default().push(endpoint);
            }
        }
        for (key, at) in runs.into_iter().filter(|(_, at)| at.len() > 1) {
            counts.doubled += 1;
            counts.remark(format!("doubled: {key} ran at {}", at.join(", ")));
        }
    }

    /// A request that every caller of it was told "not run" of must be in no log.
    fn not_run(&self, counts: &mut Counts) {
        let logs = self.runs.values().flatten();
        let ran: BTreeSet<&str> = logs.filter_map(|ran| ran.request.as_deref()).collect();
        let mut calls: BTreeMap<&str, Vec<&Made>> = BTreeMap::new();
        for made in &self.made {
            calls.entry(&made.call.request).or_default().push(made);
        }
        for (request, made) in calls {
            if ran.contains(request) && made.iter().all(|made| says_not_run(made)) {
                counts.untrue += 1;
                counts.remark(format!("false not run: {}", name(made[0])));
            }
        }
    }

    /// Within one life of an entry, the version only rises. A kill or stop ends
    /// a life; an answer under way across its end belongs to neither.
    fn reverts(&self, counts: &mut Counts) {
        for (entry, seen) in self.seen.iter().enumerate() {
            for pair in seen.windows(2) {
                let (before, after) = (pair[0], pair[1]);
                let ended = self.done.iter().any(|done| {
                    let ends = matches!(done.fault, Fault::KillEntry(n) | Fault::StopEntry(n) if n == entry);
                    ends && before.asked <= done.to && done.from <= after.told
                });
                if after.version < before.version && !ended {
                    counts.config_reverts += 1;
                    counts.remark(format!("entry {entry} reverted: {before:?}, {after:?}"));
                }
            }
        }
    }

    /// Each command that was told "done" is the one that made that version.
    fn commands(&self, counts: &mut Counts) {
        let versions: BTreeSet<u64> = self
            .trail
            .iter()
            .filter_map(|row| row.get("version").and_then(serde_json::Value::as_u64))
            .collect();
        let mut told = BTreeSet::new();
        for Told {
            statement, answer, ..
        } in self.done.iter().flat_map(|done| &done.told)
        {
            let Some((_, version)) = answer.split_once("done: version ") else {
                continue;
            };
            let Ok(version) = version.trim().parse::<u64>() else {
                continue;
            };
            if !versions.contains(&version) || !told.insert(version) {
                counts.lost_commands += 1;
                counts.remark(format!("not in the trail: {statement}: {answer}"));
            }
        }
    }

    fn drains(&self, counts: &mut Counts) {
        for done in &self.done {
            let Fault::Drain(plain) = done.fault else {
                continue;
            };
            let drained = |told: &&Told| {
                told.statement.starts_with("drain ") && told.answer.contains("done: ")
            };
            let accepted = done.told.iter().find(drained);
            let Some((accepted, (endpoint, log))) = accepted.zip(self.runs.iter().nth(plain))
            else {
                continue;
            };
            let from = accepted.at + DRAIN;
            for ran in log {
                let at = Duration::from_millis(ran.at_ms.saturating_sub(self.epoch_ms));
                if at > from && at + Duration::from_secs(1) < done.to {
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

fn says_not_run(made: &Made) -> bool {
    match &made.outcome.ending {
        Ending::Refused(_, problem) => {
            ErrorKind::from_problem(problem).is_some_and(|kind| kind.answer().not_run)
        }
        _ => false,
    }
}

fn refused_connection(made: &Made) -> bool {
    matches!(&made.outcome.ending, Ending::Lost(why) if why.contains("refused"))
}

fn address(base: &str) -> &str {
    base.trim_start_matches("http://")
        .split('/')
        .next()
        .unwrap_or(base)
}

fn name(made: &Made) -> String {
    let (call, outcome) = (&made.call, &made.outcome);
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
