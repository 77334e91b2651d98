//! An analysis of what training steps waited for, from the logs of all processes.
//!
//! A trainer continues once enough groups of a step's batch are complete, so the
//! last item of the last group that it awaited determines how long the step
//! takes. The time from the acceptance of the batch to its end is split by what
//! this item was doing or waiting for. Each moment counts for exactly one cause,
//! so the causes add up to the whole time.

use super::{LogLine, Logs};
use crate::rows::{Row, Table};
use serde_json::Value;
use std::collections::BTreeMap;

/// The columns of the table. Times are in seconds: `asked` since the first step was
/// accepted, `begun`, `first` and `last` since this one was.
const COLUMNS: &[&str] = &[
    "model", "step", "batch", "asked", "begun", "first", "last", "took", "begin", "weights",
    "room", "refused", "moved", "queued", "decode", "owner", "scoring", "listing", "trainer",
    "events", "endpoint", "state",
];
/// The columns with the time of each cause; they add up to `took`.
const CAUSES: &[&str] = &[
    "begin", "weights", "room", "refused", "moved", "queued", "decode", "owner", "scoring",
    "listing", "trainer",
];
/// Trainers poll for results twice a second. One that ends a step later than this
/// after its target was reached has waited for another group.
const MAX_READ_DELAY_MS: f64 = 1_000.0;

/// The log lines of one batch, with corrected times in milliseconds.
#[derive(Default)]
struct Step<'a> {
    accepted: Option<(f64, &'a LogLine)>,
    ended: Option<f64>,
    takeovers: Vec<f64>,
    runs: Vec<(f64, &'a LogLine)>,
    scored: BTreeMap<&'a str, f64>,
    listed: BTreeMap<&'a str, f64>,
}

/// The time of a step by cause, in milliseconds.
struct Breakdown {
    /// The time up to which causes are assigned.
    assigned_until: f64,
    by_cause: BTreeMap<&'static str, f64>,
}

impl Breakdown {
    /// Assigns the time up to `end` to a cause.
    fn assign_until(&mut self, end: f64, cause: &'static str) {
        let duration = (end - self.assigned_until).max(0.0);
        *self.by_cause.entry(cause).or_default() += duration;
        self.assigned_until += duration;
    }

    /// Assigns the time up to `end`, but at most `max_duration`, to a cause.
    fn assign_at_most(&mut self, end: f64, max_duration: f64, cause: &'static str) {
        let end = (self.assigned_until + max_duration).min(end);
        self.assign_until(end, cause);
    }
}

impl Logs {
    /// Returns a row for each training step with its time by cause, and a row of
    /// totals.
    #[must_use]
    pub fn steps(&self) -> Table {
        let offsets = self.clock_offsets();
        let corrected_time =
            |line: &LogLine| line.time_ms - offsets.get(line.process.as_str()).unwrap_or(&0.0);
        let mut steps: BTreeMap<&str, Step<'_>> = BTreeMap::new();
        for line in &self.lines {
            let batch = line.str_field("batch");
            if !batch.is_empty() {
                steps
                    .entry(batch)
                    .or_default()
                    .record(corrected_time(line), line);
            }
        }
        let accepted = steps.values().filter_map(|step| Some(step.accepted?.0));
        let start = accepted.fold(f64::INFINITY, f64::min);
        let mut rows: Vec<Row> = steps
            .iter()
            .filter_map(|(batch, step)| step.to_row(batch, start))
            .collect();
        rows.sort_by_key(|row| (row["model"].to_string(), row["step"].as_u64()));
        rows.push(total_row(&rows));
        Table {
            columns: COLUMNS.iter().map(|&name| name.to_owned()).collect(),
            rows,
        }
    }
}

impl<'a> Step<'a> {
    fn record(&mut self, time: f64, line: &'a LogLine) {
        match line.str_field("text") {
            "A batch is accepted." => self.accepted = Some((time, line)),
            "A batch is ended." => self.ended = Some(self.ended.unwrap_or(time).min(time)),
            "A batch is taken over." => self.takeovers.push(time),
            "A run of an item broke off." | "The text of an item is whole." => {
                self.runs.push((time, line));
            }
            "The text of an item is scored." => {
                self.scored.insert(line.str_field("item"), time);
            }
            "Results are listed." => {
                for item in line.str_field("items").split(' ') {
                    self.listed.entry(item).or_insert(time);
                }
            }
            _ => {}
        }
    }

    fn to_row(&self, batch: &str, start: f64) -> Option<Row> {
        let (accepted, line) = self.accepted?;
        let mut row = Row::new();
        row.insert("model".to_owned(), line.str_field("model").into());
        let step = line.fields.get("step").cloned().unwrap_or_default();
        row.insert("step".to_owned(), step);
        row.insert("batch".to_owned(), batch.into());
        row.insert("asked".to_owned(), to_seconds(accepted - start));
        let complete = self.runs.iter().filter(|(_, run)| is_complete(run));
        let ends: Vec<f64> = complete.map(|(time, _)| *time).collect();
        let starts = self
            .runs
            .iter()
            .map(|(time, run)| time - run.num_field("took_ms"));
        row.insert("begun".to_owned(), earliest(starts, accepted));
        row.insert("first".to_owned(), earliest(ends.iter().copied(), accepted));
        let last = ends.iter().copied().fold(f64::NAN, f64::max);
        row.insert("last".to_owned(), to_seconds(last - accepted));
        let Some(ended) = self.ended else {
            row.insert("state".to_owned(), "open".into());
            return Some(row);
        };
        row.insert("took".to_owned(), to_seconds(ended - accepted));
        row.insert("state".to_owned(), "ended".into());
        let Some(item) = self.last_awaited_item(ended, line) else {
            row.insert("state".to_owned(), "given up".into());
            return Some(row);
        };
        let run = self
            .runs
            .iter()
            .rfind(|(_, run)| run.str_field("item") == item);
        if let Some((_, run)) = run {
            let events = events_before(run) + run.num_field("events");
            row.insert("events".to_owned(), events.into());
            row.insert("endpoint".to_owned(), run.str_field("endpoint").into());
        }
        for (cause, ms) in self.breakdown(item, accepted, ended) {
            row.insert(cause.to_owned(), to_seconds(ms));
        }
        Some(row)
    }

    /// Returns the last item that the trainer waited for: the last of the group
    /// that reached the target or, if the trainer waited longer, of the last
    /// complete group.
    fn last_awaited_item(&self, ended: f64, accepted: &LogLine) -> Option<&'a str> {
        let mut groups: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (_, run) in self.runs.iter().filter(|(_, run)| is_complete(run)) {
            groups
                .entry(run.str_field("group"))
                .or_default()
                .push(run.str_field("item"));
        }
        // A group is complete when its last item is listed.
        let last_listed = |items: &Vec<&'a str>| {
            let listed = items.iter().map(|item| (self.listed.get(item), *item));
            let listed: Option<Vec<(f64, &str)>> = listed
                .map(|(time, item)| Some((time.copied()?, item)))
                .collect();
            listed?.into_iter().max_by(|a, b| a.0.total_cmp(&b.0))
        };
        let mut complete: Vec<(f64, &str)> = groups
            .values()
            .filter_map(last_listed)
            .filter(|(time, _)| *time <= ended)
            .collect();
        complete.sort_by(|a, b| a.0.total_cmp(&b.0));
        let target = accepted.fields.get("target").and_then(Value::as_u64);
        let target = usize::try_from(target.unwrap_or(1)).unwrap_or(usize::MAX);
        let target_group = complete.get(target.max(1) - 1).copied();
        let awaited = target_group.filter(|(time, _)| ended - time < MAX_READ_DELAY_MS);
        awaited.or(complete.last().copied()).map(|(_, item)| item)
    }

    /// Splits the time of the step by what one item was doing or waiting for.
    fn breakdown(&self, item: &str, accepted: f64, ended: f64) -> BTreeMap<&'static str, f64> {
        let mut breakdown = Breakdown {
            assigned_until: accepted,
            by_cause: CAUSES.iter().map(|cause| (*cause, 0.0)).collect(),
        };
        let mut runs: Vec<&(f64, &LogLine)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.str_field("item") == item)
            .collect();
        runs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut gap_cause = "begin";
        let mut total_events = 0.0;
        for (time, run) in runs {
            let start = (time - run.num_field("took_ms")).min(ended);
            if self
                .takeovers
                .iter()
                .any(|t| *t > breakdown.assigned_until && *t <= start)
            {
                // The previous owner did not log the end of its run, but this run
                // continues after the events of that one.
                let lost_run_events = events_before(run) - total_events;
                breakdown.assign_at_most(
                    start,
                    lost_run_events * run.num_field("pace_us") / 1000.0,
                    "decode",
                );
                breakdown.assign_until(start, "owner");
            }
            total_events = events_before(run) + run.num_field("events");
            breakdown.assign_at_most(start, run.num_field("weights_ms"), "weights");
            breakdown.assign_at_most(start, run.num_field("room_ms"), "room");
            breakdown.assign_until(start, gap_cause);
            let (run_cause, next_gap_cause) = match run.str_field("cause") {
                "NotRun" => ("refused", "refused"),
                "" | "Moved" => ("decode", "moved"),
                _ => ("decode", "refused"),
            };
            // The rest of the run passed before its first event.
            let decode_ms =
                (run.num_field("events") - 1.0).max(0.0) * run.num_field("pace_us") / 1000.0;
            let queued_ms = run.num_field("took_ms") - decode_ms;
            if run_cause == "decode" {
                breakdown.assign_at_most(time.min(ended), queued_ms.max(0.0), "queued");
            }
            breakdown.assign_until(time.min(ended), run_cause);
            gap_cause = next_gap_cause;
        }
        for (times, cause) in [(&self.scored, "scoring"), (&self.listed, "listing")] {
            if let Some(time) = times.get(item) {
                breakdown.assign_until(time.min(ended), cause);
            }
        }
        breakdown.assign_until(ended, "trainer");
        breakdown.by_cause
    }
}

impl LogLine {
    fn num_field(&self, name: &str) -> f64 {
        self.fields.get(name).and_then(Value::as_f64).unwrap_or(0.0)
    }
}

/// Returns the number of an item's events before a run. The field holds the number
/// of the last one, counted from 1, in the form `Some(n)`.
fn events_before(run: &LogLine) -> f64 {
    let text = run.str_field("before");
    let number = text
        .strip_prefix("Some(")
        .and_then(|text| text.strip_suffix(')'));
    number.and_then(|n| n.parse().ok()).unwrap_or(0.0)
}

fn is_complete(run: &LogLine) -> bool {
    run.fields.get("cause").is_none()
}

/// Returns the seconds from `start` to the earliest time.
fn earliest(times: impl Iterator<Item = f64>, start: f64) -> Value {
    to_seconds(times.fold(f64::NAN, f64::min) - start)
}

/// Converts milliseconds to seconds with two decimals, and NaN to null.
fn to_seconds(ms: f64) -> Value {
    Value::from((ms / 10.0).round() / 100.0)
}

/// Returns a row with the sums of `took` and the causes.
fn total_row(rows: &[Row]) -> Row {
    let mut total = Row::new();
    total.insert("model".to_owned(), "all".into());
    total.insert("step".to_owned(), rows.len().into());
    for name in ["took"].iter().chain(CAUSES) {
        let cells = rows.iter().filter_map(|row| row.get(*name)?.as_f64());
        let sum: f64 = cells.sum();
        total.insert((*name).to_owned(), to_seconds(sum * 1000.0));
    }
    total
}
