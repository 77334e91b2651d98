//! The results of the checks of a fault run.

use crate::report::Report;
use std::{collections::BTreeMap, time::Duration};

/// Maximum number of remarks that are kept.
const MAX_REMARKS: usize = 40;

/// The results of the checks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Calls that were made.
    pub requests: usize,
    /// Requests that plain services started.
    pub runs: usize,
    /// Complete answers.
    pub answered: usize,
    /// Calls without an idempotency key whose entry was available, and
    /// the complete answers to them.
    pub repeatable: (usize, usize),
    /// Calls that were refused.
    pub refused: usize,
    /// Refused calls by problem code.
    pub refusals: BTreeMap<String, usize>,
    /// Refused calls whose outcome is unknown to the caller.
    pub unknown: usize,
    /// Calls without a timely answer because their entry was killed, stopped
    /// or frozen.
    pub unserved: usize,
    /// Streams that broke off while a sidecar or endpoint was killed or frozen.
    /// Another endpoint can't continue a stream that has begun.
    pub broken_streams: usize,
    /// Calls through an available entry that were answered after the deadline
    /// or not at all.
    pub late: usize,
    /// Requests with an idempotency key that ran more than once.
    pub duplicates: usize,
    /// Successes that are incomplete or answer another request.
    pub incomplete: usize,
    /// Requests that ran although every caller was told that they did not.
    pub false_not_run: usize,
    /// Times that an entry reverted to an older configuration.
    pub config_reverts: usize,
    /// Commands that were confirmed with "done" but have no own version in the
    /// audit trail.
    pub lost_commands: usize,
    /// Requests that started at an endpoint more than 3 s after its drain.
    pub after_drain: usize,
    /// Calls that a planned stop interrupted.
    pub cut_off: usize,
    /// The longest time that a caller waited past its deadline.
    pub max_overdue: Duration,
    /// Faults that were injected, including attempts that failed.
    pub faults: usize,
    /// Descriptions of findings, one line each.
    pub remarks: Vec<String>,
    /// Faults, unsuccessful calls and operators' replies in order of time.
    pub trace: Vec<(Duration, String)>,
}

impl Counts {
    /// Returns whether no check found a violation.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.late
            + self.duplicates
            + self.incomplete
            + self.false_not_run
            + self.config_reverts
            + self.lost_commands
            + self.after_drain
            + self.cut_off
            == 0
    }

    /// Returns the counts as a report.
    #[must_use]
    pub fn report(&self) -> Report {
        let mut report = Report::default();
        let (calls, answers) = self.repeatable;
        let figures = [
            ("requests", self.requests),
            ("runs", self.runs),
            ("answered", self.answered),
            ("refused", self.refused),
            ("unknown", self.unknown),
            ("unserved", self.unserved),
            ("broken", self.broken_streams),
            ("faults", self.faults),
            ("late", self.late),
            ("doubled", self.duplicates),
            ("short", self.incomplete),
            ("false_not_run", self.false_not_run),
            ("config_reverts", self.config_reverts),
            ("lost_commands", self.lost_commands),
            ("after_drain", self.after_drain),
            ("cut_by_stop", self.cut_off),
        ];
        for (name, value) in figures {
            report.add(name, value as f64, "");
        }
        for (problem, count) in &self.refusals {
            report.add(
                format!("refused_{}", problem.replace('-', "_")),
                *count as f64,
                "",
            );
        }
        report.add("overdue_max", self.max_overdue.as_secs_f64() * 1e3, "ms");
        report.add(
            "repeatable_answered",
            100.0 * answers as f64 / calls.max(1) as f64,
            "%",
        );
        report
    }

    pub(super) fn remark(&mut self, text: String) {
        if self.remarks.len() < MAX_REMARKS {
            self.remarks.push(text);
        }
    }
}
