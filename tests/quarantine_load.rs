//! A simulation, in virtual time, of a request that crashes endpoints beside requests that
//! are retried: how many endpoints end, and which requests are refused.

use hibiscusroad::quarantine::{
    AMBIGUITY_MARGIN, CRASH_LIMIT, CRASH_TTL, Crash, EndpointIncarnation, Fingerprint, Identity,
    Ledger, Verdict,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::ops::Range;

const ENDPOINTS: usize = 6;
const NEIGHBOURS: usize = 30;
const STEP_MS: u64 = 5;
const SIMULATION_MS: u64 = 20_000;
/// Time from the start of the cause to the crash.
const CRASH_DELAY_MS: u64 = 100;
const RESTART_DELAY_MS: u64 = 2_300;
/// Longest delay before a neighbour starts, and the delay before an interrupted request is
/// retried.
const START_DELAY_MS: u64 = 80;
/// Mean time between two calls with the cause.
const CAUSE_INTERVAL_MS: f64 = 150.0;
/// Attempts of each call with the cause.
const MAX_ATTEMPTS: u32 = 2;
const SEEDS: u64 = 80;
/// Run times of neighbours that are lookups.
const SHORT_RUN_MS: Range<u64> = 25..200;
/// Run times of neighbours that are generations.
const LONG_RUN_MS: Range<u64> = 800..4_000;
/// The id of the request that crashes endpoints.
const CAUSE: u64 = 0;

/// Decides whether a request may run.
type Policy = fn(&Ledger, Fingerprint) -> bool;

#[derive(Clone, Copy)]
enum Phase {
    Waiting(u64),
    Running(usize, u64),
}

#[derive(Clone, Copy)]
struct Run {
    request: u64,
    phase: Phase,
    attempts: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    crashes: usize,
    /// Neighbours that were refused.
    refused: usize,
    /// Neighbours that were answered.
    answered: usize,
}

struct World {
    /// Run times of neighbours.
    run_ms: Range<u64>,
    rng: Pcg64,
    ledger: Ledger,
    policy: Policy,
    /// When each endpoint is up.
    up_at: [u64; ENDPOINTS],
    /// How often each endpoint has restarted.
    restarts: [usize; ENDPOINTS],
    runs: Vec<Run>,
    next_id: u64,
    totals: Totals,
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
    fn simulate(seed: u64, run_ms: Range<u64>, policy: Policy) -> Totals {
        let mut world = Self {
            run_ms,
            rng: Pcg64::seed_from_u64(seed),
            ledger: Ledger::new(CRASH_LIMIT, CRASH_TTL),
            policy,
            up_at: [0; ENDPOINTS],
            restarts: [0; ENDPOINTS],
            runs: Vec::new(),
            next_id: CAUSE + 1,
            totals: Totals::default(),
        };
        for _ in 0..NEIGHBOURS {
            world.add_neighbour(0);
        }
        for now in (0..SIMULATION_MS / STEP_MS).map(|step| step * STEP_MS) {
            world.step(now);
        }
        world.totals
    }

    fn add_neighbour(&mut self, at: u64) {
        self.runs.push(Run {
            request: self.next_id,
            phase: Phase::Waiting(at + self.rng.random_range(0..START_DELAY_MS)),
            attempts: 0,
        });
        self.next_id += 1;
    }

    fn step(&mut self, now: u64) {
        if self.rng.random_bool(STEP_MS as f64 / CAUSE_INTERVAL_MS) {
            self.runs.push(Run {
                request: CAUSE,
                phase: Phase::Waiting(now),
                attempts: 0,
            });
        }
        for run in std::mem::take(&mut self.runs) {
            self.advance(now, run);
        }
        let crashed = self.runs.iter().filter_map(|run| match run.phase {
            Phase::Running(endpoint, end) if run.request == CAUSE && end <= now => Some(endpoint),
            _ => None,
        });
        for endpoint in crashed.collect::<Vec<_>>() {
            self.crash(now, endpoint);
        }
    }

    fn advance(&mut self, now: u64, mut run: Run) {
        match run.phase {
            Phase::Waiting(at) if at <= now => {
                if !(self.policy)(&self.ledger, fingerprint(run.request)) {
                    return self.record_refusal(now, run.request);
                }
                if run.request == CAUSE && run.attempts >= MAX_ATTEMPTS {
                    return;
                }
                let endpoint = self.rng.random_range(0..ENDPOINTS);
                if self.up_at[endpoint] > now {
                    run.phase = Phase::Waiting(now + STEP_MS);
                } else {
                    let duration = match run.request {
                        CAUSE => CRASH_DELAY_MS,
                        _ => self.rng.random_range(self.run_ms.clone()),
                    };
                    run.phase = Phase::Running(endpoint, now + duration);
                    run.attempts += 1;
                }
            }
            Phase::Running(_, end) if end <= now && run.request != CAUSE => {
                self.ledger.remove_request(fingerprint(run.request));
                self.totals.answered += 1;
                return self.add_neighbour(now);
            }
            Phase::Waiting(_) | Phase::Running(..) => {}
        }
        self.runs.push(run);
    }

    fn record_refusal(&mut self, now: u64, request: u64) {
        if request != CAUSE {
            self.totals.refused += 1;
            self.add_neighbour(now);
        }
    }

    fn crash(&mut self, now: u64, endpoint: usize) {
        if self.up_at[endpoint] > now {
            return;
        }
        self.totals.crashes += 1;
        let incarnation = EndpointIncarnation {
            endpoint: format!("e{endpoint}"),
            started_ms: Some(self.restarts[endpoint] as u64),
        };
        for run in &mut self.runs {
            let Phase::Running(running_at, _) = run.phase else {
                continue;
            };
            if running_at == endpoint {
                run.phase = Phase::Waiting(now + START_DELAY_MS);
                self.ledger.add(Crash {
                    request: fingerprint(run.request),
                    incarnation: incarnation.clone(),
                    at: std::time::Duration::from_millis(now),
                    path: String::new(),
                });
            }
        }
        self.up_at[endpoint] = now + RESTART_DELAY_MS;
        self.restarts[endpoint] += 1;
    }
}

fn allow_by_verdict(ledger: &Ledger, request: Fingerprint) -> bool {
    let now = std::time::Duration::ZERO;
    !matches!(ledger.verdict(now, request), Verdict::Quarantined(_))
}

fn allow_by_count(ledger: &Ledger, request: Fingerprint) -> bool {
    ledger.crashes_of(request).count() < CRASH_LIMIT
}

fn allow_all(_ledger: &Ledger, _request: Fingerprint) -> bool {
    true
}

fn simulate_all(run_ms: &Range<u64>, policy: Policy) -> Totals {
    let mut sum = Totals::default();
    for seed in 0..SEEDS {
        let totals = World::simulate(seed, run_ms.clone(), policy);
        sum.crashes += totals.crashes;
        sum.refused += totals.refused;
        sum.answered += totals.answered;
    }
    println!("{run_ms:?} ms: {sum:?}");
    sum
}

// Guards against a late quarantine, and against refusing requests that ran beside the cause.
#[test]
fn cause_is_quarantined_and_its_neighbours_are_not() {
    for run_ms in [SHORT_RUN_MS, LONG_RUN_MS] {
        let attributed = simulate_all(&run_ms, allow_by_verdict);
        // Calls with the cause may be in flight when the limit is reached.
        let max_crashes = CRASH_LIMIT + AMBIGUITY_MARGIN + 2;
        assert!(
            attributed.crashes <= usize::try_from(SEEDS).unwrap() * max_crashes,
            "{attributed:?}"
        );
        assert!(
            attributed.refused * 1_000 < attributed.answered,
            "{attributed:?}"
        );
        let counted = simulate_all(&run_ms, allow_by_count);
        assert!(
            attributed.refused < counted.refused,
            "{attributed:?} {counted:?}"
        );
        let unlimited = simulate_all(&run_ms, allow_all);
        assert!(
            unlimited.crashes > attributed.crashes * 3,
            "{attributed:?} {unlimited:?}"
        );
    }
}
