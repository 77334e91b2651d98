//! What was promised, and what was seen.

use super::{
    keys::CALLERS,
    world::{DESKS, ENDPOINTS, LEASE_MS, World},
};
use hibiscusroad_standins::direct::ExecutedRequest;
use serde_json::Value;
use std::{
    collections::{BTreeMap, HashSet},
    fmt::Write,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Broken promises that are kept; one cause breaks many.
const MOST: usize = 20;
/// Events of a text.
const EVENTS: usize = 20;

#[derive(Debug, Default)]
struct Seen {
    broken: Vec<String>,
    counts: BTreeMap<&'static str, usize>,
    /// Once-only requests that were told "not run".
    refused: HashSet<String>,
    trace: Vec<(Duration, String)>,
}

/// Gathers what clients see. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct Check {
    seen: Arc<Mutex<Seen>>,
}

/// How a soak ended.
#[derive(Debug)]
pub struct Found {
    broken: Vec<String>,
    counts: BTreeMap<&'static str, usize>,
    trace: Vec<(Duration, String)>,
    /// Where the logs are, if a promise was broken.
    logs: Option<PathBuf>,
}

impl Found {
    /// Says whether no promise was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.broken.is_empty()
    }

    /// Returns how often something was counted.
    #[must_use]
    pub fn count(&self, what: &str) -> usize {
        self.counts.get(what).copied().unwrap_or(0)
    }

    /// Tells everything, the faults too if a promise was broken.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        for broken in &self.broken {
            let _ = writeln!(out, "BROKEN: {broken}");
        }
        for (at, fault) in self.trace.iter().filter(|_| !self.is_clean()) {
            let _ = writeln!(out, "# {:.2} s {fault}", at.as_secs_f64());
        }
        if let Some(logs) = &self.logs {
            let _ = writeln!(out, "# logs are in {}", logs.display());
        }
        let counts = self.counts.iter().map(|(name, n)| format!("{name}={n}"));
        let counts: Vec<String> = counts.collect();
        let _ = writeln!(out, "broken={} {}", self.broken.len(), counts.join(" "));
        out
    }
}

impl Check {
    pub(super) fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn broke(&self, what: &str) {
        let mut seen = self.lock();
        if seen.broken.len() < MOST {
            seen.broken.push(what.to_owned());
        }
    }

    pub(super) fn count(&self, what: &'static str) {
        *self.lock().counts.entry(what).or_default() += 1;
    }

    pub(super) fn refused(&self, id: &str) {
        if id.starts_with("once-") {
            self.lock().refused.insert(id.to_owned());
        }
    }

    pub(super) fn note(&self, at: Duration, fault: String) {
        self.lock().trace.push((at, fault));
    }

    /// Checks one result of a batch whose floor is `floor`.
    pub(super) fn result(&self, batch: &str, result: &Value, floor: u64) {
        let id = result["id"].as_str().unwrap_or_default();
        if !id.starts_with(&format!("{batch}-")) {
            return self.broke(&format!("{batch} has a result of {id}"));
        }
        if result["state"] != "completed" {
            return self.broke(&format!("{id} is errored without a cause"));
        }
        let lines: Vec<String> = (1..=EVENTS).map(|n| format!("{id}-{n}")).collect();
        if result["text"] != lines.join("\n") {
            self.broke(&format!("the text of {id} isn't whole"));
        }
        if result["score"] != format!("stamp-score-{id}") {
            self.broke(&format!("{id} has another's score"));
        }
        let versions = result["versions"].as_array().cloned().unwrap_or_default();
        let fresh = |version: &Value| version.as_u64().is_some_and(|v| v >= floor);
        if versions.is_empty() || !versions.iter().all(fresh) {
            self.broke(&format!(
                "{id} is of versions {versions:?}, the floor is {floor}"
            ));
        }
    }

    pub(super) fn close(self, world: &mut World) -> Found {
        if world.ended > 0 {
            self.broke(&format!("{} processes ended by themselves", world.ended));
        }
        let seen = std::mem::take(&mut *self.lock());
        let logs = (!seen.broken.is_empty()).then(|| world.folder().to_owned());
        if logs.is_none()
            && let Err(error) = std::fs::remove_dir_all(world.folder())
        {
            eprintln!("measure: {}: {error}", world.folder().display());
        }
        Found {
            broken: seen.broken,
            counts: seen.counts,
            trace: seen.trace,
            logs,
        }
    }
}

/// Checks that no window was reported with two contents, nor by holders that mix.
pub(super) fn reports(check: &Check, world: &World) {
    for violation in world.billing.violations(Duration::from_millis(LEASE_MS)) {
        check.broke(&violation);
    }
    for _ in world.billing.accepted_reports() {
        check.count("reports");
    }
}

/// Checks for which account endpoints ran a request, and that they saw no key.
fn account(check: &Check, ran: &ExecutedRequest) {
    let expected = match ran.id.split_once('-') {
        Some(("crash" | "desk" | "once", _)) => Some(CALLERS),
        Some(("score", _)) => None,
        Some((model, _)) => Some(model),
        None => return,
    };
    if ran.account.as_deref() != expected {
        check.broke(&format!("{} ran for {:?}", ran.id, ran.account));
    }
    if ran.has_authorization {
        check.broke(&format!("{} was passed on with its key", ran.id));
    }
}

/// Checks what endpoints saw: accounts, once-only requests, and who gave orders.
pub(super) fn endpoints(check: &Check, world: &World) {
    let all = world.ran();
    for ran in &all {
        account(check, ran);
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for ran in all.into_iter().filter(|ran| ran.id.starts_with("once-")) {
        *runs.entry(ran.id).or_default() += 1;
    }
    let refused = check.lock().refused.clone();
    for (id, n) in &runs {
        if *n > 1 {
            check.broke(&format!("{id} ran {n} times"));
        }
        if refused.contains(id) {
            check.broke(&format!("{id} ran and was told that it did not"));
        }
    }
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for endpoint in &world.endpoints[DESKS..ENDPOINTS] {
        let mut last = 0;
        for (holder, fence) in endpoint.order_holders() {
            let known = holders.entry(fence).or_insert_with(|| holder.clone());
            if *known != holder {
                check.broke(&format!(
                    "{known} and {holder} gave orders with number {fence}"
                ));
            }
            if fence < last {
                check.broke(&format!("number {fence} came after {last}"));
            }
            last = fence;
        }
    }
}
