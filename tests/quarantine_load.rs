//! A request that crashes endpoints beside short requests that are run again, in virtual
//! time: how many endpoints end, and whom a quarantine meets.

use hibiscusroad::quarantine::{
    AMBIGUITY_MARGIN, Crash, Fingerprint, Identity, KEEP, LIMIT, Ledger, Life, Verdict,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::ops::Range;

const ENDPOINTS: usize = 6;
const NEIGHBOURS: usize = 30;
/// Milliseconds: of a step, of the whole, until a crash, until an endpoint is back, and
/// until an interrupted neighbour starts again.
const STEP: u64 = 5;
const LENGTH: u64 = 20_000;
const CRASH: u64 = 100;
const DOWN: u64 = 2_300;
const PAUSE: u64 = 80;
/// Mean time between two repeats of the cause, and endpoints that each may run at.
const REPEAT: f64 = 150.0;
const TRIES: u32 = 2;
const SEEDS: u64 = 80;
/// Neighbours like lookups, and like generations.
const SHORT: Range<u64> = 25..200;
const LONG: Range<u64> = 800..4_000;
const CAUSE: u64 = 0;

/// Decides from the evidence whether a request may run.
type Decide = fn(&Ledger, Fingerprint) -> bool;

#[derive(Clone, Copy)]
enum Phase {
    Waiting(u64),
    Running(usize, u64),
}

#[derive(Clone, Copy)]
struct Run {
    request: u64,
    phase: Phase,
    tries: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Found {
    ends: usize,
    /// Neighbours that were refused, and those that were answered.
    refused: usize,
    answered: usize,
}

struct World {
    /// Milliseconds that neighbours run.
    takes: Range<u64>,
    rng: Pcg64,
    ledger: Ledger,
    decide: Decide,
    /// When each endpoint is up, and its life.
    up: [u64; ENDPOINTS],
    lives: [usize; ENDPOINTS],
    runs: Vec<Run>,
    next: u64,
    found: Found,
}

fn fingerprint(request: u64) -> Fingerprint {
    Fingerprint::of(&Identity {
        method: "POST",
        host: "huts.example",
        path: "/desk/x",
        account: None,
        body: &request.to_be_bytes(),
        length: Some(8),
    })
}

impl World {
    fn play(seed: u64, takes: Range<u64>, decide: Decide) -> Found {
        let mut world = Self {
            takes,
            rng: Pcg64::seed_from_u64(seed),
            ledger: Ledger::new(LIMIT, KEEP),
            decide,
            up: [0; ENDPOINTS],
            lives: [0; ENDPOINTS],
            runs: Vec::new(),
            next: CAUSE + 1,
            found: Found::default(),
        };
        for _ in 0..NEIGHBOURS {
            world.add_neighbour(0);
        }
        for now in (0..LENGTH / STEP).map(|step| step * STEP) {
            world.step(now);
        }
        world.found
    }

    fn add_neighbour(&mut self, at: u64) {
        self.runs.push(Run {
            request: self.next,
            phase: Phase::Waiting(at + self.rng.random_range(0..PAUSE)),
            tries: 0,
        });
        self.next += 1;
    }

    fn step(&mut self, now: u64) {
        if self.rng.random_bool(STEP as f64 / REPEAT) {
            self.runs.push(Run {
                request: CAUSE,
                phase: Phase::Waiting(now),
                tries: 0,
            });
        }
        for run in std::mem::take(&mut self.runs) {
            self.go_on(now, run);
        }
        let crashed = self.runs.iter().filter_map(|run| match run.phase {
            Phase::Running(endpoint, end) if run.request == CAUSE && end <= now => Some(endpoint),
            _ => None,
        });
        for endpoint in crashed.collect::<Vec<_>>() {
            self.crash(now, endpoint);
        }
    }

    fn go_on(&mut self, now: u64, mut run: Run) {
        match run.phase {
            Phase::Waiting(at) if at <= now => {
                if !(self.decide)(&self.ledger, fingerprint(run.request)) {
                    return self.refused(now, run.request);
                }
                if run.request == CAUSE && run.tries >= TRIES {
                    return;
                }
                let endpoint = self.rng.random_range(0..ENDPOINTS);
                if self.up[endpoint] > now {
                    run.phase = Phase::Waiting(now + STEP);
                } else {
                    let takes = match run.request {
                        CAUSE => CRASH,
                        _ => self.rng.random_range(self.takes.clone()),
                    };
                    run.phase = Phase::Running(endpoint, now + takes);
                    run.tries += 1;
                }
            }
            Phase::Running(_, end) if end <= now && run.request != CAUSE => {
                self.ledger.forget(fingerprint(run.request));
                self.found.answered += 1;
                return self.add_neighbour(now);
            }
            Phase::Waiting(_) | Phase::Running(..) => {}
        }
        self.runs.push(run);
    }

    fn refused(&mut self, now: u64, request: u64) {
        if request != CAUSE {
            self.found.refused += 1;
            self.add_neighbour(now);
        }
    }

    fn crash(&mut self, now: u64, endpoint: usize) {
        if self.up[endpoint] > now {
            return;
        }
        self.found.ends += 1;
        let life = Life {
            endpoint: format!("e{endpoint}"),
            born: Some(self.lives[endpoint] as u64),
        };
        for run in &mut self.runs {
            let Phase::Running(there, _) = run.phase else {
                continue;
            };
            if there == endpoint {
                run.phase = Phase::Waiting(now + PAUSE);
                self.ledger.add(Crash {
                    request: fingerprint(run.request),
                    life: life.clone(),
                    at: std::time::Duration::from_millis(now),
                    path: String::new(),
                });
            }
        }
        self.up[endpoint] = now + DOWN;
        self.lives[endpoint] += 1;
    }
}

fn by_attribution(ledger: &Ledger, request: Fingerprint) -> bool {
    let now = std::time::Duration::ZERO;
    !matches!(ledger.verdict(now, request), Verdict::Quarantined(_))
}

fn by_count(ledger: &Ledger, request: Fingerprint) -> bool {
    ledger.crashes_of(request).count() < LIMIT
}

fn never(_ledger: &Ledger, _request: Fingerprint) -> bool {
    true
}

fn play_all(takes: &Range<u64>, decide: Decide) -> Found {
    let mut sum = Found::default();
    for seed in 0..SEEDS {
        let found = World::play(seed, takes.clone(), decide);
        sum.ends += found.ends;
        sum.refused += found.refused;
        sum.answered += found.answered;
    }
    println!("{takes:?} ms: {sum:?}");
    sum
}

// Guards against a quarantine that comes late, or meets those who ran beside the cause.
#[test]
fn the_cause_is_stopped_and_its_neighbours_go_on() {
    for takes in [SHORT, LONG] {
        let attributed = play_all(&takes, by_attribution);
        // What is in flight when the evidence is complete ends as well.
        let most = LIMIT + AMBIGUITY_MARGIN + 2;
        assert!(
            attributed.ends <= usize::try_from(SEEDS).unwrap() * most,
            "{attributed:?}"
        );
        assert!(
            attributed.refused * 1_000 < attributed.answered,
            "{attributed:?}"
        );
        let count = play_all(&takes, by_count);
        assert!(
            attributed.refused < count.refused,
            "{attributed:?} {count:?}"
        );
        let without = play_all(&takes, never);
        assert!(
            without.ends > attributed.ends * 3,
            "{attributed:?} {without:?}"
        );
    }
}
