//! What callers saw, and the table of it.

use super::{balance::Policy, scenario::Scenario};
use hibiscusroad::{Class, Repeat};
use std::{fmt::Write, time::Duration};

/// A refusal within this time counts as decided on arrival.
const AT_ONCE: Duration = Duration::from_millis(5);

/// One call as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record {
    pub(super) entry: usize,
    pub(super) class: Class,
    pub(super) repeat: Repeat,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    pub(super) work: f64,
    pub(super) prefix: Option<u64>,
    /// Attempts started for it.
    pub(super) starts: u32,
    /// How often its caller has asked.
    pub(super) asked: u32,
    pub(super) answered: Option<Duration>,
    pub(super) refused: Option<Duration>,
}

impl Record {
    fn in_time(&self) -> bool {
        self.answered.is_some_and(|at| at <= self.deadline)
    }

    fn refusal(&self) -> Option<Duration> {
        self.refused.map(|at| at.saturating_sub(self.arrived))
    }

    /// Says whether it was let in: anything but a refusal on arrival.
    fn admitted(&self) -> bool {
        self.refusal().is_none_or(|took| took > AT_ONCE)
    }

    /// Says whether its caller waited to the deadline for nothing.
    fn late(&self) -> bool {
        let given_up = self.refused.is_some_and(|at| at < self.deadline);
        !self.in_time() && !given_up
    }
}

/// Latency of the answers of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// The median.
    pub p50: Duration,
    /// The 99th percentile.
    pub p99: Duration,
}

/// What one run gave.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Work answered in time over what the endpoints can do.
    pub goodput: f64,
    /// Calls that were let in.
    pub admitted: usize,
    /// Calls let in that got no answer before their deadline.
    pub late: usize,
    /// Latency of answers by [`Class::index`].
    pub latency: [Latency; 3],
    /// Share of calls refused.
    pub refused: f64,
    /// Share of those refused that asked again, over those who asked again.
    pub refused_again: f64,
    /// Refusals that came later than on arrival.
    pub slow_refusals: usize,
    /// 99th percentile and maximum of the time that refusals took.
    pub refusal: (Duration, Duration),
    /// Attempts beyond the first, over first ones.
    pub retries: f64,
    /// Endpoint work over the work of answers in time.
    pub work_ratio: f64,
    /// Work of the busiest endpoint over the mean.
    pub busiest: f64,
    /// Share of prefix lookups that hit.
    pub hits: f64,
    /// Work answered in time by class, over what the endpoints can do.
    pub shares: [f64; 3],
}

impl Score {
    pub(super) fn new(
        scenario: &Scenario,
        records: &[Record],
        spent: &[f64],
        cache: (u64, u64),
    ) -> Self {
        let (from, to) = scenario.window;
        let window = from..to;
        let seen: Vec<&Record> = records
            .iter()
            .filter(|r| window.contains(&r.arrived))
            .collect();
        // Capacity is compared with what ends in the window: at saturation
        // what arrives before its end is answered after it.
        let ended = |r: &&Record| r.in_time() && r.answered.is_some_and(|at| window.contains(&at));
        let lanes = spent.len() as f64 * f64::from(scenario.kind.width());
        let capacity = lanes * to.saturating_sub(from).as_secs_f64();
        let share = |class: Class| {
            let done = records.iter().filter(ended).filter(|r| r.class == class);
            done.fold(0.0, |sum, r| sum + r.work) / capacity
        };
        let shares = Class::ALL.map(share);
        let mut refusals: Vec<Duration> = seen.iter().filter_map(|r| r.refusal()).collect();
        refusals.sort_unstable();
        let useful: f64 = records.iter().filter(|r| r.in_time()).map(|r| r.work).sum();
        let total: f64 = spent.iter().sum();
        let most = spent.iter().copied().fold(0.0, f64::max);
        let started = seen.iter().filter(|r| r.starts > 0);
        let starts: u32 = started.clone().map(|r| r.starts).sum();
        let firsts = started.count();
        let last = refusals.last().copied().unwrap_or_default();
        Self {
            goodput: shares.iter().sum(),
            admitted: seen.iter().filter(|r| r.admitted()).count(),
            late: seen.iter().filter(|r| r.admitted() && r.late()).count(),
            latency: Class::ALL.map(|class| latency(&seen, class)),
            refused: refusals.len() as f64 / seen.len().max(1) as f64,
            refused_again: refused_again(&seen),
            slow_refusals: refusals.iter().filter(|took| **took > AT_ONCE).count(),
            refusal: (quantile(&refusals, 0.99), last),
            retries: f64::from(starts) / firsts.max(1) as f64 - 1.0,
            work_ratio: total / useful,
            busiest: most * spent.len() as f64 / total,
            hits: cache.0 as f64 / cache.1.max(1) as f64,
            shares,
        }
    }

    /// Returns late answers over calls let in.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        self.late as f64 / self.admitted.max(1) as f64
    }

    /// Returns the head of the table.
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

    /// Returns a row of the table; times are in milliseconds.
    #[must_use]
    pub fn row(&self, scenario: &str, policy: Policy) -> String {
        let mut line = format!("{scenario:<17}{:<15}", policy.name());
        let mut cell = |text: String| {
            let _ = write!(line, "{text:>9}");
        };
        cell(percent(self.goodput));
        cell(
            self.shares
                .map(|share| format!("{:.0}", share * 100.0))
                .join("/"),
        );
        cell(format!("{:.2}%", self.late_share() * 100.0));
        for latency in self.latency {
            cell(millis(latency.p50));
            cell(millis(latency.p99));
        }
        cell(percent(self.refused));
        cell(percent(self.refused_again));
        cell(self.slow_refusals.to_string());
        cell(millis(self.refusal.0));
        cell(millis(self.refusal.1));
        cell(format!("{:.3}", self.retries));
        cell(format!("{:.3}", self.work_ratio));
        cell(format!("{:.2}", self.busiest));
        cell(percent(self.hits));
        line
    }
}

fn refused_again(seen: &[&Record]) -> f64 {
    let again = seen.iter().filter(|r| r.asked > 1);
    let refused = again.clone().filter(|r| r.refused.is_some()).count();
    refused as f64 / again.count().max(1) as f64
}

fn latency(seen: &[&Record], class: Class) -> Latency {
    let answers = seen.iter().filter(|r| r.class == class);
    let mut all: Vec<Duration> = answers
        .filter_map(|r| r.answered.map(|at| at.saturating_sub(r.arrived)))
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
