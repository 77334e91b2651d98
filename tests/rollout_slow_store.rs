//! Heartbeats, duties and paces that share a part of a slow store, in virtual time.

use hibiscusroad::{
    latency::Latency,
    rollout::{
        pace::share_interval,
        presence::{FailureDetector, HEARTBEAT_INTERVAL, Heartbeat, renewal_pause, resend_delay},
    },
    timeout::{AdaptiveTimeout, CallEnd},
};
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

/// Time that the part takes for one transaction at the usual speed: at 80 times that, it carries
/// out four a second.
const TRANSACTION_TIME: Duration = Duration::from_micros(3_125);
/// Time of a read at the usual speed.
const READ_TIME: Duration = Duration::from_millis(4);
const SLOWNESS: u32 = 80;
/// Transactions that would wait longer than this are refused.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);
const WRITE_TIMEOUTS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_800));
/// The span in which the store is slow.
const SLOW: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(16));
const HORIZON: Duration = Duration::from_secs(20);
/// Time between two writes of the duties: renewals of the lease, and records of orders.
const DUTY_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a refused or unanswered write is tried again.
const DUTY_RETRY_DELAY: Duration = Duration::from_millis(250);
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Two owners, and the holder of the duties.
const OWNERS: usize = 3;
const WATCHERS: usize = 3;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    Heartbeat,
    Duty,
    Paces,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A writer sends a write of a round.
    Send(usize, u32),
    /// A write of a round that began at this time was carried out.
    Done(usize, u32, Duration),
    Refused(usize, u32),
    TimedOut(usize, u32),
    Poll(usize),
}

struct Writer {
    kind: Kind,
    latency: Latency,
    timeout: AdaptiveTimeout,
    round: u32,
    in_flight: u32,
    /// The pause after the write of this round, which its row tells.
    pause: Duration,
    refused: u32,
    /// When each version of its row was written, and the pause that it tells.
    rows: Vec<(Duration, Duration)>,
}

impl Writer {
    fn new(kind: Kind) -> Self {
        Self {
            kind,
            latency: Latency::new(),
            timeout: AdaptiveTimeout::new(WRITE_TIMEOUTS.0, WRITE_TIMEOUTS.1),
            round: 0,
            in_flight: 0,
            pause: HEARTBEAT_INTERVAL,
            refused: 0,
            rows: Vec::new(),
        }
    }

    /// Returns the pause after its next write.
    fn next_pause(&self) -> Duration {
        match self.kind {
            Kind::Heartbeat => renewal_pause(self.latency.current()),
            Kind::Duty => DUTY_INTERVAL,
            Kind::Paces => share_interval(self.latency.current()),
        }
    }

    fn retry_delay(&self) -> Duration {
        match self.kind {
            Kind::Heartbeat => HEARTBEAT_RETRY_DELAY,
            Kind::Duty => DUTY_RETRY_DELAY.max(self.latency.current()),
            Kind::Paces => self.next_pause(),
        }
    }
}

struct Simulation {
    writers: Vec<Writer>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    /// When the part has carried out all that it accepted.
    free_at: Duration,
    dies_at: Option<Duration>,
}

fn slowness(now: Duration) -> u32 {
    if (SLOW.0..SLOW.1).contains(&now) {
        SLOWNESS
    } else {
        1
    }
}

impl Simulation {
    /// Creates writers and watchers whose phases depend on the seed.
    fn new(seed: u32, dies_at: Option<Duration>) -> Self {
        let kinds = [Kind::Heartbeat; OWNERS].into_iter();
        let kinds = kinds.chain([Kind::Duty, Kind::Paces, Kind::Paces]);
        let writers: Vec<Writer> = kinds.map(Writer::new).collect();
        let phase = |n: usize| {
            let n = u32::try_from(n).unwrap() + 1;
            Duration::from_millis(u64::from((seed * 7_919 + n * 104_729) % 1_000))
        };
        let sends = (0..writers.len()).map(|n| (phase(n), Event::Send(n, 0)));
        let polls = (0..WATCHERS).map(|n| {
            let start = Duration::from_secs(2) + phase(writers.len() + n);
            (start, Event::Poll(n))
        });
        Self {
            events: sends.chain(polls).map(Reverse).collect(),
            writers,
            free_at: Duration::ZERO,
            dies_at,
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn send(&mut self, now: Duration, n: usize) {
        let writer = &mut self.writers[n];
        if writer.in_flight == 0 {
            writer.pause = writer.next_pause();
        }
        writer.in_flight += 1;
        let (round, pause) = (writer.round, writer.pause);
        let limit = now
            + match writer.kind {
                Kind::Heartbeat => resend_delay(writer.latency.current()),
                Kind::Duty | Kind::Paces => writer.timeout.current(),
            };
        let start = self.free_at.max(now);
        if start > now + MAX_QUEUE_TIME {
            let answer = now + READ_TIME * slowness(now);
            return self.push(answer, Event::Refused(n, round));
        }
        let done = start + TRANSACTION_TIME * slowness(start);
        self.free_at = done;
        self.writers[n].rows.push((done, pause));
        self.push(done, Event::Done(n, round, now));
        self.push(limit, Event::TimedOut(n, round));
    }

    /// Begins the next round of a writer at a time.
    fn next_round(&mut self, n: usize, at: Duration) {
        let writer = &mut self.writers[n];
        writer.round += 1;
        writer.in_flight = 0;
        let round = writer.round;
        self.push(at, Event::Send(n, round));
    }

    fn handle(&mut self, now: Duration, event: Event) {
        let (Event::Send(n, round)
        | Event::Done(n, round, _)
        | Event::Refused(n, round)
        | Event::TimedOut(n, round)) = event
        else {
            return;
        };
        let is_dead = n == 0 && self.dies_at.is_some_and(|at| now >= at);
        if is_dead || self.writers[n].round != round {
            return;
        }
        let writer = &mut self.writers[n];
        match event {
            Event::Done(_, _, sent) => {
                let latency = now.saturating_sub(sent);
                writer.latency.record(latency);
                writer.timeout.record(CallEnd::Answered(latency));
                let next = now + writer.pause;
                self.next_round(n, next);
            }
            Event::Refused(..) => {
                writer.refused += 1;
                writer.in_flight -= 1;
                if writer.in_flight == 0 {
                    let next = now + writer.retry_delay();
                    self.next_round(n, next);
                }
            }
            // Another heartbeat is sent beside the first.
            Event::TimedOut(..) if writer.kind == Kind::Heartbeat => self.send(now, n),
            Event::TimedOut(..) => {
                writer.timeout.record(CallEnd::TimedOut);
                let next = now + writer.retry_delay();
                self.next_round(n, next);
            }
            Event::Send(..) | Event::Poll(_) => self.send(now, n),
        }
    }

    /// Returns the heartbeats as a read sees them.
    fn heartbeats(&self, at: Duration) -> Vec<Heartbeat> {
        let owners = self.writers.iter().take(OWNERS).enumerate();
        let rows = owners.filter_map(|(n, owner)| {
            let written = owner.rows.iter().filter(|(done, _)| *done <= at).count();
            let (_, pause) = owner.rows.get(written.checked_sub(1)?)?;
            Some(Heartbeat {
                name: format!("gateway-{n}"),
                incarnation: format!("gateway-{n}/aa"),
                version: written as u64,
                region: None,
                memory: 512,
                pause: *pause,
            })
        });
        rows.collect()
    }

    /// Runs until the horizon; returns each first loss: the time, and the owner.
    fn run(&mut self) -> Vec<(Duration, usize)> {
        let origin = Instant::now();
        let mut detectors: Vec<_> = (0..WATCHERS).map(|_| FailureDetector::new()).collect();
        let mut losses: Vec<(Duration, usize)> = Vec::new();
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > HORIZON {
                break;
            }
            let Event::Poll(watcher) = event else {
                self.handle(now, event);
                continue;
            };
            // The poll that ends now read the rows half its time ago.
            let latency = READ_TIME * slowness(now);
            let rows = self.heartbeats(now.saturating_sub(latency / 2));
            let detector = &mut detectors[watcher];
            detector.record_poll(origin + now, latency, rows);
            for n in 0..OWNERS {
                let loss = detector.loss(&format!("gateway-{n}/aa"), origin);
                if loss.is_some() && losses.iter().all(|(_, lost)| *lost != n) {
                    losses.push((now, n));
                }
            }
            let interval = detector.poll_interval(&format!("watcher-{watcher}"), ["gateway-0/aa"]);
            self.push(now + interval + latency, event);
        }
        losses
    }
}

// Guards against living owners that count as lost while a part of the store takes four
// transactions a second: their heartbeats waited behind each other, and were refused.
#[test]
fn owners_are_not_lost_at_a_slow_part() {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed, None);
        let losses = simulation.run();
        assert_eq!(losses, [], "seed {seed}");
        let refused: u32 = simulation.writers.iter().map(|writer| writer.refused).sum();
        assert!(refused <= 5, "seed {seed}: {refused} writes were refused");
    }
}

// Guards against a dead owner that is noticed late since the store is slow.
#[test]
fn dead_owner_is_noticed_at_a_slow_part() {
    for seed in 0..300 {
        for (dies_at, limit_ms) in [(2_500, 1_400), (8_000, 6_000), (11_000, 6_000)] {
            let dies_at = Duration::from_millis(dies_at);
            let losses = Simulation::new(seed, Some(dies_at)).run();
            let [(noticed, 0)] = losses[..] else {
                panic!("seed {seed}: {losses:?}");
            };
            let took = noticed.saturating_sub(dies_at);
            assert!(
                took <= Duration::from_millis(limit_ms),
                "seed {seed}: {took:?}"
            );
        }
    }
}

// Guards against heartbeats that are rarer than before at a store of usual speed.
#[test]
fn pauses_are_the_usual_ones_at_a_quick_store() {
    let latency = Duration::from_millis(20);
    assert_eq!(renewal_pause(latency), Duration::from_millis(250));
    assert_eq!(resend_delay(latency), Duration::from_millis(500));
    assert_eq!(share_interval(latency), Duration::from_secs(1));
}
