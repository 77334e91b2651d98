//! The loop over events in virtual time.

use super::{
    balance::{BROKEN, DOWN, Entry, FULL, Order, PLACES, Policy, SIDE_LIMIT},
    endpoint::{AttemptId, Endpoint, State},
    scenario::{Callers, Fault, Scenario, Stream, Work},
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

/// One way to an endpoint at the same place, and to one elsewhere.
const NEAR: Duration = Duration::from_micros(250);
const FAR: Duration = Duration::from_micros(1500);
/// Endpoints report so often.
const REPORT: Duration = Duration::from_millis(500);
/// A caller that asks again at once needs this long, and does so this often.
const EAGER: Duration = Duration::from_millis(10);
const EAGER_TRIES: u32 = 20;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive {
        stream: usize,
    },
    Again {
        seq: u64,
    },
    AtEndpoint {
        attempt: AttemptId,
    },
    CancelAt {
        attempt: AttemptId,
    },
    End {
        endpoint: usize,
        version: u64,
    },
    Back {
        attempt: AttemptId,
        how: How,
    },
    Report {
        endpoint: usize,
    },
    Reported {
        endpoint: usize,
        running: u32,
        queued: u32,
    },
    Wake {
        entry: usize,
    },
    Fault,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum How {
    Answered,
    Full,
    Down,
    Broken,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    seq: u64,
    endpoint: usize,
    ended: bool,
}

struct Driver<'a> {
    scenario: &'a Scenario,
    base: Instant,
    now: Duration,
    rng: Pcg64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    entries: Vec<Entry>,
    wakes: Vec<Option<Duration>>,
    endpoints: Vec<Endpoint>,
    records: Vec<Record>,
    attempts: Vec<Attempt>,
    active: HashMap<(u64, usize), AttemptId>,
    zipf: Vec<Vec<f64>>,
}

/// Runs one scenario under one policy.
#[must_use]
pub fn run_one(scenario: &Scenario, policy: Policy, seed: u64) -> Score {
    let mut driver = Driver::new(scenario, policy, seed);
    driver.run();
    let spent: Vec<f64> = driver.endpoints.iter().map(|e| e.spent).collect();
    let hits = driver.endpoints.iter().map(|e| e.hits).sum();
    let lookups = driver.endpoints.iter().map(|e| e.lookups).sum();
    Score::new(scenario, &driver.records, &spent, (hits, lookups))
}

impl<'a> Driver<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let base = Instant::now();
        let entry = |n: usize| {
            let place = n % PLACES.len();
            Entry::new(scenario, policy, seed + n as u64, place, base)
        };
        let count = scenario.endpoints * PLACES.len();
        let endpoint = |n: usize| Endpoint::new(n / scenario.endpoints, scenario.kind);
        Self {
            scenario,
            base,
            now: Duration::ZERO,
            rng: Pcg64::seed_from_u64(seed),
            events: BinaryHeap::new(),
            count: 0,
            entries: (0..scenario.entries).map(entry).collect(),
            wakes: vec![None; scenario.entries],
            endpoints: (0..count).map(endpoint).collect(),
            records: Vec::new(),
            attempts: Vec::new(),
            active: HashMap::new(),
            zipf: scenario.streams.iter().map(|s| zipf(s.prefixes)).collect(),
        }
    }

    fn run(&mut self) {
        for stream in 0..self.scenario.streams.len() {
            self.at(Duration::ZERO, Event::Arrive { stream });
        }
        for endpoint in 0..self.endpoints.len() {
            let first = REPORT.mul_f64(endpoint as f64 / self.endpoints.len() as f64);
            self.at(first, Event::Report { endpoint });
        }
        if let Some((at, _)) = self.scenario.fault {
            self.at(at, Event::Fault);
        }
        // Until every caller has stopped waiting.
        let patience = self.scenario.streams.iter().map(|s| s.patience).max();
        let end = self.scenario.window.1 + patience.unwrap_or_default() + FAR * 4;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { stream } => self.arrive(stream),
            Event::Again { seq } => self.again(seq),
            Event::AtEndpoint { attempt } => self.at_endpoint(attempt),
            Event::CancelAt { attempt } => {
                let endpoint = self.attempts[attempt_index(attempt)].endpoint;
                self.endpoints[endpoint].cancel(self.now, attempt);
                self.set_end(endpoint);
            }
            Event::End { endpoint, version } => self.end(endpoint, version),
            Event::Back { attempt, how } => self.back(attempt, how),
            Event::Report { endpoint } => self.report(endpoint),
            Event::Reported {
                endpoint,
                running,
                queued,
            } => {
                self.reported(endpoint, running, queued);
            }
            Event::Wake { entry } => {
                if self.wakes[entry] == Some(self.now) {
                    self.wakes[entry] = None;
                    let now = self.instant();
                    self.entries[entry].tick(now);
                    self.settle(entry);
                }
            }
            Event::Fault => self.fault(),
        }
    }

    fn arrive(&mut self, number: usize) {
        let stream = self.scenario.streams[number];
        let lanes = self.endpoints.len() as f64 * f64::from(self.scenario.kind.width());
        let mut rate = stream.load * lanes / stream.work.mean();
        if let Some((from, to, factor)) = self.scenario.burst
            && (from..to).contains(&self.now)
        {
            rate *= factor;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        // Short steps, so that a burst begins on time.
        let gap = Duration::from_secs_f64(gap.min(1.0));
        if self.now + gap < self.scenario.window.1 {
            self.at(self.now + gap, Event::Arrive { stream: number });
        }
        let work = self.draw(stream.work);
        let prefix = self.draw_prefix(number);
        let entry = self.rng.random_range(0..self.entries.len());
        self.ask(Record::new(&stream, entry, self.now, work, prefix));
    }

    fn draw(&mut self, work: Work) -> f64 {
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

    fn draw_prefix(&mut self, stream: usize) -> Option<u64> {
        let sums = &self.zipf[stream];
        let total = sums.last()?;
        let draw = self.rng.random::<f64>() * total;
        Some(sums.partition_point(|sum| *sum < draw) as u64)
    }

    fn ask(&mut self, record: Record) {
        let seq = self.records.len() as u64;
        self.records.push(record);
        let deadline = self.base + record.deadline;
        let now = self.instant();
        self.entries[record.entry].arrive(now, |service| {
            let mut call =
                Call::new(id(seq), service, record.class, deadline).repeat(record.repeat);
            call.prefix = record.prefix;
            call
        });
        self.settle(record.entry);
    }

    fn again(&mut self, seq: u64) {
        let first = self.records[record_index(seq)];
        let mut next = first.again(self.now);
        if self.scenario.callers == Callers::ComeBack {
            next.deadline = self.now + first.deadline.saturating_sub(first.arrived);
        }
        if next.deadline > self.now {
            self.ask(next);
        }
    }

    /// Carries out what the entry wants and sets its timer.
    fn settle(&mut self, entry: usize) {
        while let Some(order) = self.entries[entry].next_order() {
            match order {
                Order::Start { seq, endpoint } => self.start(seq, endpoint),
                Order::Cancel { seq, endpoint } => self.cancel(seq, endpoint),
                Order::Refuse { seq, retry_after } => self.refuse(seq, retry_after),
            }
        }
        if let Some(due) = self.entries[entry].next_due() {
            let due = due.saturating_duration_since(self.base).max(self.now);
            if self.wakes[entry].is_none_or(|wake| due < wake || wake < self.now) {
                self.wakes[entry] = Some(due);
                self.at(due, Event::Wake { entry });
            }
        }
    }

    fn hop(&self, seq: u64, endpoint: usize) -> Duration {
        let place = self.records[record_index(seq)].entry % PLACES.len();
        if self.endpoints[endpoint].place == place {
            NEAR
        } else {
            FAR
        }
    }

    fn start(&mut self, seq: u64, endpoint: usize) {
        let attempt = self.attempts.len() as AttemptId;
        self.attempts.push(Attempt {
            seq,
            endpoint,
            ended: false,
        });
        self.records[record_index(seq)].starts += 1;
        self.active.insert((seq, endpoint), attempt);
        let at = self.now + self.hop(seq, endpoint);
        self.at(at, Event::AtEndpoint { attempt });
    }

    fn cancel(&mut self, seq: u64, endpoint: usize) {
        if let Some(attempt) = self.active.remove(&(seq, endpoint)) {
            self.attempts[attempt_index(attempt)].ended = true;
            let at = self.now + self.hop(seq, endpoint);
            self.at(at, Event::CancelAt { attempt });
        }
    }

    fn refuse(&mut self, seq: u64, after: Duration) {
        let now = self.now;
        let record = &mut self.records[record_index(seq)];
        record.refused = Some(now);
        let wait = match self.scenario.callers {
            Callers::Leave => return,
            Callers::AskAtOnce => EAGER,
            Callers::ComeBack => after,
        };
        if record.asked < EAGER_TRIES {
            self.at(now + wait, Event::Again { seq });
        }
    }

    fn at_endpoint(&mut self, attempt: AttemptId) {
        let row = self.attempts[attempt_index(attempt)];
        let record = self.records[record_index(row.seq)];
        let endpoint = &mut self.endpoints[row.endpoint];
        let (running, queued) = endpoint.load();
        let limited = self.entries[record.entry].limited();
        let full = limited && running + queued >= SIDE_LIMIT as usize;
        let refused = match endpoint.state {
            State::Gone => Some(How::Down),
            State::Live if full => Some(How::Full),
            State::Live | State::Stuck => None,
        };
        if let Some(how) = refused {
            let at = self.now + self.hop(row.seq, row.endpoint);
            self.at(at, Event::Back { attempt, how });
            return;
        }
        endpoint.push(self.now, attempt, record.work, record.prefix);
        self.set_end(row.endpoint);
    }

    fn set_end(&mut self, endpoint: usize) {
        let row = &self.endpoints[endpoint];
        let version = row.version;
        if let Some(at) = row.next_end() {
            self.at(at.max(self.now), Event::End { endpoint, version });
        }
    }

    fn end(&mut self, endpoint: usize, version: u64) {
        if self.endpoints[endpoint].version != version {
            return;
        }
        for attempt in self.endpoints[endpoint].ended(self.now) {
            let seq = self.attempts[attempt_index(attempt)].seq;
            let at = self.now + self.hop(seq, endpoint);
            let how = How::Answered;
            self.at(at, Event::Back { attempt, how });
        }
        self.set_end(endpoint);
    }

    fn back(&mut self, attempt: AttemptId, how: How) {
        let row = self.attempts[attempt_index(attempt)];
        if row.ended {
            return;
        }
        self.attempts[attempt_index(attempt)].ended = true;
        self.active.remove(&(row.seq, row.endpoint));
        let record = &mut self.records[record_index(row.seq)];
        let entry = record.entry;
        let outcome = match how {
            How::Answered => {
                record.answered = record.answered.or(Some(self.now));
                Outcome::Answered
            }
            How::Full => FULL,
            How::Down => DOWN,
            How::Broken => BROKEN,
        };
        let now = self.instant();
        self.entries[entry].finish(now, id(row.seq), row.endpoint, outcome);
        self.settle(entry);
    }

    fn report(&mut self, endpoint: usize) {
        self.at(self.now + REPORT, Event::Report { endpoint });
        let row = &self.endpoints[endpoint];
        let Some(lag) = self.scenario.reports.filter(|_| row.state == State::Live) else {
            return;
        };
        let (running, queued) = row.load();
        let event = Event::Reported {
            endpoint,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
        };
        self.at(self.now + lag, event);
    }

    fn reported(&mut self, endpoint: usize, running: u32, queued: u32) {
        let report = LoadReport {
            running,
            queued,
            age: self.scenario.reports.unwrap_or_default(),
            ..LoadReport::default()
        };
        let now = self.instant();
        for entry in 0..self.entries.len() {
            self.entries[entry].report(now, endpoint, report);
            self.settle(entry);
        }
    }

    fn fault(&mut self) {
        let Some((_, fault)) = self.scenario.fault else {
            return;
        };
        for endpoint in &mut self.endpoints {
            endpoint.advance(self.now);
        }
        match fault {
            Fault::Slow(speed) => self.endpoints[0].speed = speed,
            Fault::Stuck => self.endpoints[0].state = State::Stuck,
            Fault::PlaceSilent => {
                let silent = self.endpoints.iter_mut().filter(|e| e.place == 0);
                silent.for_each(|endpoint| endpoint.state = State::Stuck);
            }
            Fault::Gone(count) => (0..count).for_each(|endpoint| self.lose(endpoint)),
        }
        for endpoint in 0..self.endpoints.len() {
            self.endpoints[endpoint].version += 1;
            self.set_end(endpoint);
        }
    }

    fn lose(&mut self, endpoint: usize) {
        self.endpoints[endpoint].state = State::Gone;
        for attempt in self.endpoints[endpoint].clear() {
            let seq = self.attempts[attempt_index(attempt)].seq;
            let at = self.now + self.hop(seq, endpoint);
            let how = How::Broken;
            self.at(at, Event::Back { attempt, how });
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

/// Returns the running sums of 1/n.
fn zipf(count: usize) -> Vec<f64> {
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
            arrived: now,
            deadline: now + stream.patience,
            work,
            prefix,
            starts: 0,
            asked: 1,
            answered: None,
            refused: None,
        }
    }

    fn again(self, now: Duration) -> Self {
        Self {
            arrived: now,
            starts: 0,
            asked: self.asked + 1,
            answered: None,
            refused: None,
            ..self
        }
    }
}
