//! The event loop of the simulation, in virtual time.

use super::{
    balance::{
        Action, DATA_CENTRES, ENDPOINT_BROKEN, ENDPOINT_DOWN, Entry, Policy, SATURATED,
        SIDECAR_LIMIT,
    },
    endpoint::{AttemptId, Endpoint, State},
    scenario::{Fault, RetryPolicy, Scenario, Stream, Work},
    score::{Record, Score},
};
use hibiscusroad::{
    Incarnation, RequestId,
    route::{Call, LoadReport, Outcome},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

/// One-way network delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(250);
/// One-way network delay between data centres.
const REMOTE_DELAY: Duration = Duration::from_micros(1500);
/// Interval between load reports of an endpoint.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before an immediate retry.
const IMMEDIATE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of submissions of a call by its caller, including the first.
const MAX_SUBMISSIONS: u32 = 20;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive {
        stream: usize,
    },
    Retry {
        seq: u64,
    },
    EndpointReceive {
        attempt: AttemptId,
    },
    EndpointCancel {
        attempt: AttemptId,
    },
    Completion {
        endpoint: usize,
        version: u64,
    },
    Response {
        attempt: AttemptId,
        result: AttemptResult,
    },
    SendReport {
        endpoint: usize,
    },
    ReceiveReport {
        endpoint: usize,
        running: u32,
        queued: u32,
    },
    Tick {
        entry: usize,
    },
    InjectFault,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum AttemptResult {
    Answered,
    Saturated,
    EndpointDown,
    EndpointBroken,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    seq: u64,
    endpoint: usize,
    ended: bool,
}

struct Driver<'a> {
    scenario: &'a Scenario,
    epoch: Instant,
    now: Duration,
    rng: Pcg64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_seq: u64,
    entries: Vec<Entry>,
    timers: Vec<Option<Duration>>,
    endpoints: Vec<Endpoint>,
    records: Vec<Record>,
    attempts: Vec<Attempt>,
    active: HashMap<(u64, usize), AttemptId>,
    prefix_weights: Vec<Vec<f64>>,
}

/// Simulates a scenario under a policy.
#[must_use]
pub fn run_one(scenario: &Scenario, policy: Policy, seed: u64) -> Score {
    let mut driver = Driver::new(scenario, policy, seed);
    driver.run();
    let work_done: Vec<f64> = driver.endpoints.iter().map(|e| e.work_done).collect();
    let cache_hits = driver.endpoints.iter().map(|e| e.cache_hits).sum();
    let cache_lookups = driver.endpoints.iter().map(|e| e.cache_lookups).sum();
    Score::new(
        scenario,
        &driver.records,
        &work_done,
        (cache_hits, cache_lookups),
    )
}

impl<'a> Driver<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let epoch = Instant::now();
        let entry = |n: usize| {
            let data_centre = n % DATA_CENTRES.len();
            Entry::new(scenario, policy, seed + n as u64, data_centre, epoch)
        };
        let count = scenario.endpoints * DATA_CENTRES.len();
        let endpoint = |n: usize| Endpoint::new(n / scenario.endpoints, scenario.kind);
        Self {
            scenario,
            epoch,
            now: Duration::ZERO,
            rng: Pcg64::seed_from_u64(seed),
            events: BinaryHeap::new(),
            event_seq: 0,
            entries: (0..scenario.entries).map(entry).collect(),
            timers: vec![None; scenario.entries],
            endpoints: (0..count).map(endpoint).collect(),
            records: Vec::new(),
            attempts: Vec::new(),
            active: HashMap::new(),
            prefix_weights: scenario
                .streams
                .iter()
                .map(|s| cumulative_zipf_weights(s.prefixes))
                .collect(),
        }
    }

    fn run(&mut self) {
        for stream in 0..self.scenario.streams.len() {
            self.schedule(Duration::ZERO, Event::Arrive { stream });
        }
        for endpoint in 0..self.endpoints.len() {
            let first = REPORT_INTERVAL.mul_f64(endpoint as f64 / self.endpoints.len() as f64);
            self.schedule(first, Event::SendReport { endpoint });
        }
        if let Some((at, _)) = self.scenario.fault {
            self.schedule(at, Event::InjectFault);
        }
        // Run until the deadlines of all first submissions have passed.
        let timeout = self.scenario.streams.iter().map(|s| s.timeout).max();
        let end = self.scenario.window.1 + timeout.unwrap_or_default() + REMOTE_DELAY * 4;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_seq += 1;
        self.events.push(Reverse((at, self.event_seq, event)));
    }

    fn current_instant(&self) -> Instant {
        self.epoch + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { stream } => self.arrive(stream),
            Event::Retry { seq } => self.retry(seq),
            Event::EndpointReceive { attempt } => self.receive_call(attempt),
            Event::EndpointCancel { attempt } => {
                let endpoint = self.attempts[attempt_index(attempt)].endpoint;
                self.endpoints[endpoint].cancel(self.now, attempt);
                self.schedule_completion(endpoint);
            }
            Event::Completion { endpoint, version } => self.complete(endpoint, version),
            Event::Response { attempt, result } => self.handle_response(attempt, result),
            Event::SendReport { endpoint } => self.send_report(endpoint),
            Event::ReceiveReport {
                endpoint,
                running,
                queued,
            } => {
                self.receive_report(endpoint, running, queued);
            }
            Event::Tick { entry } => {
                if self.timers[entry] == Some(self.now) {
                    self.timers[entry] = None;
                    let now = self.current_instant();
                    self.entries[entry].tick(now);
                    self.apply_actions(entry);
                }
            }
            Event::InjectFault => self.inject_fault(),
        }
    }

    fn arrive(&mut self, stream_index: usize) {
        let stream = self.scenario.streams[stream_index];
        let slots = self.endpoints.len() as f64 * f64::from(self.scenario.kind.slots());
        let mut rate = stream.load * slots / stream.work.mean();
        if let Some((from, to, factor)) = self.scenario.burst
            && (from..to).contains(&self.now)
        {
            rate *= factor;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        // Cap the gap so that the rate is updated soon after a burst starts.
        let gap = Duration::from_secs_f64(gap.min(1.0));
        if self.now + gap < self.scenario.window.1 {
            self.schedule(
                self.now + gap,
                Event::Arrive {
                    stream: stream_index,
                },
            );
        }
        let work = self.sample_work(stream.work);
        let prefix = self.sample_prefix(stream_index);
        let entry = self.rng.random_range(0..self.entries.len());
        self.submit(Record::new(&stream, entry, self.now, work, prefix));
    }

    fn sample_work(&mut self, work: Work) -> f64 {
        let draw = self.rng.random::<f64>();
        match work {
            Work::Fixed(mean) => mean,
            Work::Exp(mean) => mean * -(1.0 - draw).ln(),
            Work::Mixed { short, share } => {
                if draw < share {
                    short * 100.0
                } else {
                    short
                }
            }
        }
    }

    fn sample_prefix(&mut self, stream: usize) -> Option<u64> {
        let weights = &self.prefix_weights[stream];
        let total = weights.last()?;
        let draw = self.rng.random::<f64>() * total;
        Some(weights.partition_point(|sum| *sum < draw) as u64)
    }

    fn submit(&mut self, record: Record) {
        let seq = self.records.len() as u64;
        self.records.push(record);
        let deadline = self.epoch + record.deadline;
        let now = self.current_instant();
        self.entries[record.entry].submit(now, |service| {
            let mut call =
                Call::new(id(seq), service, record.class, deadline).repeat(record.repeat);
            call.prefix = record.prefix;
            call
        });
        self.apply_actions(record.entry);
    }

    fn retry(&mut self, seq: u64) {
        let first = self.records[record_index(seq)];
        let mut next = first.retry(self.now);
        if self.scenario.retry_policy == RetryPolicy::RetryAfter {
            next.deadline = self.now + first.deadline.saturating_sub(first.arrived_at);
        }
        if next.deadline > self.now {
            self.submit(next);
        }
    }

    /// Applies the pending actions of the entry and schedules its next tick.
    fn apply_actions(&mut self, entry: usize) {
        while let Some(action) = self.entries[entry].next_action() {
            match action {
                Action::Start { seq, endpoint } => self.start(seq, endpoint),
                Action::Cancel { seq, endpoint } => self.cancel(seq, endpoint),
                Action::Refuse { seq, retry_after } => self.refuse(seq, retry_after),
            }
        }
        if let Some(due) = self.entries[entry].next_due() {
            let due = due.saturating_duration_since(self.epoch).max(self.now);
            if self.timers[entry].is_none_or(|timer| due < timer || timer < self.now) {
                self.timers[entry] = Some(due);
                self.schedule(due, Event::Tick { entry });
            }
        }
    }

    fn network_delay(&self, seq: u64, endpoint: usize) -> Duration {
        let data_centre = self.records[record_index(seq)].entry % DATA_CENTRES.len();
        if self.endpoints[endpoint].data_centre == data_centre {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        }
    }

    fn start(&mut self, seq: u64, endpoint: usize) {
        let attempt = self.attempts.len() as AttemptId;
        self.attempts.push(Attempt {
            seq,
            endpoint,
            ended: false,
        });
        self.records[record_index(seq)].attempts += 1;
        self.active.insert((seq, endpoint), attempt);
        let at = self.now + self.network_delay(seq, endpoint);
        self.schedule(at, Event::EndpointReceive { attempt });
    }

    fn cancel(&mut self, seq: u64, endpoint: usize) {
        if let Some(attempt) = self.active.remove(&(seq, endpoint)) {
            self.attempts[attempt_index(attempt)].ended = true;
            let at = self.now + self.network_delay(seq, endpoint);
            self.schedule(at, Event::EndpointCancel { attempt });
        }
    }

    fn refuse(&mut self, seq: u64, retry_after: Duration) {
        let now = self.now;
        let record = &mut self.records[record_index(seq)];
        record.refused_at = Some(now);
        let delay = match self.scenario.retry_policy {
            RetryPolicy::GiveUp => return,
            RetryPolicy::RetryImmediately => IMMEDIATE_RETRY_DELAY,
            RetryPolicy::RetryAfter => retry_after,
        };
        if record.submissions < MAX_SUBMISSIONS {
            self.schedule(now + delay, Event::Retry { seq });
        }
    }

    fn receive_call(&mut self, attempt: AttemptId) {
        let started = self.attempts[attempt_index(attempt)];
        let record = self.records[record_index(started.seq)];
        let endpoint = &mut self.endpoints[started.endpoint];
        let (running, queued) = endpoint.load();
        let enforces_limit = self.entries[record.entry].enforces_limit();
        let full = enforces_limit && running + queued >= SIDECAR_LIMIT as usize;
        let refused = match endpoint.state {
            State::Down => Some(AttemptResult::EndpointDown),
            State::Live if full => Some(AttemptResult::Saturated),
            State::Live | State::Stuck => None,
        };
        if let Some(result) = refused {
            let at = self.now + self.network_delay(started.seq, started.endpoint);
            self.schedule(at, Event::Response { attempt, result });
            return;
        }
        endpoint.push(self.now, attempt, record.work, record.prefix);
        self.schedule_completion(started.endpoint);
    }

    fn schedule_completion(&mut self, endpoint: usize) {
        let target = &self.endpoints[endpoint];
        let version = target.version;
        if let Some(at) = target.next_completion() {
            self.schedule(at.max(self.now), Event::Completion { endpoint, version });
        }
    }

    fn complete(&mut self, endpoint: usize, version: u64) {
        if self.endpoints[endpoint].version != version {
            return;
        }
        for attempt in self.endpoints[endpoint].take_completed(self.now) {
            let seq = self.attempts[attempt_index(attempt)].seq;
            let at = self.now + self.network_delay(seq, endpoint);
            let result = AttemptResult::Answered;
            self.schedule(at, Event::Response { attempt, result });
        }
        self.schedule_completion(endpoint);
    }

    fn handle_response(&mut self, attempt: AttemptId, result: AttemptResult) {
        let started = self.attempts[attempt_index(attempt)];
        if started.ended {
            return;
        }
        self.attempts[attempt_index(attempt)].ended = true;
        self.active.remove(&(started.seq, started.endpoint));
        let record = &mut self.records[record_index(started.seq)];
        let entry = record.entry;
        let outcome = match result {
            AttemptResult::Answered => {
                record.answered_at = record.answered_at.or(Some(self.now));
                Outcome::Answered
            }
            AttemptResult::Saturated => SATURATED,
            AttemptResult::EndpointDown => ENDPOINT_DOWN,
            AttemptResult::EndpointBroken => ENDPOINT_BROKEN,
        };
        let now = self.current_instant();
        self.entries[entry].finish(now, id(started.seq), started.endpoint, outcome);
        self.apply_actions(entry);
    }

    fn send_report(&mut self, endpoint: usize) {
        self.schedule(self.now + REPORT_INTERVAL, Event::SendReport { endpoint });
        let target = &self.endpoints[endpoint];
        let Some(lag) = self
            .scenario
            .report_delay
            .filter(|_| target.state == State::Live)
        else {
            return;
        };
        let (running, queued) = target.load();
        let event = Event::ReceiveReport {
            endpoint,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
        };
        self.schedule(self.now + lag, event);
    }

    fn receive_report(&mut self, endpoint: usize, running: u32, queued: u32) {
        let report = LoadReport {
            running,
            queued,
            age: self.scenario.report_delay.unwrap_or_default(),
            ..LoadReport::default()
        };
        let now = self.current_instant();
        for entry in 0..self.entries.len() {
            self.entries[entry].record_load(now, endpoint, report);
            self.apply_actions(entry);
        }
    }

    fn inject_fault(&mut self) {
        let Some((_, fault)) = self.scenario.fault else {
            return;
        };
        for endpoint in &mut self.endpoints {
            endpoint.advance(self.now);
        }
        match fault {
            Fault::Slow(speed) => self.endpoints[0].speed = speed,
            Fault::Stuck => self.endpoints[0].state = State::Stuck,
            Fault::DataCentreSilent => {
                let silent = self.endpoints.iter_mut().filter(|e| e.data_centre == 0);
                silent.for_each(|endpoint| endpoint.state = State::Stuck);
            }
            Fault::Down(count) => (0..count).for_each(|endpoint| self.crash(endpoint)),
        }
        for endpoint in 0..self.endpoints.len() {
            self.endpoints[endpoint].version += 1;
            self.schedule_completion(endpoint);
        }
    }

    fn crash(&mut self, endpoint: usize) {
        self.endpoints[endpoint].state = State::Down;
        for attempt in self.endpoints[endpoint].take_all() {
            let seq = self.attempts[attempt_index(attempt)].seq;
            let at = self.now + self.network_delay(seq, endpoint);
            let result = AttemptResult::EndpointBroken;
            self.schedule(at, Event::Response { attempt, result });
        }
    }
}

fn id(seq: u64) -> RequestId {
    RequestId {
        origin: Incarnation(1),
        seq,
    }
}

fn record_index(seq: u64) -> usize {
    usize::try_from(seq).expect("records fit in memory")
}

fn attempt_index(attempt: AttemptId) -> usize {
    usize::try_from(attempt).expect("attempts fit in memory")
}

/// Returns the cumulative sums of 1/n.
fn cumulative_zipf_weights(count: usize) -> Vec<f64> {
    (1..=count)
        .scan(0.0, |sum, n| {
            *sum += 1.0 / n as f64;
            Some(*sum)
        })
        .collect()
}

impl Record {
    fn new(stream: &Stream, entry: usize, now: Duration, work: f64, prefix: Option<u64>) -> Self {
        Self {
            entry,
            class: stream.class,
            repeat: stream.repeat,
            arrived_at: now,
            deadline: now + stream.timeout,
            work,
            prefix,
            attempts: 0,
            submissions: 1,
            answered_at: None,
            refused_at: None,
        }
    }

    fn retry(self, now: Duration) -> Self {
        Self {
            arrived_at: now,
            attempts: 0,
            submissions: self.submissions + 1,
            answered_at: None,
            refused_at: None,
            ..self
        }
    }
}
