//! Checks of the guarantees to callers and trainers.

use super::{
    keys::CALLER_ACCOUNT,
    world::{LEASE_MS, PLAIN_ENDPOINTS, World},
};
use hibiscusroad_standins::direct::{ExecutedRequest, TextRuns};
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    fmt::Write,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Limit on recorded violations; one cause leads to many.
const MAX_VIOLATIONS: usize = 20;

#[derive(Debug, Default)]
struct Observations {
    violations: Vec<String>,
    counts: BTreeMap<&'static str, usize>,
    /// The texts of items that were read, with their items.
    texts: BTreeSet<(String, String)>,
    /// Non-idempotent requests that were answered as not run.
    not_run: HashSet<String>,
    faults: Vec<(Duration, String)>,
    /// Findings that are no violation: times in which an item stood at no engine, and requests that
    /// were late for an allowed reason.
    notes: Vec<String>,
}

/// Records and checks what clients observe. Clones share the record.
#[derive(Clone, Debug)]
pub(super) struct Check {
    observed: Arc<Mutex<Observations>>,
    /// Returns the number of events in the text of an item.
    text_length: fn(&str) -> u64,
    /// Whether one weight version must generate all of a text.
    single_version: bool,
}

/// Result of a soak.
#[derive(Debug)]
pub struct Found {
    violations: Vec<String>,
    counts: BTreeMap<&'static str, usize>,
    faults: Vec<(Duration, String)>,
    notes: Vec<String>,
    /// Directory of the logs, if there are violations or notes.
    logs: Option<PathBuf>,
}

impl Found {
    /// Returns whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Returns the value of a counter, zero if it was never incremented.
    #[must_use]
    pub fn count(&self, counter: &str) -> usize {
        self.counts.get(counter).copied().unwrap_or(0)
    }

    /// Returns the printed form: violations and counters, and the faults if there are violations.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        for violation in &self.violations {
            let _ = writeln!(out, "BROKEN: {violation}");
        }
        for note in &self.notes {
            let _ = writeln!(out, "# {note}");
        }
        for (at, fault) in self.faults.iter().filter(|_| self.logs.is_some()) {
            let _ = writeln!(out, "# {:.2} s {fault}", at.as_secs_f64());
        }
        if let Some(logs) = &self.logs {
            let _ = writeln!(out, "# logs are in {}", logs.display());
        }
        let counts = self.counts.iter().map(|(name, n)| format!("{name}={n}"));
        let counts: Vec<String> = counts.collect();
        let _ = writeln!(out, "broken={} {}", self.violations.len(), counts.join(" "));
        out
    }
}

impl Check {
    /// Creates an empty record. `text_length` returns the number of events in the text of an
    /// item.
    pub(super) fn new(text_length: fn(&str) -> u64, single_version: bool) -> Self {
        Self {
            observed: Arc::default(),
            text_length,
            single_version,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_violation(&self, violation: &str) {
        let mut observed = self.lock();
        if observed.violations.len() < MAX_VIOLATIONS {
            observed.violations.push(violation.to_owned());
        }
    }

    pub(super) fn count(&self, counter: &'static str) {
        *self.lock().counts.entry(counter).or_default() += 1;
    }

    /// Sets the value of a counter.
    pub(super) fn set(&self, counter: &'static str, value: usize) {
        self.lock().counts.insert(counter, value);
    }

    /// Records a finding that is no violation.
    pub(super) fn record_note(&self, note: String) {
        self.lock().notes.push(note);
    }

    pub(super) fn record_not_run(&self, id: &str) {
        if id.starts_with("once-") {
            self.lock().not_run.insert(id.to_owned());
        }
    }

    pub(super) fn record_fault(&self, at: Duration, fault: String) {
        self.lock().faults.push((at, fault));
    }

    /// Checks one result of a batch that holds `items` and whose lowest allowed model version is
    /// `min_version`.
    pub(super) fn check_result(
        &self,
        batch: &str,
        items: &[String],
        result: &Value,
        min_version: u64,
    ) {
        let id = result["id"].as_str().unwrap_or_default();
        if !items.iter().any(|item| item == id) {
            return self.record_violation(&format!("{batch} has a result of {id}"));
        }
        if result["state"] != "completed" {
            return self.record_violation(&format!("{id} is errored without a cause"));
        }
        let lines: Vec<String> = (1..=(self.text_length)(id))
            .map(|n| format!("{id}-{n}"))
            .collect();
        let text = result["text"].as_str().unwrap_or_default();
        if TextRuns::strip(text) != lines.join("\n") {
            self.record_violation(&format!("the text of {id} isn't whole"));
        }
        self.lock().texts.insert((id.to_owned(), text.to_owned()));
        if result["score"] != format!("stamp-score-{id}") {
            self.record_violation(&format!("{id} has another's score"));
        }
        let versions = result["versions"].as_array().cloned().unwrap_or_default();
        let is_allowed = |version: &Value| version.as_u64().is_some_and(|v| v >= min_version);
        if self.single_version && versions.len() != 1 {
            self.record_violation(&format!("{id} is of versions {versions:?}, not of one"));
        }
        if versions.is_empty() || !versions.iter().all(is_allowed) {
            self.record_violation(&format!(
                "{id} is of versions {versions:?}, the floor is {min_version}"
            ));
        }
    }

    pub(super) fn finish(self, world: &mut World) -> Found {
        if world.unexpected_exits > 0 {
            self.record_violation(&format!(
                "{} processes ended by themselves",
                world.unexpected_exits
            ));
        }
        let observed = std::mem::take(&mut *self.lock());
        let has_findings = !observed.violations.is_empty() || !observed.notes.is_empty();
        let logs = has_findings.then(|| world.directory().to_owned());
        if logs.is_none()
            && let Err(error) = std::fs::remove_dir_all(world.directory())
        {
            eprintln!("measure: {}: {error}", world.directory().display());
        }
        Found {
            violations: observed.violations,
            counts: observed.counts,
            faults: observed.faults,
            notes: observed.notes,
            logs,
        }
    }
}

/// Checks the usage reports for violations and counts the accepted ones.
pub(super) fn check_reports(check: &Check, world: &World) {
    for violation in world.billing.violations(Duration::from_millis(LEASE_MS)) {
        check.record_violation(&violation);
    }
    for _ in world.billing.accepted_reports() {
        check.count("reports");
    }
}

/// Checks that each text that was read was made by runs of its item that continue each other.
pub(super) fn check_joins(check: &Check, world: &World) {
    let runs = TextRuns::new(world.executed());
    let texts = check.lock().texts.clone();
    let mut resumed = 0;
    for (item, text) in &texts {
        match runs.check(item, text) {
            Ok(count) => resumed += count.saturating_sub(1),
            Err(violation) => check.record_violation(&violation),
        }
    }
    check.set("resumed runs", resumed);
}

/// Checks that an endpoint received the right client account and no key with a request.
fn check_account(check: &Check, request: &ExecutedRequest) {
    let expected = match request.id.split_once('-') {
        Some(("crash" | "desk" | "once", _)) => Some(CALLER_ACCOUNT),
        Some(("score", _)) => None,
        Some((model, _)) => Some(model),
        None => return,
    };
    if request.account.as_deref() != expected {
        check.record_violation(&format!("{} ran for {:?}", request.id, request.account));
    }
    if request.has_authorization {
        check.record_violation(&format!("{} was passed on with its key", request.id));
    }
}

/// Checks the requests that endpoints ran, and the fencing tokens of the orders they received.
pub(super) fn check_endpoints(check: &Check, world: &World) {
    let executed = world.executed();
    for request in &executed {
        check_account(check, request);
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for request in executed
        .into_iter()
        .filter(|request| request.id.starts_with("once-"))
    {
        *runs.entry(request.id).or_default() += 1;
    }
    let not_run = check.lock().not_run.clone();
    for (id, n) in &runs {
        if *n > 1 {
            check.record_violation(&format!("{id} ran {n} times"));
        }
        if not_run.contains(id) {
            check.record_violation(&format!("{id} ran and was told that it did not"));
        }
    }
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for endpoint in &world.endpoints[PLAIN_ENDPOINTS..] {
        let mut last = 0;
        for (holder, token) in endpoint.order_holders() {
            let first_holder = holders.entry(token).or_insert_with(|| holder.clone());
            if *first_holder != holder {
                check.record_violation(&format!(
                    "{first_holder} and {holder} gave orders with number {token}"
                ));
            }
            if token < last {
                check.record_violation(&format!("number {token} came after {last}"));
            }
            last = token;
        }
    }
}
