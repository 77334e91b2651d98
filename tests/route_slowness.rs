//! Placement and admission by the current slowness of endpoints' hosts.

use hibiscusroad::{
    Class, Incarnation, RequestId,
    contention::{Contention, Mode},
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, Router, ServiceKey, ServiceSpec,
        SlownessCounts, Step,
    },
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

const SLOTS: u32 = 6;
const ENDPOINTS: usize = 3;
/// How long a host keeps its pace.
const PHASE: Duration = Duration::from_millis(600);
const SLOW_SHARE: f64 = 0.15;
const SLOW_PERCENT: u32 = 250;
const OBJECTIVE: Duration = Duration::from_millis(150);
/// How long callers wait; an answer after the objective is late.
const DEADLINE: Duration = Duration::from_secs(1);
/// Mean durations of the two kinds of calls at a host of the usual pace.
const MEAN_MS: [f64; 2] = [21.0, 30.0];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn id(seq: u64) -> RequestId {
    RequestId {
        origin: Incarnation(1),
        seq,
    }
}

/// A router of three endpoints, without time and load of its own.
struct Harness {
    start: Instant,
    router: Router,
    service: ServiceKey,
    endpoints: Vec<EndpointKey>,
}

impl Harness {
    fn new(mode: Mode) -> Self {
        let start = Instant::now();
        let mut router = Router::new("senec", 5).contention(Contention::new(mode, false));
        let service = router.set_service(start, "guide", ServiceSpec::new());
        let specs =
            (0..ENDPOINTS).map(|i| EndpointSpec::new(&format!("guide-{i}"), "senec").limit(SLOTS));
        let endpoints = router.add_endpoints(start, service, specs);
        Self {
            start,
            router,
            service,
            endpoints,
        }
    }

    fn report(&mut self, now: Instant, endpoint: usize, running: u32, slowness: Option<u32>) {
        let report = LoadReport {
            running,
            limit: SLOTS,
            slowness,
            ..LoadReport::default()
        };
        self.router
            .record_load(now, self.endpoints[endpoint], report);
    }

    fn submit(&mut self, now: Instant, seq: u64) {
        let call = Call::new(id(seq), self.service, Class::Interactive, now + DEADLINE);
        self.router.submit(now, call);
    }

    fn steps(&mut self) -> Vec<Step> {
        std::iter::from_fn(|| self.router.next_step()).collect()
    }

    /// Submits calls and returns how many of them each endpoint got.
    fn place(&mut self, now: Instant, calls: u64) -> Vec<usize> {
        (0..calls).for_each(|seq| self.submit(now, seq + 1));
        let steps = self.steps();
        let count = |key: &EndpointKey| {
            let here =
                |step: &&Step| matches!(step, Step::Start { endpoint, .. } if endpoint == key);
            steps.iter().filter(here).count()
        };
        self.endpoints.iter().map(count).collect()
    }
}

/// What a play of the load counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Totals {
    calls: u64,
    late: u64,
    refused: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Arrival(u64),
    End(u64, usize),
}

/// A play of the load in virtual time.
struct Play {
    harness: Harness,
    rng: Pcg64,
    events: BTreeSet<(Instant, Due)>,
    /// Arrival of each open call, and its duration in ms at a host of the usual pace.
    open: HashMap<u64, (Instant, f64)>,
    totals: Totals,
}

impl Play {
    /// Plays a minute with `utilisation` of the slots. `report` maps an endpoint and the
    /// slowness of its host to what it reports.
    fn run(
        mode: Mode,
        utilisation: f64,
        seed: u64,
        report: impl Fn(usize, u32) -> Option<u32>,
    ) -> Totals {
        let mut play = Self {
            harness: Harness::new(mode),
            rng: Pcg64::seed_from_u64(seed),
            events: BTreeSet::new(),
            open: HashMap::new(),
            totals: Totals::default(),
        };
        let start = play.harness.start;
        play.events.insert((start, Due::Arrival(1)));
        let mean_ms = f64::midpoint(MEAN_MS[0], MEAN_MS[1]);
        let interval_ms = mean_ms / (utilisation * f64::from(SLOTS) * ENDPOINTS as f64);
        loop {
            let next = play.events.pop_first();
            let timer = play.harness.router.next_due();
            match (next, timer) {
                (Some((at, due)), Some(timer)) if timer < at => {
                    play.events.insert((at, due));
                    play.harness.router.tick(timer);
                    play.apply_steps(timer, seed);
                }
                (None, _) => return play.totals,
                (Some((now, Due::Arrival(seq))), _) => {
                    if now < start + ms(60_000) {
                        let wait = play.exponential(interval_ms);
                        play.events.insert((now + wait, Due::Arrival(seq + 1)));
                    }
                    let work = play.exponential(MEAN_MS[usize::from(seq % 2 == 0)]);
                    play.open.insert(seq, (now, work.as_secs_f64() * 1000.0));
                    play.totals.calls += 1;
                    play.harness.submit(now, seq);
                    play.apply_steps(now, seed);
                }
                (Some((now, Due::End(seq, endpoint))), _) => {
                    play.end(now, seq, endpoint, seed, &report);
                    play.apply_steps(now, seed);
                }
            }
        }
    }

    fn exponential(&mut self, mean_ms: f64) -> Duration {
        let uniform: f64 = self.rng.random();
        Duration::from_secs_f64(-uniform.max(1e-9).ln() * mean_ms / 1000.0)
    }

    /// Returns the slowness of a host in percent.
    fn slowness(&self, now: Instant, endpoint: usize, seed: u64) -> u32 {
        let phase = (now - self.harness.start).as_millis() / PHASE.as_millis();
        let key = seed * 1_000_003 + endpoint as u64 * 7919 + u64::try_from(phase).unwrap();
        let is_slow = Pcg64::seed_from_u64(key).random::<f64>() < SLOW_SHARE;
        if is_slow { SLOW_PERCENT } else { 100 }
    }

    fn end(
        &mut self,
        now: Instant,
        seq: u64,
        endpoint: usize,
        seed: u64,
        report: &impl Fn(usize, u32) -> Option<u32>,
    ) {
        let Some((arrived, _)) = self.open.remove(&seq) else {
            return;
        };
        self.totals.late += u64::from(now - arrived > OBJECTIVE);
        let key = self.harness.endpoints[endpoint];
        let running = self.harness.router.load(key).map_or(0, |load| load.0);
        let slowness = report(endpoint, self.slowness(now, endpoint, seed));
        self.harness.report(now, endpoint, running, slowness);
        self.harness
            .router
            .finish(now, id(seq), key, Outcome::Answered);
    }

    fn apply_steps(&mut self, now: Instant, seed: u64) {
        for step in self.harness.steps() {
            match step {
                Step::Start { id, endpoint, .. } => {
                    let position = self.harness.endpoints.iter().position(|k| *k == endpoint);
                    let endpoint = position.expect("it is known");
                    let work = self.open[&id.seq].1;
                    let end = self.end_of(now, endpoint, work, seed);
                    self.events.insert((end, Due::End(id.seq, endpoint)));
                }
                Step::Cancel { id, endpoint } => {
                    let position = self.harness.endpoints.iter().position(|k| *k == endpoint);
                    let ends = Due::End(id.seq, position.expect("it is known"));
                    self.events.retain(|(_, due)| *due != ends);
                }
                Step::Refuse { id, .. } => {
                    self.open.remove(&id.seq);
                    self.totals.refused += 1;
                }
            }
        }
    }

    /// Returns when work that starts now ends, at the changing pace of a host.
    fn end_of(&self, now: Instant, endpoint: usize, work_ms: f64, seed: u64) -> Instant {
        let mut at = now;
        let mut left = work_ms / 1000.0;
        loop {
            let pace = f64::from(self.slowness(at, endpoint, seed)) / 100.0;
            let elapsed = at - self.harness.start;
            let phase_ns = PHASE.as_nanos() - elapsed.as_nanos() % PHASE.as_nanos();
            let rest = Duration::from_nanos(u64::try_from(phase_ns).unwrap());
            if left * pace <= rest.as_secs_f64() {
                return at + Duration::from_secs_f64(left * pace);
            }
            left -= rest.as_secs_f64() / pace;
            at += rest;
        }
    }
}

/// Plays some seeds and returns the sums.
fn play(mode: Mode, utilisation: f64, report: impl Fn(usize, u32) -> Option<u32> + Copy) -> Totals {
    (1..=4).fold(Totals::default(), |mut sum, seed| {
        let totals = Play::run(mode, utilisation, seed, report);
        sum.calls += totals.calls;
        sum.late += totals.late;
        sum.refused += totals.refused;
        sum
    })
}

/// Guards against late answers because calls go to a host that is known to be slow.
#[test]
fn fewer_answers_are_late_with_reports() {
    for (utilisation, percent) in [(0.2, 70), (0.35, 75), (0.65, 50)] {
        let off = play(Mode::Off, utilisation, |_, slowness| Some(slowness));
        let on = play(Mode::Auto, utilisation, |_, slowness| Some(slowness));
        assert!(
            on.late * 100 < off.late * percent,
            "{utilisation}: {on:?}, {off:?}"
        );
        assert!(on.refused <= off.refused, "{on:?}, {off:?}");
    }
}

/// Guards against other decisions than before where nothing is reported or asked for.
#[test]
fn nothing_changes_without_reports_or_with_the_switch_off() {
    let before = play(Mode::Off, 0.65, |_, _| None);
    let cases = [
        play(Mode::Auto, 0.65, |_, _| None),
        play(Mode::On, 0.65, |_, _| None),
        play(Mode::Off, 0.65, |_, slowness| Some(slowness)),
        // A host can't take no time.
        play(Mode::Auto, 0.65, |_, _| Some(0)),
    ];
    assert_eq!(cases, [before; 4]);
}

/// Guards against refusals and many late answers because one endpoint reports nonsense.
#[test]
fn false_reports_do_little_harm() {
    let off = play(Mode::Off, 0.35, |_, _| None);
    for wrong in [1, 100, 400, u32::MAX] {
        let report = |endpoint, slowness| Some(if endpoint == 0 { wrong } else { slowness });
        let on = play(Mode::Auto, 0.35, report);
        assert!(on.late * 10 < off.late * 12, "{wrong}: {on:?}, {off:?}");
        assert_eq!(on.refused, 0, "{wrong}");
    }
}

/// Guards against calls on a slow host while others have room, and against slots that stay
/// free while calls wait.
#[test]
fn slow_hosts_get_calls_last_but_get_them() {
    for calls in [12, 18] {
        let mut harness = Harness::new(Mode::Auto);
        let now = harness.start;
        harness.report(now, 0, 0, Some(SLOW_PERCENT));
        harness.report(now, 1, 0, Some(100));
        let placed = harness.place(now, calls);
        assert_eq!(placed, [if calls > 12 { 6 } else { 0 }, 6, 6]);
    }
    let mut harness = Harness::new(Mode::Auto);
    let now = harness.start;
    (0..ENDPOINTS).for_each(|i| harness.report(now, i, 0, Some(u32::MAX)));
    assert_eq!(harness.place(now, 18), [6, 6, 6]);
}

/// Guards against avoiding an idle slow host in favour of one that others have filled.
#[test]
fn a_full_host_is_no_better_than_a_slow_one() {
    let mut harness = Harness::new(Mode::Auto);
    let now = harness.start;
    harness.report(now, 0, 0, Some(SLOW_PERCENT));
    harness.report(now, 1, 18, Some(100));
    let third = harness.endpoints.pop().expect("there are three");
    harness.router.remove_endpoint(now, third);
    assert_eq!(harness.place(now, 4), [4, 0]);
}

/// Guards against use of a report after the host may have changed its pace.
#[test]
fn a_report_counts_for_600_ms() {
    let counts = |slow, unknown| SlownessCounts {
        usual: 0,
        slow,
        unknown,
    };
    let mut harness = Harness::new(Mode::Auto);
    let now = harness.start + ms(1000);
    harness.report(now, 0, 0, Some(SLOW_PERCENT));
    assert_eq!(harness.router.count_slowness(now + ms(600)), counts(1, 2));
    assert_eq!(harness.router.count_slowness(now + ms(601)), counts(0, 3));
    let late = LoadReport {
        slowness: Some(SLOW_PERCENT),
        age: ms(601),
        ..LoadReport::default()
    };
    harness.router.record_load(now, harness.endpoints[1], late);
    assert_eq!(harness.router.count_slowness(now), counts(1, 2));
    // A late report must not replace a newer one.
    let older = LoadReport {
        slowness: Some(100),
        age: ms(10),
        ..LoadReport::default()
    };
    harness.router.record_load(now, harness.endpoints[0], older);
    assert_eq!(harness.router.count_slowness(now), counts(1, 2));
}

/// Guards against queueing calls that miss their deadline because all hosts are slow.
#[test]
fn expected_waits_follow_the_current_slowness() {
    for (slowness, queued) in [(100, 1), (SLOW_PERCENT, 0)] {
        let mut harness = Harness::new(Mode::Auto);
        let mut now = harness.start;
        for seq in 100..120 {
            harness.submit(now, seq);
            let Some(Step::Start { id, endpoint, .. }) = harness.router.next_step() else {
                panic!("a slot is free");
            };
            now += ms(40);
            harness.router.finish(now, id, endpoint, Outcome::Answered);
        }
        (0..ENDPOINTS).for_each(|i| harness.report(now, i, 0, Some(slowness)));
        assert_eq!(harness.place(now, 18).iter().sum::<usize>(), 18);
        let call = Call::new(id(200), harness.service, Class::Interactive, now + ms(48));
        harness.router.submit(now, call);
        assert_eq!(
            harness.router.queued(harness.service, Class::Interactive),
            queued,
            "{slowness}"
        );
    }
}
