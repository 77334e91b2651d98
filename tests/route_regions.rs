//! Regions of endpoints and calls: never outside the allowed ones, near before far, and no slot
//! unused while a call waits that may use it.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId,
    contention::{Contention, Mode},
    route::{
        AccountKey, Call, EndpointKey, EndpointSpec, LoadReport, NearState, Outcome, Router,
        ServiceKey, ServiceSpec, Step,
    },
    topology::{RegionSet, Topology},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

const PLACES: [&str; 6] = ["senec", "trnava", "kosice", "presov", "wien", "linz"];
const REGIONS: [&str; 3] = ["zapad", "vychod", "juh"];
/// Score up to which a near endpoint with a free slot is taken before a far one.
const NEAR_SCORE: f64 = 1.5;
const SERVICE_TIME: Duration = Duration::from_millis(40);

fn topology(regions: &[(&str, &str)]) -> Topology {
    let pairs = regions.iter();
    let regions: BTreeMap<String, String> = pairs
        .map(|(place, region)| ((*place).to_owned(), (*region).to_owned()))
        .collect();
    Topology::new("senec", "zapad", &regions)
}

fn two_regions() -> Topology {
    topology(&[
        ("senec", "zapad"),
        ("trnava", "zapad"),
        ("kosice", "vychod"),
    ])
}

struct Harness {
    now: Instant,
    router: Router,
    service: ServiceKey,
    topology: Topology,
    seq: u64,
}

impl Harness {
    fn new(topology: Topology, max_queued: usize) -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", 5).topology(topology.clone());
        let spec = ServiceSpec::new().max_queued(max_queued);
        let service = router.set_service(now, "hut-desk", spec);
        Self {
            now,
            router,
            service,
            topology,
            seq: 0,
        }
    }

    fn endpoint(&mut self, place: &str, limit: u32) -> EndpointKey {
        self.seq += 1;
        let spec = EndpointSpec::new(&format!("e{}", self.seq), place).limit(limit);
        self.router.add_endpoint(self.now, self.service, spec)
    }

    fn allowed(&self, names: &[&str]) -> RegionSet {
        let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        self.topology.allowed(&names)
    }

    /// Submits a call with allowed regions, and returns its id and the steps.
    fn submit(&mut self, regions: RegionSet) -> (RequestId, Vec<Step>) {
        self.seq += 1;
        let id = RequestId {
            origin: Incarnation(1),
            seq: self.seq,
        };
        let deadline = self.now + Duration::from_secs(5);
        let call = Call::new(id, self.service, Class::Interactive, deadline).regions(regions);
        self.router.submit(self.now, call);
        (id, self.steps())
    }

    fn steps(&mut self) -> Vec<Step> {
        std::iter::from_fn(|| self.router.next_step()).collect()
    }

    /// Submits a call and returns where it starts.
    fn start(&mut self, regions: RegionSet) -> Option<EndpointKey> {
        let (_, steps) = self.submit(regions);
        steps.iter().find_map(|step| match step {
            Step::Start { endpoint, .. } => Some(*endpoint),
            _ => None,
        })
    }

    /// Submits a call and returns the kind of its refusal.
    fn refusal(&mut self, regions: RegionSet) -> Option<ErrorKind> {
        let (_, steps) = self.submit(regions);
        steps.iter().find_map(|step| match step {
            Step::Refuse { kind, .. } => Some(*kind),
            _ => None,
        })
    }

    fn answer(&mut self, calls: usize, factor: impl Fn(EndpointKey) -> u32) {
        for _ in 0..calls {
            let (id, steps) = self.submit(RegionSet::ALL);
            let Some(Step::Start { endpoint, .. }) = steps.first().copied() else {
                panic!("an endpoint is free: {steps:?}");
            };
            self.now += SERVICE_TIME * factor(endpoint);
            self.router
                .finish(self.now, id, endpoint, Outcome::Answered);
            self.steps();
        }
    }
}

// Guards against calls that cross the priced link while near endpoints have room.
#[test]
fn another_region_is_used_only_when_near_endpoints_are_full() {
    let mut harness = Harness::new(two_regions(), 8);
    let near = [harness.endpoint("senec", 4), harness.endpoint("trnava", 4)];
    let far = harness.endpoint("kosice", 4);
    for _ in 0..8 {
        let started = harness.start(RegionSet::ALL).unwrap();
        assert!(near.contains(&started));
    }
    let state = |harness: &Harness| harness.router.near_state(harness.service, RegionSet::ALL);
    assert_eq!(state(&harness), NearState::Full);
    assert_eq!(harness.start(RegionSet::ALL), Some(far));
}

// Guards against calls that stay at near endpoints that are evacuated.
#[test]
fn another_region_is_used_when_near_endpoints_are_closed() {
    let mut harness = Harness::new(two_regions(), 8);
    let near = harness.endpoint("senec", 4);
    let far = harness.endpoint("kosice", 4);
    harness.router.set_accepting(harness.now, near, false);
    assert_eq!(harness.start(RegionSet::ALL), Some(far));
    let state = |harness: &Harness, regions| harness.router.near_state(harness.service, regions);
    assert_eq!(state(&harness, RegionSet::ALL), NearState::Evacuated);
    let east = harness.allowed(&["vychod"]);
    assert_eq!(state(&harness, east), NearState::NotAllowed);
    harness.router.remove_endpoint(harness.now, near);
    assert_eq!(state(&harness, RegionSet::ALL), NearState::None);
}

// Guards against calls that wait at a near endpoint that others keep busy.
#[test]
fn another_region_is_used_when_near_endpoints_are_clearly_busy() {
    let mut harness = Harness::new(two_regions(), 8);
    let near = harness.endpoint("senec", 4);
    let far = harness.endpoint("kosice", 4);
    let report = |running| LoadReport {
        running,
        limit: 4,
        ..LoadReport::default()
    };
    harness.router.record_load(harness.now, near, report(4));
    assert_eq!(harness.start(RegionSet::ALL), Some(near));
    harness.router.record_load(harness.now, near, report(9));
    assert_eq!(harness.start(RegionSet::ALL), Some(far));
    let state = harness.router.near_state(harness.service, RegionSet::ALL);
    assert_eq!(state, NearState::Slow);
}

// Guards against calls that stay at a near endpoint that is much slower than its peers.
#[test]
fn another_region_is_used_when_near_endpoints_are_slow() {
    let mut harness = Harness::new(two_regions(), 8);
    let near = harness.endpoint("senec", 2);
    let far = harness.endpoint("kosice", 2);
    harness.router.set_accepting(harness.now, near, false);
    harness.answer(40, |_| 1);
    harness.router.set_accepting(harness.now, near, true);
    harness.answer(40, |endpoint| if endpoint == near { 8 } else { 1 });
    assert_eq!(harness.start(RegionSet::ALL), Some(far));
}

// Guards against a request outside its regions, and against one that waits for an endpoint
// that it may never use.
#[test]
fn call_without_an_endpoint_in_its_regions_is_refused_at_once() {
    let mut harness = Harness::new(two_regions(), 8);
    let near = harness.endpoint("senec", 4);
    let (west, east) = (harness.allowed(&["zapad"]), harness.allowed(&["vychod"]));
    let refused = Some(ErrorKind::NoEndpointInRegion);
    assert_eq!(harness.refusal(east), refused);
    let nowhere = harness.allowed(&["stred"]);
    assert_eq!(harness.refusal(nowhere), refused);
    assert_eq!(harness.start(west), Some(near));
    harness.router.set_accepting(harness.now, near, false);
    assert_eq!(harness.refusal(west), Some(ErrorKind::NoEndpoint));
}

// Guards against waiting calls that are kept after the last endpoint of their regions closes.
#[test]
fn waiting_calls_are_refused_when_their_regions_close() {
    let mut harness = Harness::new(two_regions(), 8);
    let near = harness.endpoint("senec", 1);
    harness.endpoint("kosice", 1);
    let west = harness.allowed(&["zapad"]);
    assert_eq!(harness.start(west), Some(near));
    let (waiting, steps) = harness.submit(west);
    assert_eq!(steps, []);
    harness.router.set_accepting(harness.now, near, false);
    let steps = harness.steps();
    let is_refused = |step: &Step| {
        matches!(step, Step::Refuse { id, kind, .. }
            if *id == waiting && *kind == ErrorKind::NoEndpointInRegion)
    };
    assert!(steps.iter().any(is_refused), "{steps:?}");
}

// Guards against slots that stay free behind calls that wait for another region, also when
// those fill the queue or are learned to take long.
#[test]
fn calls_of_a_full_region_hold_up_no_others() {
    let mut harness = Harness::new(two_regions(), 4);
    let near = harness.endpoint("senec", 1);
    let far = harness.endpoint("kosice", 2);
    harness.answer(40, |_| 50);
    let (west, east) = (harness.allowed(&["zapad"]), harness.allowed(&["vychod"]));
    assert_eq!(harness.start(west), Some(near));
    while harness.refusal(west).is_none() {}
    assert_eq!(harness.start(east), Some(far));
    assert_eq!(harness.start(RegionSet::ALL), Some(far));
    assert_eq!(harness.refusal(west), Some(ErrorKind::Saturated));
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { regions: u8, prefix: Option<u8> },
    Finish { pick: usize, outcome: u8 },
    Open { pick: usize, open: bool },
    Remove { pick: usize },
    Report { pick: usize, running: u32 },
    Connect { pick: usize },
    Advance { millis: u64 },
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..16u8, proptest::option::weighted(0.2, any::<u8>()))
            .prop_map(|(regions, prefix)| Event::Arrive { regions, prefix }),
        5 => (any::<usize>(), 0..8u8).prop_map(|(pick, outcome)| Event::Finish { pick, outcome }),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(pick, open)| Event::Open { pick, open }),
        1 => any::<usize>().prop_map(|pick| Event::Remove { pick }),
        1 => (any::<usize>(), 0..9u32).prop_map(|(pick, running)| Event::Report { pick, running }),
        2 => any::<usize>().prop_map(|pick| Event::Connect { pick }),
        3 => (0..900u64).prop_map(|millis| Event::Advance { millis }),
    ]
}

/// A fleet in which each place has a region of [`REGIONS`], or none, and what happens there.
#[derive(Debug)]
struct World {
    harness: Harness,
    /// The region of each endpoint, if it is known.
    regions: BTreeMap<EndpointKey, Option<usize>>,
    /// The allowed regions of each call; empty for all.
    calls: HashMap<RequestId, Vec<usize>>,
    waiting: Vec<RequestId>,
    /// Calls that have had an attempt; a retry avoids the endpoint of the last one.
    started: HashSet<RequestId>,
    answered: HashSet<RequestId>,
    running: Vec<(RequestId, EndpointKey)>,
    /// Whether a queue may hold calls back for another reason than a lack of slots.
    has_backoff: bool,
}

impl std::fmt::Debug for Harness {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Harness").finish_non_exhaustive()
    }
}

impl World {
    fn new(places: &[Option<usize>], fleet: &[(usize, u32)]) -> Self {
        let known = places.iter().zip(PLACES);
        let named: Vec<(&str, &str)> = known
            .filter_map(|(region, place)| Some((place, REGIONS[(*region)?])))
            .collect();
        let harness = Harness::new(topology(&named), 4);
        let mut world = Self {
            harness,
            regions: BTreeMap::new(),
            calls: HashMap::new(),
            waiting: Vec::new(),
            started: HashSet::new(),
            answered: HashSet::new(),
            running: Vec::new(),
            has_backoff: false,
        };
        for (place, limit) in fleet {
            let key = world.harness.endpoint(PLACES[*place], *limit);
            // The process knows its own region in any case.
            let region = if *place == 0 { Some(0) } else { places[*place] };
            world.regions.insert(key, region);
        }
        world
    }

    fn may_use(&self, id: RequestId, endpoint: EndpointKey) -> bool {
        let allowed = &self.calls[&id];
        let region = self.regions[&endpoint];
        allowed.is_empty() || region.is_some_and(|region| allowed.contains(&region))
    }

    /// Returns the endpoints with free slots that a call may use.
    fn free(&self, id: RequestId) -> impl Iterator<Item = EndpointKey> {
        let router = &self.harness.router;
        let keys = self.regions.keys().copied();
        keys.filter(move |key| {
            let load = router.load(*key);
            self.may_use(id, *key) && load.is_some_and(|(running, limit)| running < limit)
        })
    }

    fn apply(&mut self, event: &Event) {
        let now = self.harness.now;
        let keys: Vec<EndpointKey> = self.regions.keys().copied().collect();
        let endpoint = |pick: usize| keys.get(pick % keys.len().max(1)).copied();
        match *event {
            Event::Arrive { regions, prefix } => {
                // Bit 3 stands for a region without data centres.
                let allowed: Vec<usize> = (0..4).filter(|n| regions & (1 << n) != 0).collect();
                let names: Vec<&str> = allowed
                    .iter()
                    .map(|n| REGIONS.get(*n).copied().unwrap_or("stred"))
                    .collect();
                self.harness.seq += 1;
                let seq = self.harness.seq;
                let origin = Incarnation(1);
                let id = RequestId { origin, seq };
                let deadline = now + Duration::from_hours(1);
                let set = self.harness.allowed(&names);
                let mut call =
                    Call::new(id, self.harness.service, Class::Interactive, deadline).regions(set);
                if let Some(prefix) = prefix {
                    call = call.prefix(u64::from(prefix));
                }
                self.calls.insert(id, allowed);
                self.waiting.push(id);
                self.harness.router.submit(now, call);
            }
            Event::Finish { pick, outcome } if !self.running.is_empty() => {
                let (id, endpoint) = self.running.swap_remove(pick % self.running.len());
                let outcome = match outcome {
                    0 => Outcome::Failed(ErrorKind::EndpointBroken),
                    1 => Outcome::NotRun(ErrorKind::EndpointDown),
                    _ => Outcome::Answered,
                };
                self.has_backoff |= matches!(outcome, Outcome::NotRun(_));
                if !self.running.iter().any(|(other, _)| *other == id) {
                    self.waiting.push(id);
                }
                self.harness.router.finish(now, id, endpoint, outcome);
                if outcome == Outcome::Answered {
                    self.answered.insert(id);
                    self.waiting.retain(|other| *other != id);
                    self.running.retain(|(other, _)| *other != id);
                }
            }
            Event::Open { pick, open } => {
                if let Some(key) = endpoint(pick) {
                    self.harness.router.set_accepting(now, key, open);
                }
            }
            Event::Remove { pick } => {
                if let Some(key) = endpoint(pick) {
                    self.regions.remove(&key);
                    self.harness.router.remove_endpoint(now, key);
                }
            }
            Event::Report { pick, running } => {
                if let Some(key) = endpoint(pick) {
                    let report = LoadReport {
                        running,
                        ..LoadReport::default()
                    };
                    self.harness.router.record_load(now, key, report);
                }
            }
            Event::Connect { pick } => {
                if let Some(key) = endpoint(pick) {
                    let end = now + Duration::from_secs(2);
                    self.harness.router.record_idle_connection(key, end);
                }
            }
            Event::Finish { .. } => {}
            Event::Advance { millis } => {
                self.harness.now += Duration::from_millis(millis);
                let now = self.harness.now;
                self.harness.router.tick(now);
            }
        }
        for step in self.harness.steps() {
            self.check(step);
        }
        self.check_waiting();
    }

    fn check(&mut self, step: Step) {
        match step {
            Step::Start {
                id,
                endpoint,
                hedge,
            } => {
                assert!(self.may_use(id, endpoint), "outside of the allowed regions");
                let is_first = self.started.insert(id) && !hedge;
                self.waiting.retain(|other| *other != id);
                self.running.push((id, endpoint));
                if is_first && !self.has_backoff && self.is_far(endpoint) {
                    let now = self.harness.now;
                    let router = &self.harness.router;
                    let score = |key| router.endpoint_view(now, key).map_or(f64::MAX, |v| v.score);
                    let near = self.free(id).filter(|key| !self.is_far(*key));
                    let best = near.map(score).fold(f64::MAX, f64::min);
                    assert!(best > NEAR_SCORE, "far although near has room: {best}");
                }
            }
            Step::Cancel { id, endpoint } => {
                self.running.retain(|run| *run != (id, endpoint));
                let is_running = self.running.iter().any(|(other, _)| *other == id);
                if !is_running && !self.answered.contains(&id) {
                    self.waiting.push(id);
                }
            }
            Step::Refuse { id, kind, .. } => {
                self.waiting.retain(|other| *other != id);
                self.running.retain(|(other, _)| *other != id);
                let is_claim = kind == ErrorKind::NoEndpointInRegion
                    || kind == ErrorKind::NoEndpoint
                    || kind == ErrorKind::Saturated;
                if is_claim && !self.has_backoff {
                    assert_eq!(
                        self.free(id).next(),
                        None,
                        "refused with a free slot: {kind:?}"
                    );
                }
            }
        }
    }

    fn is_far(&self, endpoint: EndpointKey) -> bool {
        self.harness.topology.is_divided() && self.regions.get(&endpoint) != Some(&Some(0))
    }

    fn check_waiting(&self) {
        if self.has_backoff {
            return;
        }
        for id in &self.waiting {
            assert_eq!(self.free(*id).next(), None, "a slot is free for {id:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn regions_bind_and_no_slot_stays_free(
        places in proptest::collection::vec(proptest::option::weighted(0.9, 0..3usize), 6),
        fleet in proptest::collection::vec((0..6usize, 1..5u32), 0..14),
        events in proptest::collection::vec(any_event(), 1..200),
    ) {
        let mut places = places;
        places[0] = Some(0);
        let mut world = World::new(&places, &fleet);
        for event in &events {
            world.apply(event);
        }
    }
}

/// Plays one load on a router and returns all its steps.
fn play(mut router: Router, events: &[(u8, u64)]) -> Vec<Step> {
    let mut now = Instant::now();
    let service = router.set_service(now, "guide-lm", ServiceSpec::new().max_queued(6));
    let endpoints: Vec<EndpointKey> = (0..40)
        .map(|n| {
            let spec = EndpointSpec::new(&format!("e{n}"), PLACES[n % 3]).limit(2);
            router.add_endpoint(now, service, spec.cache_tokens(3_000))
        })
        .collect();
    let mut steps = Vec::new();
    let mut running: Vec<(RequestId, EndpointKey)> = Vec::new();
    for (seq, (kind, value)) in (1..).zip(events) {
        let pick = usize::try_from(*value).unwrap_or(0);
        let endpoint = endpoints[pick % endpoints.len()];
        match kind {
            0..=9 => {
                let origin = Incarnation(1);
                let id = RequestId { origin, seq };
                let deadline = now + Duration::from_millis(value % 4_000);
                let account = AccountKey::new(Some(&format!("a{}", value % 4)), 0);
                let class = Class::ALL[pick % 3];
                let mut call = Call::new(id, service, class, deadline).account(account);
                if kind % 3 == 0 {
                    call = call.tokens(700).prefix(value % 9);
                }
                router.submit(now, call);
            }
            10..=15 if !running.is_empty() => {
                let (id, at) = running.swap_remove(pick % running.len());
                let outcome = match value % 9 {
                    0 => Outcome::Failed(ErrorKind::EndpointBroken),
                    1 => Outcome::NotRun(ErrorKind::Saturated),
                    2 => Outcome::NotRun(ErrorKind::EndpointDown),
                    _ => Outcome::Answered,
                };
                router.finish(now, id, at, outcome);
            }
            16 => router.set_accepting(now, endpoint, value % 3 > 0),
            17 => {
                let report = LoadReport {
                    running: u32::try_from(value % 7).unwrap_or(0),
                    slowness: Some(60 + u32::try_from(value % 300).unwrap_or(0)),
                    ..LoadReport::default()
                };
                router.record_load(now, endpoint, report);
            }
            18 => router.record_idle_connection(endpoint, now + Duration::from_secs(2)),
            _ => {
                now += Duration::from_millis(value % 120);
                router.tick(now);
            }
        }
        while let Some(step) = router.next_step() {
            match step {
                Step::Start { id, endpoint, .. } => running.push((id, endpoint)),
                Step::Cancel { id, endpoint } => running.retain(|run| *run != (id, endpoint)),
                Step::Refuse { id, .. } => running.retain(|(other, _)| *other != id),
            }
            steps.push(step);
        }
    }
    steps
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    // Guards against regions that change decisions where there is only one.
    #[test]
    fn one_region_decides_as_none(
        events in proptest::collection::vec((0..24u8, any::<u64>()), 50..800),
        seed in any::<u64>(),
    ) {
        let one = [("senec", "zapad"), ("trnava", "zapad"), ("kosice", "zapad")];
        let router = |mode| Router::new("senec", seed).contention(Contention::new(mode, false));
        for mode in [Mode::Off, Mode::On] {
            let before = play(router(mode), &events);
            let regional = router(mode).topology(topology(&one));
            prop_assert_eq!(&before, &play(regional, &events));
            let unset = router(mode).topology(topology(&[]));
            prop_assert_eq!(&before, &play(unset, &events));
        }
    }
}
