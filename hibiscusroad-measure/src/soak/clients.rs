//! Callers and trainers, who check what they get.

use super::{
    check::Check,
    keys::{self, Keys},
    world::{CRASHING, HOST, MODELS, World},
};
use hibiscusroad_standins::direct::Store;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use ureq::Agent;

/// A caller waits so long, and somewhat longer for an answer on its way.
const DEADLINE: Duration = Duration::from_millis(2_500);
const PATIENCE: Duration = Duration::from_secs(4);
/// A step that isn't whole by then after the faults never will be.
const STEP: Duration = Duration::from_mins(1);
const GROUPS: usize = 3;
const SIZE: usize = 3;

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

/// One who sends requests to gateways at random.
struct Client {
    gateways: Vec<SocketAddr>,
    rng: Pcg64,
    check: Check,
    over: Arc<AtomicBool>,
    agent: Agent,
}

impl Client {
    fn new(world: &World, seed: u64, check: &Check, over: &Arc<AtomicBool>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(PATIENCE));
        Self {
            gateways: world.callers.clone(),
            rng: Pcg64::seed_from_u64(seed),
            check: check.clone(),
            over: Arc::clone(over),
            agent: config.build().new_agent(),
        }
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Acquire)
    }

    /// Asks any gateway; `None` if no whole answer came.
    fn ask(
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
            .header("Host", HOST)
            .header("X-Request-Id", id)
            .header("Authorization", format!("Bearer {key}"))
            .header("X-Tenant", "somebody")
            .header("X-Deadline-Ms", DEADLINE.as_millis().to_string())
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

/// A parent, a vacuum: lookups, and bookings that must not run twice.
pub(super) struct Caller {
    client: Client,
    keys: Keys,
    n: usize,
}

impl Caller {
    pub(super) fn new(
        world: &World,
        n: usize,
        seed: u64,
        check: &Check,
        over: &Arc<AtomicBool>,
    ) -> Self {
        let client = Client::new(world, seed ^ (n as u64 + 1) << 32, check, over);
        let keys = world.keys.clone();
        Self { client, keys, n }
    }

    pub(super) fn run(mut self) {
        let mut seq = 0;
        while !self.client.is_over() {
            seq += 1;
            let once = self.client.rng.random_bool(0.3);
            let kind = if once { "once" } else { "desk" };
            let id = format!("{kind}-{}-{seq}", self.n);
            let start = Instant::now();
            let shown = self.keys.shown();
            // Now and then the key that was taken away last.
            let old = shown > 0 && self.client.rng.random_bool(0.08);
            let shown = if old { shown - 1 } else { shown };
            let answer = self.client.ask(
                "POST",
                &format!("/{kind}/x"),
                &id,
                &keys::text(shown),
                id.as_bytes(),
            );
            if old {
                self.judge_old(&id, shown, answer.as_ref());
            } else {
                self.judge(&id, shown, answer.as_ref(), start.elapsed());
            }
            let pause = self.client.rng.random_range(5..60);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Judges the answer to a request with a key that was taken away.
    fn judge_old(&self, id: &str, key: usize, answer: Option<&Answer>) {
        let check = &self.client.check;
        let Some(answer) = answer else { return };
        if (200..300).contains(&answer.status) && self.keys.is_gone(key) {
            check.broke(&format!("{id} was answered for a key that is long gone"));
        }
        match answer.status {
            401 => check.count("old keys refused"),
            429 | 503 => check.refused(id),
            _ => {}
        }
    }

    fn judge(&self, id: &str, key: usize, answer: Option<&Answer>, took: Duration) {
        let check = &self.client.check;
        let Some(answer) = answer else {
            return check.count("cut or late");
        };
        if (200..300).contains(&answer.status) {
            let whole = answer.body.ends_with(format!(" answers {id}").as_bytes());
            if answer.id != id || answer.stamp != format!("stamp-{id}") || !whole {
                check.broke(&format!("{id} got an answer that isn't its own whole one"));
            }
            return check.count("answered");
        }
        if answer.is_quarantined() {
            check.broke(&format!(
                "{id} was refused for crashes that it has no part in"
            ));
        }
        match answer.status {
            429 | 503 | 408 | 421 => check.refused(id),
            404 => check.broke(&format!("{id} was denied a route that there is")),
            401 if self.keys.holds(key) => {
                check.broke(&format!("{id} was denied with a key that is in force"));
            }
            _ => {}
        }
        // Frozen processes answer when they go on; those can't know better.
        if took > DEADLINE + Duration::from_secs(1) {
            check.count("refused late");
        }
        check.count("refused");
    }
}

/// One whose request crashes each endpoint that runs it, and who repeats it.
pub(super) struct Crasher {
    client: Client,
    keys: Keys,
}

impl Crasher {
    pub(super) fn new(world: &World, seed: u64, check: &Check, over: &Arc<AtomicBool>) -> Self {
        let client = Client::new(world, seed ^ 77 << 32, check, over);
        let keys = world.keys.clone();
        Self { client, keys }
    }

    pub(super) fn run(mut self) {
        let mut seq = 0;
        while !self.client.is_over() {
            seq += 1;
            let id = format!("crash-{seq}");
            let key = keys::text(self.keys.shown());
            let answer = self.client.ask("POST", "/desk/x", &id, &key, CRASHING);
            if answer.is_some_and(|answer| answer.is_quarantined()) {
                self.client.check.count("quarantined");
            }
            let pause = self.client.rng.random_range(100..400);
            thread::sleep(Duration::from_millis(pause));
        }
    }
}

/// A trainer: one batch after the other, each read to its end.
pub(super) struct Trainer {
    client: Client,
    store: Arc<Store>,
    model: &'static str,
    step: u64,
}

impl Trainer {
    pub(super) fn new(
        world: &World,
        n: usize,
        seed: u64,
        check: &Check,
        over: &Arc<AtomicBool>,
    ) -> Self {
        let client = Client::new(world, seed ^ (n as u64 + 99) << 32, check, over);
        Self {
            client,
            store: Arc::clone(&world.store),
            model: MODELS[n % MODELS.len()],
            step: 1,
        }
    }

    pub(super) fn run(mut self) {
        while !self.client.is_over() {
            let id = format!("{}-{}", self.model, self.step);
            if !self.submit(&id) {
                return;
            }
            let whole = self.read(&id);
            self.client
                .check
                .count(if whole { "steps" } else { "steps lost" });
            self.end(&id);
            self.step += 1;
            let named = json!({ "model": self.model, "version": self.step });
            self.store
                .put_json("op", &format!("version/{}", self.model), &named);
        }
    }

    fn submission(&self) -> Value {
        let mut items = Vec::new();
        for group in 0..GROUPS {
            for n in 0..SIZE {
                let id = format!("{}-{}-{group}-{n}", self.model, self.step);
                items.push(json!({ "id": id, "path": format!("/lm/{id}"),
                    "headers": { "X-Model": self.model, "X-Token-Counts": "20,400" },
                    "body": "q83v", "tokens": 420, "group": format!("{group}"),
                    "scorer": { "id": format!("score-{id}"), "hostname": HOST,
                        "path": "/desk/score", "body": "3q2+" } }));
            }
        }
        json!({ "step": self.step, "model": self.model, "targetGroups": GROUPS,
            "minVersion": self.step.saturating_sub(1).max(1), "requests": items })
    }

    fn submit(&mut self, id: &str) -> bool {
        let body = self.submission().to_string();
        let end = Instant::now() + STEP;
        while Instant::now() < end {
            let answer = self
                .client
                .ask("POST", "/lm/step", id, self.model, body.as_bytes());
            match answer.map(|answer| answer.status) {
                Some(202) => return true,
                Some(400 | 401 | 404) => self.client.check.broke(&format!("{id} was denied")),
                _ => {}
            }
            thread::sleep(Duration::from_millis(150));
        }
        self.client.check.broke(&format!("{id} was never accepted"));
        false
    }

    /// Reads until every item is listed; positions must never change.
    fn read(&mut self, id: &str) -> bool {
        let mut listed: BTreeMap<usize, Value> = BTreeMap::new();
        let end = Instant::now() + STEP;
        while listed.len() < GROUPS * SIZE {
            if Instant::now() > end {
                self.client
                    .check
                    .broke(&format!("{id} has {} results at its end", listed.len()));
                return false;
            }
            // Now and then from an earlier position.
            let next = listed.len();
            let after = match self.client.rng.random_range(0..4) {
                0 => self.client.rng.random_range(0..=next),
                _ => next,
            };
            let path = format!("/lots/{id}?after={after}");
            let answer = self.client.ask("GET", &path, "reader", self.model, b"");
            self.take(id, after, answer, &mut listed);
            thread::sleep(Duration::from_millis(100));
        }
        true
    }

    fn take(
        &self,
        id: &str,
        after: usize,
        answer: Option<Answer>,
        listed: &mut BTreeMap<usize, Value>,
    ) {
        let check = &self.client.check;
        let Some(answer) = answer else { return };
        if matches!(answer.status, 401 | 404 | 410) {
            return check.broke(&format!("{id} was accepted and is denied"));
        }
        let body = serde_json::from_slice::<Value>(&answer.body);
        let (200, Ok(body)) = (answer.status, body) else {
            return;
        };
        let results = body["results"].as_array().cloned().unwrap_or_default();
        for (n, result) in results.into_iter().enumerate() {
            check.result(id, &result, self.step.saturating_sub(1).max(1));
            match listed.insert(after + n, result.clone()) {
                Some(before) if before != result => {
                    check.broke(&format!("{id} has another result at {}", after + n));
                }
                _ => {}
            }
        }
        let mut ids: Vec<&str> = listed.values().filter_map(|r| r["id"].as_str()).collect();
        ids.sort_unstable();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            check.broke(&format!("{id} has an item at two positions"));
        }
    }

    fn end(&mut self, id: &str) {
        let path = format!("/lots/{id}");
        let end = Instant::now() + STEP;
        while Instant::now() < end {
            let answer = self.client.ask("DELETE", &path, "end", self.model, b"");
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(150));
        }
        self.client.check.broke(&format!("{id} could not be ended"));
    }
}
