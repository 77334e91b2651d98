//! Results of a run as callers see them, and their table.

use super::{balance::Policy, scenario::Scenario};
use hibiscusroad::{Class, Repeat};
use std::{fmt::Write, time::Duration};

/// A refusal within this time counts as a refusal on arrival.
const MAX_IMMEDIATE_REFUSAL: Duration = Duration::from_millis(5);

/// A submission of a call, as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record {
    pub(super) entry: usize,
    pub(super) class: Class,
    pub(super) repeat: Repeat,
    pub(super) arrived_at: Duration,
    pub(super) deadline: Duration,
    pub(super) work: f64,
    pub(super) prefix: Option<u64>,
    /// Attempts started for this submission.
    pub(super) attempts: u32,
    /// How often the caller has submitted the call so far.
    pub(super) submissions: u32,
    pub(super) answered_at: Option<Duration>,
    pub(super) refused_at: Option<Duration>,
}

impl Record {
    fn in_time(&self) -> bool {
        self.answered_at.is_some_and(|at| at <= self.deadline)
    }

    fn time_to_refusal(&self) -> Option<Duration> {
        self.refused_at.map(|at| at.saturating_sub(self.arrived_at))
    }

    /// Returns whether the call was not refused on arrival.
    fn admitted(&self) -> bool {
        self.time_to_refusal()
            .is_none_or(|elapsed| elapsed > MAX_IMMEDIATE_REFUSAL)
    }

    /// Returns whether the call was neither answered nor refused by its deadline.
    fn missed_deadline(&self) -> bool {
        let given_up = self.refused_at.is_some_and(|at| at < self.deadline);
        !self.in_time() && !given_up
    }
}

/// Latency percentiles of the answers of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// The median.
    pub p50: Duration,
    /// The 99th percentile.
    pub p99: Duration,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Work answered in time, as a share of the capacity.
    pub goodput: f64,
    /// Calls that were not refused on arrival.
    pub admitted: usize,
    /// Admitted calls that were neither answered nor refused by their deadline.
    pub late: usize,
    /// Latency of answers, indexed by [`Class::index`].
    pub latency: [Latency; 3],
    /// Share of calls that were refused.
    pub refusal_rate: f64,
    /// Share of retries by callers that were refused.
    pub retry_refusal_rate: f64,
    /// Refusals later than on arrival.
    pub slow_refusals: usize,
    /// 99th percentile and maximum of the time from arrival to refusal.
    pub refusal_latency: (Duration, Duration),
    /// Additional attempts per started call.
    pub retries: f64,
    /// Ratio of all endpoint work to the work of calls answered in time.
    pub work_ratio: f64,
    /// Ratio of the work of the busiest endpoint to the mean.
    pub max_load_ratio: f64,
    /// Share of prefix lookups that hit the cache.
    pub cache_hit_rate: f64,
    /// Work answered in time as a share of the capacity, indexed by [`Class::index`].
    pub class_shares: [f64; 3],
}

impl Score {
    pub(super) fn new(
        scenario: &Scenario,
        records: &[Record],
        work_done: &[f64],
        cache: (u64, u64),
    ) -> Self {
        let (from, to) = scenario.window;
        let window = from..to;
        let arrivals: Vec<&Record> = records
            .iter()
            .filter(|r| window.contains(&r.arrived_at))
            .collect();
        // Select by time of answer: at saturation, calls that arrive in the window may
        // be answered after it.
        let answered_in_window =
            |r: &&Record| r.in_time() && r.answered_at.is_some_and(|at| window.contains(&at));
        let slots = work_done.len() as f64 * f64::from(scenario.kind.slots());
        let capacity = slots * to.saturating_sub(from).as_secs_f64();
        let share = |class: Class| {
            let answered = records
                .iter()
                .filter(answered_in_window)
                .filter(|r| r.class == class);
            answered.fold(0.0, |sum, r| sum + r.work) / capacity
        };
        let class_shares = Class::ALL.map(share);
        let mut refusals: Vec<Duration> = arrivals
            .iter()
            .filter_map(|r| r.time_to_refusal())
            .collect();
        refusals.sort_unstable();
        let useful: f64 = records.iter().filter(|r| r.in_time()).map(|r| r.work).sum();
        let total: f64 = work_done.iter().sum();
        let max_work = work_done.iter().copied().fold(0.0, f64::max);
        let started = arrivals.iter().filter(|r| r.attempts > 0);
        let attempts: u32 = started.clone().map(|r| r.attempts).sum();
        let started_calls = started.count();
        let max_refusal_latency = refusals.last().copied().unwrap_or_default();
        Self {
            goodput: class_shares.iter().sum(),
            admitted: arrivals.iter().filter(|r| r.admitted()).count(),
            late: arrivals
                .iter()
                .filter(|r| r.admitted() && r.missed_deadline())
                .count(),
            latency: Class::ALL.map(|class| latency(&arrivals, class)),
            refusal_rate: refusals.len() as f64 / arrivals.len().max(1) as f64,
            retry_refusal_rate: retry_refusal_rate(&arrivals),
            slow_refusals: refusals
                .iter()
                .filter(|elapsed| **elapsed > MAX_IMMEDIATE_REFUSAL)
                .count(),
            refusal_latency: (quantile(&refusals, 0.99), max_refusal_latency),
            retries: f64::from(attempts) / started_calls.max(1) as f64 - 1.0,
            work_ratio: total / useful,
            max_load_ratio: max_work * work_done.len() as f64 / total,
            cache_hit_rate: cache.0 as f64 / cache.1.max(1) as f64,
            class_shares,
        }
    }

    /// Returns the share of admitted calls that are late.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        self.late as f64 / self.admitted.max(1) as f64
    }

    /// Returns the table header.
    #[must_use]
    pub fn header() -> String {
        let mut line = format!("{:<17}{:<15}", "scenario", "policy");
        for name in [
            "goodput", "classes", "late", "int p50", "int p99", "par p50", "par p99", "rol p50",
            "rol p99", "refused", "again", "slow ref", "ref p99", "ref max", "retries", "work",
            "busiest", "hits",
        ] {
            let _ = write!(line, "{name:>9}");
        }
        line
    }

    /// Returns a table row; times are in milliseconds.
    #[must_use]
    pub fn row(&self, scenario: &str, policy: Policy) -> String {
        let mut line = format!("{scenario:<17}{:<15}", policy.name());
        let mut cell = |text: String| {
            let _ = write!(line, "{text:>9}");
        };
        cell(percent(self.goodput));
        cell(
            self.class_shares
                .map(|share| format!("{:.0}", share * 100.0))
                .join("/"),
        );
        cell(format!("{:.2}%", self.late_share() * 100.0));
        for latency in self.latency {
            cell(millis(latency.p50));
            cell(millis(latency.p99));
        }
        cell(percent(self.refusal_rate));
        cell(percent(self.retry_refusal_rate));
        cell(self.slow_refusals.to_string());
        cell(millis(self.refusal_latency.0));
        cell(millis(self.refusal_latency.1));
        cell(format!("{:.3}", self.retries));
        cell(format!("{:.3}", self.work_ratio));
        cell(format!("{:.2}", self.max_load_ratio));
        cell(percent(self.cache_hit_rate));
        line
    }
}

fn retry_refusal_rate(arrivals: &[&Record]) -> f64 {
    let retries = arrivals.iter().filter(|r| r.submissions > 1);
    let refused = retries.clone().filter(|r| r.refused_at.is_some()).count();
    refused as f64 / retries.count().max(1) as f64
}

fn latency(arrivals: &[&Record], class: Class) -> Latency {
    let answers = arrivals.iter().filter(|r| r.class == class);
    let mut all: Vec<Duration> = answers
        .filter_map(|r| r.answered_at.map(|at| at.saturating_sub(r.arrived_at)))
        .collect();
    all.sort_unstable();
    Latency {
        p50: quantile(&all, 0.5),
        p99: quantile(&all, 0.99),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a quantile of a length is a smaller length"
)]
fn quantile(sorted: &[Duration], q: f64) -> Duration {
    let index = (sorted.len() as f64 * q) as usize;
    sorted.get(index).copied().unwrap_or_default()
}

fn percent(value: f64) -> String {
    format!("{:.1}%", value * 100.0)
}

fn millis(value: Duration) -> String {
    format!("{:.1}", value.as_secs_f64() * 1e3)
}
