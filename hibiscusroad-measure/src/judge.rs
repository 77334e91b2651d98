//! Judgement of a load by what callers saw and what endpoints ran.

use crate::{
    caller::{Ending, GRACE, Work},
    load::CompletedCall,
};
use hibiscusroad_standins::plain::LogEntry;
use std::collections::BTreeMap;

/// Counts over all calls of a load.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Whole answers.
    pub answered: usize,
    /// Errors that came as an answer.
    pub refused: usize,
    /// Final answers, of whatever kind, after the deadline and its grace, and
    /// calls that got none.
    pub late: usize,
    /// Keys and non-repeatable requests that ran more than once.
    pub doubled: usize,
    /// Successes that aren't whole or answer another request.
    pub short: usize,
    /// Refusals by status and problem type.
    pub refusals: BTreeMap<(u16, String), usize>,
    /// What was wrong, the first few.
    pub remarks: Vec<String>,
}

const REMARKS: usize = 10;

impl Verdict {
    /// Says whether nothing was late, doubled or short.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.late == 0 && self.doubled == 0 && self.short == 0
    }

    fn remark(&mut self, text: String) {
        if self.remarks.len() < REMARKS {
            self.remarks.push(text);
        }
    }
}

/// Judges calls, and the logs of the plain services that they may have reached.
#[must_use]
pub fn judge(made: &[CompletedCall], logs: &[Vec<LogEntry>]) -> Verdict {
    let mut verdict = Verdict::default();
    for made in made {
        count(made, &mut verdict);
    }
    runs(made, logs, &mut verdict);
    verdict
}

fn count(made: &CompletedCall, verdict: &mut Verdict) {
    let CompletedCall { call, outcome } = made;
    let name = format!("{} {} of {}", kind(&call.work), call.path, call.request);
    let wait = outcome.wait;
    let mut late = wait > call.deadline + GRACE;
    match &outcome.ending {
        Ending::Answered => verdict.answered += 1,
        Ending::Refused(status, problem) => {
            verdict.refused += 1;
            *verdict
                .refusals
                .entry((*status, problem.clone()))
                .or_default() += 1;
        }
        Ending::Short(why) => {
            verdict.short += 1;
            verdict.remark(format!("short: {name}: {why}"));
        }
        Ending::Lost(why) => {
            late = true;
            verdict.remark(format!("no answer: {name}: {why} after {wait:.1?}"));
        }
    }
    if late {
        verdict.late += 1;
        let deadline = call.deadline;
        verdict.remark(format!("late: {name}: {wait:.1?}, deadline {deadline:.1?}"));
    }
}

const fn kind(work: &Work) -> &'static str {
    match work {
        Work::Get => "GET",
        Work::Post { .. } => "POST",
        Work::Complete { .. } => "completion",
    }
}

// All calls with one key carry the same request name as well, and endpoints
// log the name even where the key isn't passed on to them.
fn runs(made: &[CompletedCall], logs: &[Vec<LogEntry>], verdict: &mut Verdict) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    let writes = logs.iter().flatten().filter(|ran| ran.method == "POST");
    for name in writes.filter_map(|ran| ran.request.as_deref()) {
        *runs.entry(name).or_default() += 1;
    }
    for (name, count) in runs.iter().filter(|(_, count)| **count > 1) {
        verdict.doubled += 1;
        verdict.remark(format!("doubled: {name} ran {count} times"));
    }
    // Without this a log that names nothing would make all look well.
    for CompletedCall { call, outcome } in made {
        let write = matches!(call.work, Work::Post { .. });
        let name = call.request.as_str();
        if write && outcome.ending == Ending::Answered && !runs.contains_key(name) {
            verdict.short += 1;
            verdict.remark(format!("short: {name} was answered but ran nowhere"));
        }
    }
}
