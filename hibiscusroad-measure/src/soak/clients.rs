//! Callers and trainers that check the answers they receive.

use super::{
    check::Check,
    keys::{self, Keys},
    stranded::Steps,
    world::{CRASH_MARKER, HOSTNAME, MODELS, World},
};
use hibiscusroad_standins::direct::Store;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use ureq::Agent;

/// Deadline that requests state.
const REQUEST_DEADLINE: Duration = Duration::from_millis(2_500);
/// Time after which a client gives up; longer than the deadline, to receive late answers.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Limit on the time for each phase of a step: submission, reading and deletion.
const STEP_TIMEOUT: Duration = Duration::from_mins(1);

/// How the steps of a trainer look.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepShape {
    pub(super) groups: usize,
    pub(super) group_size: usize,
    /// Complete groups with which the trainer goes on. The others are carried over.
    pub(super) target_groups: usize,
}

/// A group of items, which keeps its ids when it is carried over.
#[derive(Clone, Debug)]
struct Group {
    name: String,
    items: Vec<String>,
}

struct Answer {
    status: u16,
    id: String,
    stamp: String,
    body: Vec<u8>,
}

impl Answer {
    fn is_quarantined(&self) -> bool {
        String::from_utf8_lossy(&self.body).contains("\"quarantined\"")
    }
}

/// Sends each request to a random gateway.
struct Client {
    gateways: Vec<SocketAddr>,
    rng: Pcg64,
    check: Check,
    stopped: Arc<AtomicBool>,
    agent: Agent,
}

impl Client {
    fn new(world: &World, seed: u64, check: &Check, stopped: &Arc<AtomicBool>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CLIENT_TIMEOUT));
        Self {
            gateways: world.caller_addrs.clone(),
            rng: Pcg64::seed_from_u64(seed),
            check: check.clone(),
            stopped: Arc::clone(stopped),
            agent: config.build().new_agent(),
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Sends a request; returns `None` if no complete answer was received.
    fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        key: &str,
        body: &[u8],
    ) -> Option<Answer> {
        let gateway = self.gateways[self.rng.random_range(0..self.gateways.len())];
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{gateway}{path}"))
            .header("Host", HOSTNAME)
            .header("X-Request-Id", id)
            .header("Authorization", format!("Bearer {key}"))
            .header("X-Tenant", "somebody")
            .header("X-Deadline-Ms", REQUEST_DEADLINE.as_millis().to_string())
            .body(body.to_vec())
            .ok()?;
        let mut response = self.agent.run(request).ok()?;
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
        };
        Some(Answer {
            status: response.status().as_u16(),
            id: header("x-request-id"),
            stamp: header("x-server-stamp"),
            body: response.body_mut().read_to_vec().ok()?,
        })
    }
}

/// An interactive caller of the idempotent and the non-idempotent route.
pub(super) struct Caller {
    client: Client,
    keys: Keys,
    index: usize,
}

impl Caller {
    pub(super) fn new(
        world: &World,
        index: usize,
        seed: u64,
        check: &Check,
        stopped: &Arc<AtomicBool>,
    ) -> Self {
        let client = Client::new(world, seed ^ (index as u64 + 1) << 32, check, stopped);
        let keys = world.keys.clone();
        Self {
            client,
            keys,
            index,
        }
    }

    pub(super) fn run(mut self) {
        let mut seq = 0;
        while !self.client.is_stopped() {
            seq += 1;
            let is_non_idempotent = self.client.rng.random_bool(0.3);
            let kind = if is_non_idempotent { "once" } else { "desk" };
            let id = format!("{kind}-{}-{seq}", self.index);
            let start = Instant::now();
            let key = self.keys.presented();
            // Sometimes presents the key that was removed last.
            let use_removed = key > 0 && self.client.rng.random_bool(0.08);
            let key = if use_removed { key - 1 } else { key };
            let answer = self.client.send(
                "POST",
                &format!("/{kind}/x"),
                &id,
                &keys::key_value(key),
                id.as_bytes(),
            );
            if use_removed {
                self.check_removed_key(&id, key, answer.as_ref());
            } else {
                self.check_answer(&id, key, answer.as_ref(), start.elapsed());
            }
            let pause = self.client.rng.random_range(5..60);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Checks the answer to a request with a removed key.
    fn check_removed_key(&self, id: &str, key: usize, answer: Option<&Answer>) {
        let check = &self.client.check;
        let Some(answer) = answer else { return };
        if (200..300).contains(&answer.status) && self.keys.is_revoked(key) {
            check.record_violation(&format!("{id} was answered for a key that is long gone"));
        }
        match answer.status {
            401 => check.count("old keys refused"),
            429 | 503 => check.record_not_run(id),
            _ => {}
        }
    }

    fn check_answer(&self, id: &str, key: usize, answer: Option<&Answer>, elapsed: Duration) {
        let check = &self.client.check;
        let Some(answer) = answer else {
            return check.count("cut or late");
        };
        if (200..300).contains(&answer.status) {
            let is_complete = answer.body.ends_with(format!(" answers {id}").as_bytes());
            if answer.id != id || answer.stamp != format!("stamp-{id}") || !is_complete {
                check.record_violation(&format!("{id} got an answer that isn't its own whole one"));
            }
            return check.count("answered");
        }
        if answer.is_quarantined() {
            check.record_violation(&format!(
                "{id} was refused for crashes that it has no part in"
            ));
        }
        match answer.status {
            429 | 503 | 408 | 421 => check.record_not_run(id),
            404 => check.record_violation(&format!("{id} was denied a route that there is")),
            401 if self.keys.is_active(key) => {
                check.record_violation(&format!("{id} was denied with a key that is in force"));
            }
            _ => {}
        }
        // Late refusals are counted only: a frozen process answers after it is thawed.
        if elapsed > REQUEST_DEADLINE + Duration::from_secs(1) {
            check.count("refused late");
        }
        check.count("refused");
    }
}

/// Repeats a request that crashes each plain endpoint that runs it.
pub(super) struct Crasher {
    client: Client,
    keys: Keys,
}

impl Crasher {
    pub(super) fn new(world: &World, seed: u64, check: &Check, stopped: &Arc<AtomicBool>) -> Self {
        let client = Client::new(world, seed ^ 77 << 32, check, stopped);
        let keys = world.keys.clone();
        Self { client, keys }
    }

    pub(super) fn run(mut self) {
        let mut seq = 0;
        while !self.client.is_stopped() {
            seq += 1;
            let id = format!("crash-{seq}");
            let key = keys::key_value(self.keys.presented());
            let answer = self.client.send("POST", "/desk/x", &id, &key, CRASH_MARKER);
            if answer.is_some_and(|answer| answer.is_quarantined()) {
                self.client.check.count("quarantined");
            }
            let pause = self.client.rng.random_range(100..400);
            thread::sleep(Duration::from_millis(pause));
        }
    }
}

/// Submits batches one after the other and reads all results of each.
pub(super) struct Trainer {
    client: Client,
    store: Arc<Store>,
    model: &'static str,
    step: u64,
    shape: StepShape,
    /// Groups of the present step, those first that were carried over.
    groups: Vec<Group>,
    /// How many groups were carried over.
    carried: usize,
    steps: Steps,
}

impl Trainer {
    pub(super) fn new(
        world: &World,
        n: usize,
        seed: u64,
        check: &Check,
        stopped: &Arc<AtomicBool>,
        shape: StepShape,
        steps: &Steps,
    ) -> Self {
        let client = Client::new(world, seed ^ (n as u64 + 99) << 32, check, stopped);
        Self {
            client,
            store: Arc::clone(&world.store),
            model: MODELS[n % MODELS.len()],
            step: 1,
            shape,
            groups: Vec::new(),
            carried: 0,
            steps: steps.clone(),
        }
    }

    pub(super) fn run(mut self) {
        while !self.client.is_stopped() {
            let id = format!("{}-{}", self.model, self.step);
            self.add_groups();
            if !self.submit(&id) {
                return;
            }
            let items = self.item_ids().map(str::to_owned).collect();
            self.steps.record_accepted(&id, self.model, items);
            let complete = self.read_results(&id);
            self.steps.record_ended(&id);
            self.client.check.count(match complete {
                Some(_) => "steps",
                None => "steps lost",
            });
            self.delete(&id);
            self.carry_over(&complete.unwrap_or_default());
            self.step += 1;
            let announcement = json!({ "model": self.model, "version": self.step });
            self.steps.record_naming();
            self.store
                .put_json("op", &format!("version/{}", self.model), &announcement);
        }
    }

    fn item_ids(&self) -> impl Iterator<Item = &str> {
        let items = self.groups.iter().flat_map(|group| &group.items);
        items.map(String::as_str)
    }

    /// Adds new groups to those that were carried over.
    fn add_groups(&mut self) {
        self.carried = self.groups.len();
        let prefix = format!("{}-{}", self.model, self.step);
        for group in 0..self.shape.groups - self.carried {
            let items = 0..self.shape.group_size;
            self.groups.push(Group {
                name: format!("{}-{group}", self.step),
                items: items.map(|n| format!("{prefix}-{group}-{n}")).collect(),
            });
        }
    }

    /// Keeps the groups that are not complete, up to half of those that a step waits for.
    fn carry_over(&mut self, listed: &BTreeSet<String>) {
        let is_open = |group: &Group| !group.items.iter().all(|item| listed.contains(item));
        self.groups.retain(is_open);
        self.groups.truncate(self.shape.target_groups / 2);
        for _ in &self.groups {
            self.client.check.count("groups carried over");
        }
    }

    /// Returns whether the trainer can go on: enough groups are complete, and all that were
    /// carried over.
    fn is_satisfied(&self, listed: &BTreeSet<String>) -> bool {
        let is_complete = |group: &&Group| group.items.iter().all(|item| listed.contains(item));
        let complete = self.groups.iter().filter(is_complete).count();
        let carried = &self.groups[..self.carried];
        complete >= self.shape.target_groups && carried.iter().all(|group| is_complete(&group))
    }

    fn submission(&self) -> Value {
        let mut items = Vec::new();
        for group in &self.groups {
            for id in &group.items {
                items.push(json!({ "id": id, "path": format!("/lm/{id}"),
                    "headers": { "X-Model": self.model, "X-Token-Counts": "20,400" },
                    "body": "q83v", "tokens": 420, "group": group.name,
                    "scorer": { "id": format!("score-{id}"), "hostname": HOSTNAME,
                        "path": "/desk/score", "body": "3q2+" } }));
            }
        }
        json!({ "step": self.step, "model": self.model, "targetGroups": self.shape.target_groups,
            "minVersion": self.step.saturating_sub(1).max(1), "requests": items })
    }

    fn submit(&mut self, id: &str) -> bool {
        let body = self.submission().to_string();
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            let answer = self
                .client
                .send("POST", "/lm/step", id, self.model, body.as_bytes());
            match answer.map(|answer| answer.status) {
                Some(202) => return true,
                Some(400 | 401 | 404) => self
                    .client
                    .check
                    .record_violation(&format!("{id} was denied")),
                _ => {}
            }
            thread::sleep(Duration::from_millis(150));
        }
        self.client
            .check
            .record_violation(&format!("{id} was never accepted"));
        false
    }

    /// Reads until the trainer can go on, and checks that positions never change. Returns the
    /// listed items, or `None` if that takes too long.
    fn read_results(&mut self, id: &str) -> Option<BTreeSet<String>> {
        let items: Vec<String> = self.item_ids().map(str::to_owned).collect();
        let mut listed: BTreeMap<usize, Value> = BTreeMap::new();
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let ids = listed.values().filter_map(|result| result["id"].as_str());
            let ids: BTreeSet<String> = ids.map(str::to_owned).collect();
            if self.is_satisfied(&ids) {
                return Some(ids);
            }
            if Instant::now() > deadline {
                self.client
                    .check
                    .record_violation(&format!("{id} has {} results at its end", listed.len()));
                return None;
            }
            // Sometimes reads again from an earlier position.
            let next = listed.len();
            let after = match self.client.rng.random_range(0..4) {
                0 => self.client.rng.random_range(0..=next),
                _ => next,
            };
            let path = format!("/lots/{id}?after={after}");
            let answer = self.client.send("GET", &path, "reader", self.model, b"");
            self.check_page(id, &items, after, answer, &mut listed);
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn check_page(
        &self,
        id: &str,
        items: &[String],
        after: usize,
        answer: Option<Answer>,
        listed: &mut BTreeMap<usize, Value>,
    ) {
        let check = &self.client.check;
        let Some(answer) = answer else { return };
        if matches!(answer.status, 401 | 404 | 410) {
            return check.record_violation(&format!("{id} was accepted and is denied"));
        }
        let body = serde_json::from_slice::<Value>(&answer.body);
        let (200, Ok(body)) = (answer.status, body) else {
            return;
        };
        let results = body["results"].as_array().cloned().unwrap_or_default();
        for (n, result) in results.into_iter().enumerate() {
            check.check_result(id, items, &result, self.step.saturating_sub(1).max(1));
            self.steps
                .record_listed(id, result["id"].as_str().unwrap_or_default());
            match listed.insert(after + n, result.clone()) {
                Some(previous) if previous != result => {
                    check.record_violation(&format!("{id} has another result at {}", after + n));
                }
                _ => {}
            }
        }
        let mut ids: Vec<&str> = listed.values().filter_map(|r| r["id"].as_str()).collect();
        ids.sort_unstable();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            check.record_violation(&format!("{id} has an item at two positions"));
        }
    }

    fn delete(&mut self, id: &str) {
        let path = format!("/lots/{id}");
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            let answer = self.client.send("DELETE", &path, "end", self.model, b"");
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(150));
        }
        self.client
            .check
            .record_violation(&format!("{id} could not be ended"));
    }
}
