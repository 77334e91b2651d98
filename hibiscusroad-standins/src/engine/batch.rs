//! Continuous batching: each step generates one token per sequence of the batch.

use super::{Faults, Load, Settings, cache::Cache, text};
use flume::{Receiver, Sender};
use std::{
    collections::VecDeque,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// The interval of load samples while no step runs.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);
const MAX_LOAD_SAMPLES: usize = 4096;

/// A generated token.
#[derive(Clone, Debug)]
pub struct Token {
    /// The token's index in the answer.
    pub index: u64,
    /// The weight version that produced it.
    pub version: Arc<str>,
    /// The number of prompt tokens found in the cache.
    pub cached: u64,
}

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct BatchRequest {
    /// The prompt.
    pub prompt: String,
    /// The index of the first token to generate.
    pub from: u64,
    /// The end of the generated tokens, exclusive.
    pub to: u64,
    /// The priority; lower values are scheduled first.
    pub priority: i64,
}

#[derive(Debug)]
struct Sequence {
    priority: i64,
    arrival: u64,
    prompt: String,
    /// Tokens to process before generation starts.
    unread_tokens: u64,
    cached: u64,
    next: u64,
    end: u64,
    tokens: Sender<Token>,
}

#[derive(Debug)]
struct Inner {
    queue: Vec<Sequence>,
    running: Vec<Sequence>,
    cache: Cache,
    version: Arc<str>,
    faults: Faults,
    swapping: bool,
    stopping: bool,
    arrivals: u64,
    generated: u64,
    load_samples: VecDeque<(Instant, Load)>,
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
    /// Returns an I/O error if the thread can't be started.
    pub fn start(settings: Settings) -> std::io::Result<Arc<Self>> {
        let inner = Inner {
            queue: Vec::new(),
            running: Vec::new(),
            cache: Cache::new(settings.cache_tokens),
            version: Arc::from(settings.version.as_str()),
            faults: Faults::default(),
            swapping: false,
            stopping: false,
            arrivals: 0,
            generated: 0,
            load_samples: VecDeque::new(),
        };
        let batch = Arc::new(Self {
            settings,
            inner: Mutex::new(inner),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&batch);
        thread::Builder::new()
            .name("batch".to_owned())
            .spawn(move || while shared.run_step() {})?;
        Ok(batch)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a request and returns the channel of its tokens.
    ///
    /// The channel closes after the last token. Dropping the receiver cancels the request.
    pub fn add(&self, request: BatchRequest) -> Receiver<Token> {
        let (tokens, rx) = flume::unbounded();
        let mut inner = self.lock();
        inner.arrivals += 1;
        let arrival = inner.arrivals;
        inner.queue.push(Sequence {
            priority: request.priority,
            arrival,
            unread_tokens: text::count(&request.prompt) + request.from,
            prompt: request.prompt,
            cached: 0,
            next: request.from,
            end: request.to,
            tokens,
        });
        inner.queue.sort_by_key(|s| (s.priority, s.arrival));
        drop(inner);
        self.changed.notify_all();
        rx
    }

    /// Returns the latest load sample that is at least `load_lag` old.
    #[must_use]
    pub fn load(&self) -> Load {
        let inner = self.lock();
        let now = Instant::now();
        let is_due = |at: &Instant| now.saturating_duration_since(*at) >= self.settings.load_lag;
        let sample = inner.load_samples.iter().rev().find(|(at, _)| is_due(at));
        let (at, mut load) = match sample {
            Some((at, load)) => (*at, load.clone()),
            None => (now, inner.load(&self.settings)),
        };
        let age = now.saturating_duration_since(at).as_millis();
        load.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        load
    }

    /// Returns the weight version in use.
    #[must_use]
    pub fn version(&self) -> Arc<str> {
        Arc::clone(&self.lock().version)
    }

    /// Pauses or resumes generation, for the time of a swap.
    pub fn set_swapping(&self, swapping: bool) {
        self.lock().swapping = swapping;
        self.changed.notify_all();
    }

    /// Changes the weight version and clears the prefix cache.
    pub fn set_version(&self, version: &str) {
        let mut inner = self.lock();
        inner.version = Arc::from(version);
        inner.cache.clear();
    }

    /// Returns the active faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_all();
    }

    /// Drops all sequences and the cache and resets the weight version, like a restart.
    pub fn crash(&self) {
        let mut inner = self.lock();
        inner.queue.clear();
        inner.running.clear();
        inner.cache.clear();
        inner.version = Arc::from(self.settings.version.as_str());
    }

    /// Drops all sequences and stops the thread.
    pub fn stop(&self) {
        let mut inner = self.lock();
        inner.stopping = true;
        inner.queue.clear();
        inner.running.clear();
        drop(inner);
        self.changed.notify_all();
    }

    /// Runs a step; returns false if the batch is stopped.
    fn run_step(&self) -> bool {
        let mut inner = self.lock();
        inner.sample_load(&self.settings);
        if inner.stopping {
            return false;
        }
        inner.admit(&self.settings);
        if inner.running.is_empty() || inner.swapping || inner.faults.stuck {
            // The next step checks the state again, whether or not the wait timed out.
            drop(self.changed.wait_timeout(inner, IDLE_INTERVAL));
            return true;
        }
        let ready = inner.process_prompts(self.settings.prompt_tokens);
        let duration = inner.step_time(&self.settings);
        drop(inner);
        thread::sleep(duration);
        self.lock().generate(&ready);
        true
    }
}

impl Inner {
    fn admit(&mut self, settings: &Settings) {
        self.queue.retain(|s| !s.tokens.is_disconnected());
        while self.running.len() < settings.max_batch && !self.queue.is_empty() {
            let mut sequence = self.queue.remove(0);
            sequence.cached = self.cache.lookup(&sequence.prompt);
            sequence.unread_tokens -= sequence.cached.min(sequence.unread_tokens);
            self.running.push(sequence);
        }
    }

    /// Processes prompts within the step's token budget; returns the arrival numbers of the
    /// sequences that are ready to generate.
    fn process_prompts(&mut self, mut budget: u64) -> Vec<u64> {
        let mut ready = Vec::new();
        for sequence in &mut self.running {
            if sequence.unread_tokens == 0 {
                ready.push(sequence.arrival);
                continue;
            }
            let count = sequence.unread_tokens.min(budget);
            sequence.unread_tokens -= count;
            budget -= count;
        }
        ready
    }

    fn step_time(&self, settings: &Settings) -> Duration {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let time = settings.step_time + settings.sequence_time * running;
        time.mul_f64(self.faults.slow_factor.max(0.0))
    }

    fn generate(&mut self, ready: &[u64]) {
        let version = &self.version;
        let mut generated = 0;
        self.running.retain_mut(|sequence| {
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
            // Sending fails if the request was cancelled.
            sequence.tokens.send(token).is_ok() && sequence.next < sequence.end
        });
        self.generated += generated;
    }

    fn load(&self, settings: &Settings) -> Load {
        let sequences = self.queue.iter().chain(&self.running);
        Load {
            running: self.running.len(),
            queued: self.queue.len(),
            limit: settings.max_batch,
            tokens: sequences
                .map(|s| s.unread_tokens + s.end.saturating_sub(s.next))
                .sum(),
            cache_free: self.cache.free_tokens(),
            version: self.version.to_string(),
            generated: self.generated,
            age_ms: 0,
        }
    }

    fn sample_load(&mut self, settings: &Settings) {
        let load = self.load(settings);
        self.load_samples.push_back((Instant::now(), load));
        if self.load_samples.len() > MAX_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
    }
}
