//! Continuous batching: one token for each sequence of the batch a step.

use super::{Faults, Load, Settings, cache::Cache, text};
use flume::{Receiver, Sender};
use std::{
    collections::VecDeque,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

// How often the load is noted when there is no step.
const IDLE: Duration = Duration::from_millis(20);
const LOADS: usize = 4096;

/// One token, or the prompt read if `index` is none.
#[derive(Clone, Debug)]
pub struct Token {
    /// Its place in the answer.
    pub index: u64,
    /// The weight version that produced it.
    pub version: Arc<str>,
    /// Tokens of the prompt that the cache spared.
    pub cached: u64,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The prompt.
    pub prompt: String,
    /// The first token to generate.
    pub from: u64,
    /// The token after the last.
    pub to: u64,
    /// Lower ones come first.
    pub priority: i64,
}

#[derive(Debug)]
struct Sequence {
    priority: i64,
    arrival: u64,
    prompt: String,
    unread: u64,
    cached: u64,
    next: u64,
    end: u64,
    tokens: Sender<Token>,
}

#[derive(Debug)]
struct Inner {
    queue: Vec<Sequence>,
    batch: Vec<Sequence>,
    cache: Cache,
    version: Arc<str>,
    faults: Faults,
    swapping: bool,
    stopping: bool,
    arrivals: u64,
    generated: u64,
    loads: VecDeque<(Instant, Load)>,
}

/// The sequences of an engine and the thread that runs them.
#[derive(Debug)]
pub struct Batch {
    settings: Settings,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Batch {
    /// Starts a batch.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no thread can be started.
    pub fn start(settings: Settings) -> std::io::Result<Arc<Self>> {
        let inner = Inner {
            queue: Vec::new(),
            batch: Vec::new(),
            cache: Cache::new(settings.cache),
            version: Arc::from(settings.version.as_str()),
            faults: Faults::default(),
            swapping: false,
            stopping: false,
            arrivals: 0,
            generated: 0,
            loads: VecDeque::new(),
        };
        let batch = Arc::new(Self {
            settings,
            inner: Mutex::new(inner),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&batch);
        thread::Builder::new()
            .name("batch".to_owned())
            .spawn(move || while shared.turn() {})?;
        Ok(batch)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a request. Its tokens come through the channel, which closes
    /// after the last; dropping the receiver cancels it.
    pub fn add(&self, ask: Ask) -> Receiver<Token> {
        let (tokens, receiver) = flume::unbounded();
        let mut inner = self.lock();
        inner.arrivals += 1;
        let arrival = inner.arrivals;
        inner.queue.push(Sequence {
            priority: ask.priority,
            arrival,
            unread: text::count(&ask.prompt) + ask.from,
            prompt: ask.prompt,
            cached: 0,
            next: ask.from,
            end: ask.to,
            tokens,
        });
        inner.queue.sort_by_key(|s| (s.priority, s.arrival));
        drop(inner);
        self.changed.notify_all();
        receiver
    }

    /// Returns the load as it was the settings' lag ago.
    #[must_use]
    pub fn load(&self) -> Load {
        let inner = self.lock();
        let now = Instant::now();
        let old = |at: &Instant| now.saturating_duration_since(*at) >= self.settings.lag;
        let seen = inner.loads.iter().rev().find(|(at, _)| old(at));
        let (at, mut load) = match seen {
            Some((at, load)) => (*at, load.clone()),
            None => (now, inner.load(&self.settings)),
        };
        let age = now.saturating_duration_since(at).as_millis();
        load.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        load
    }

    /// Returns the version that generates now.
    #[must_use]
    pub fn version(&self) -> Arc<str> {
        Arc::clone(&self.lock().version)
    }

    /// Holds all sequences back while another version is loaded.
    pub fn set_swapping(&self, swapping: bool) {
        self.lock().swapping = swapping;
        self.changed.notify_all();
    }

    /// Changes the version, and forgets what the old one cached.
    pub fn set_version(&self, version: &str) {
        let mut inner = self.lock();
        inner.version = Arc::from(version);
        inner.cache.clear();
    }

    /// Returns the faults that are on.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_all();
    }

    /// Loses all sequences, the cache and the version, as a restart does.
    pub fn crash(&self) {
        let mut inner = self.lock();
        inner.queue.clear();
        inner.batch.clear();
        inner.cache.clear();
        inner.version = Arc::from(self.settings.version.as_str());
    }

    /// Ends the thread.
    pub fn stop(&self) {
        let mut inner = self.lock();
        inner.stopping = true;
        inner.queue.clear();
        inner.batch.clear();
        drop(inner);
        self.changed.notify_all();
    }

    // One step; false if there is no more.
    fn turn(&self) -> bool {
        let mut inner = self.lock();
        inner.note(&self.settings);
        if inner.stopping {
            return false;
        }
        inner.admit(&self.settings);
        if inner.batch.is_empty() || inner.swapping || inner.faults.stuck {
            // What the wait returns doesn't matter: the next turn looks again.
            drop(self.changed.wait_timeout(inner, IDLE));
            return true;
        }
        let ready = inner.read(self.settings.prompt);
        let time = inner.step_time(&self.settings);
        drop(inner);
        thread::sleep(time);
        self.lock().generate(&ready);
        true
    }
}

impl Inner {
    fn admit(&mut self, settings: &Settings) {
        self.queue.retain(|s| !s.tokens.is_disconnected());
        while self.batch.len() < settings.batch && !self.queue.is_empty() {
            let mut sequence = self.queue.remove(0);
            sequence.cached = self.cache.read(&sequence.prompt);
            sequence.unread -= sequence.cached.min(sequence.unread);
            self.batch.push(sequence);
        }
    }

    // Reads prompts within the step's budget; returns who generates in it.
    fn read(&mut self, mut budget: u64) -> Vec<u64> {
        let mut ready = Vec::new();
        for sequence in &mut self.batch {
            if sequence.unread == 0 {
                ready.push(sequence.arrival);
                continue;
            }
            let count = sequence.unread.min(budget);
            sequence.unread -= count;
            budget -= count;
        }
        ready
    }

    fn step_time(&self, settings: &Settings) -> Duration {
        let batch = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        let time = settings.step + settings.sequence * batch;
        time.mul_f64(self.faults.slow_factor.max(0.0))
    }

    fn generate(&mut self, ready: &[u64]) {
        let version = &self.version;
        let mut generated = 0;
        self.batch.retain_mut(|sequence| {
            if sequence.next >= sequence.end {
                return false;
            }
            if !ready.contains(&sequence.arrival) {
                return !sequence.tokens.is_disconnected();
            }
            let token = Token {
                index: sequence.next,
                version: Arc::clone(version),
                cached: sequence.cached,
            };
            sequence.next += 1;
            generated += 1;
            // A receiver that is gone has cancelled its request.
            sequence.tokens.send(token).is_ok() && sequence.next < sequence.end
        });
        self.generated += generated;
    }

    fn load(&self, settings: &Settings) -> Load {
        let all = self.queue.iter().chain(&self.batch);
        Load {
            running: self.batch.len(),
            queued: self.queue.len(),
            limit: settings.batch,
            tokens: all.map(|s| s.unread + s.end.saturating_sub(s.next)).sum(),
            cache_free: self.cache.free(),
            version: self.version.to_string(),
            generated: self.generated,
            age_ms: 0,
        }
    }

    fn note(&mut self, settings: &Settings) {
        let load = self.load(settings);
        self.loads.push_back((Instant::now(), load));
        if self.loads.len() > LOADS {
            self.loads.pop_front();
        }
    }
}
