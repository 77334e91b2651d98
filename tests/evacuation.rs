//! Evacuated data centres: the order of news, and the endpoints that the roster reports.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId,
    evacuation::{EvacuationChange, EvacuationPhase, EvacuationRow, Evacuations},
    roster::{Endpoint, EndpointChange, Roster},
    route::{Call, EndpointKey, EndpointSpec, Outcome, Router, ServiceKey, ServiceSpec, Step},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

const DATA_CENTRES: [&str; 3] = ["jih", "sever", "vychod"];

fn endpoint(id: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        started_ms: None,
        service: "desk".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: data_centre.to_owned(),
        slots: 2,
        leaving: false,
        cold_remaining: Duration::ZERO,
        evacuated: false,
        weights: Vec::new(),
    }
}

fn row(data_centre: &str, version: u64) -> EvacuationRow {
    EvacuationRow {
        data_centre: data_centre.to_owned(),
        version,
    }
}

fn change(data_centre: &str, phase: EvacuationPhase, version: u64) -> EvacuationChange {
    EvacuationChange {
        data_centre: data_centre.to_owned(),
        phase,
        version,
    }
}

fn known(rows: impl IntoIterator<Item = EvacuationRow>) -> Evacuations {
    let mut evacuations = Evacuations::new();
    evacuations.replace(10, rows);
    evacuations
}

// Guards against an answer that was delayed and reverts what a newer one said.
#[test]
fn late_news_has_no_effect() {
    let mut evacuations = known([row("jih", 5)]);
    assert_eq!(
        evacuations.update(20, [], ["jih"]),
        [change("jih", EvacuationPhase::Ended, 20)]
    );
    assert!(evacuations.update(15, [row("jih", 5)], []).is_empty());
    assert!(evacuations.replace(12, [row("jih", 5)]).is_empty());
    assert!(!evacuations.contains("jih"));
    evacuations.update(22, [row("jih", 22)], []);
    assert!(evacuations.update(21, [], ["jih"]).is_empty());
    assert!(evacuations.replace(21, []).is_empty());
    assert!(evacuations.contains("jih"));
}

// Guards against an evacuation that was ended and started again between two answers, and is
// taken for ended, or for one that goes on under its old version.
#[test]
fn evacuation_that_was_started_again_goes_on() {
    let mut evacuations = known([row("jih", 5)]);
    let renewed = change("jih", EvacuationPhase::Renewed, 14);
    assert_eq!(evacuations.update(14, [row("jih", 14)], ["jih"]), [renewed]);
    assert!(evacuations.contains("jih"));
    assert!(evacuations.update(13, [], ["jih"]).is_empty());
    assert!(evacuations.contains("jih"));
}

// Guards against the mix-up of two data centres in one list.
#[test]
fn one_list_ends_one_evacuation_and_begins_another() {
    let mut evacuations = known([row("jih", 5)]);
    let changes = evacuations.update(12, [row("sever", 12)], ["jih"]);
    assert_eq!(
        changes,
        [
            change("jih", EvacuationPhase::Ended, 12),
            change("sever", EvacuationPhase::Began, 12)
        ]
    );
    assert_eq!(evacuations.iter().collect::<Vec<_>>(), ["sever"]);
}

// Guards against evacuations that ended while no history of the table was kept, and against a
// full read that forgets one that began after it.
#[test]
fn full_read_replaces_what_is_older() {
    let mut evacuations = known([row("jih", 5), row("sever", 6)]);
    evacuations.update(31, [row("vychod", 31)], []);
    assert_eq!(
        evacuations.replace(40, [row("sever", 6), row("vychod", 31)]),
        [change("jih", EvacuationPhase::Ended, 40)]
    );
    evacuations.update(50, [row("jih", 50)], []);
    assert!(evacuations.replace(45, [row("sever", 6)]).is_empty());
    assert_eq!(evacuations.iter().count(), 3);
}

// Guards against a process that sends requests before it has read the evacuations.
#[test]
fn roster_reports_no_endpoint_before_the_evacuations_are_known() {
    let now = Instant::now();
    let mut roster = Roster::new();
    assert!(
        roster
            .replace(now, vec![endpoint("a", "jih"), endpoint("b", "sever")])
            .is_empty()
    );
    assert!(roster.update(endpoint("c", "jih")).is_empty());
    assert_eq!(roster.remove(now, "b"), None);
    assert!(roster.get("a").is_none());
    assert_eq!(roster.iter().count(), 0);
    let update = roster.replace_evacuations(3, [row("jih", 2)]);
    let reported = update.endpoints.iter().filter_map(EndpointChange::updated);
    let mut reported: Vec<(&str, bool)> = reported
        .map(|endpoint| (endpoint.id.as_str(), endpoint.is_open()))
        .collect();
    reported.sort_unstable();
    assert_eq!(reported, [("a", false), ("c", false)]);
}

// Guards against endpoints that register, or come back, in an evacuated data centre, and against
// reports of endpoints that an evacuation doesn't concern.
#[test]
fn roster_marks_endpoints_of_evacuated_data_centres() {
    let mut roster = Roster::new();
    roster.replace_evacuations(1, []);
    roster.update(endpoint("a", "jih"));
    roster.update(endpoint("b", "sever"));
    let update = roster.update_evacuations(4, [row("jih", 4), row("nowhere", 4)], []);
    let evacuated = Endpoint {
        evacuated: true,
        ..endpoint("a", "jih")
    };
    assert_eq!(update.endpoints, [EndpointChange::Updated(evacuated)]);
    assert_eq!(update.evacuations.len(), 2);
    let changes = roster.update(endpoint("c", "nowhere"));
    assert!(changes[0].updated().is_some_and(|c| c.evacuated));
    assert!(roster.update(endpoint("a", "jih")).is_empty());
    let update = roster.update_evacuations(6, [], ["jih"]);
    assert_eq!(
        update.endpoints,
        [EndpointChange::Updated(endpoint("a", "jih"))]
    );
    assert!(roster.get("b").is_some_and(Endpoint::is_open));
}

/// The rows of evacuations in a store, with their history.
#[derive(Debug, Default)]
struct Table {
    version: u64,
    /// Each write: version, data centre, and whether the row exists from then on.
    log: Vec<(u64, &'static str, bool)>,
}

/// An answer of the store that is under way.
#[derive(Debug)]
enum News {
    Read(u64, Vec<EvacuationRow>),
    Changes(u64, Vec<EvacuationRow>, Vec<&'static str>),
}

impl Table {
    fn write(&mut self, data_centre: &'static str, exists: bool) {
        self.version += 1;
        self.log.push((self.version, data_centre, exists));
    }

    fn latest(&self, after: u64) -> BTreeMap<&'static str, (u64, bool)> {
        let log = self.log.iter().filter(|(version, ..)| *version > after);
        log.map(|(version, name, exists)| (*name, (*version, *exists)))
            .collect()
    }

    fn read(&self) -> News {
        let rows = self.latest(0).into_iter().filter(|(_, state)| state.1);
        let rows = rows.map(|(name, state)| row(name, state.0)).collect();
        News::Read(self.version, rows)
    }

    fn changes(&self, after: u64) -> News {
        let latest = self.latest(after);
        let rows = latest.iter().filter(|(_, state)| state.1);
        let rows = rows.map(|(name, state)| row(name, state.0)).collect();
        let removed = latest.iter().filter(|(_, state)| !state.1);
        let removed = removed.map(|(name, _)| *name).collect();
        News::Changes(self.version, rows, removed)
    }

    /// Returns what was evacuated as of a version.
    fn evacuated_at(&self, version: u64) -> BTreeSet<&'static str> {
        let mut evacuated = BTreeSet::new();
        for (_, name, exists) in self.log.iter().filter(|(at, ..)| *at <= version) {
            if *exists {
                evacuated.insert(*name);
            } else {
                evacuated.remove(name);
            }
        }
        evacuated
    }
}

impl News {
    const fn version(&self) -> u64 {
        match self {
            Self::Read(version, _) | Self::Changes(version, ..) => *version,
        }
    }
}

/// A process with a roster and a router, which sends requests as the router decides.
struct Process {
    now: Instant,
    roster: Roster,
    router: Router,
    service: ServiceKey,
    keys: HashMap<String, EndpointKey>,
    /// Calls that wait for a connection, or that run, by their endpoint.
    connecting: Vec<(RequestId, EndpointKey)>,
    running: Vec<(RequestId, EndpointKey)>,
    seq: u64,
}

impl Process {
    fn new() -> Self {
        let now = Instant::now();
        let mut router = Router::new("jih", 7);
        let service = router.set_service(now, "desk", ServiceSpec::new());
        Self {
            now,
            roster: Roster::new(),
            router,
            service,
            keys: HashMap::new(),
            connecting: Vec::new(),
            running: Vec::new(),
            seq: 0,
        }
    }

    fn apply(&mut self, changes: &[EndpointChange]) {
        for change in changes {
            match change {
                EndpointChange::Updated(endpoint) => {
                    let spec = EndpointSpec::new(&endpoint.id, &endpoint.data_centre);
                    let spec = spec.limit(endpoint.slots).accepting(endpoint.is_open());
                    let (now, service, router) = (self.now, self.service, &mut self.router);
                    let key = *self
                        .keys
                        .entry(endpoint.id.clone())
                        .or_insert_with(|| router.add_endpoint(now, service, spec));
                    router.set_evacuated(key, endpoint.evacuated);
                    router.set_accepting(now, key, endpoint.is_open());
                }
                EndpointChange::Removed(id) => {
                    if let Some(key) = self.keys.remove(id) {
                        self.router.remove_endpoint(self.now, key);
                    }
                }
            }
        }
    }

    fn learn(&mut self, news: &News) {
        let update = match news {
            News::Read(version, rows) => self.roster.replace_evacuations(*version, rows.clone()),
            News::Changes(version, rows, removed) => {
                self.roster
                    .update_evacuations(*version, rows.clone(), removed.iter().copied())
            }
        };
        self.apply(&update.endpoints);
    }

    fn submit(&mut self) {
        self.seq += 1;
        let id = RequestId {
            origin: Incarnation(1),
            seq: self.seq,
        };
        let deadline = self.now + Duration::from_mins(10);
        let call = Call::new(id, self.service, Class::Interactive, deadline);
        self.router.submit(self.now, call);
    }

    fn data_centre(&self, key: EndpointKey) -> Option<String> {
        let mut ids = self.keys.iter();
        let (id, _) = ids.find(|(_, known)| **known == key)?;
        Some(self.roster.get(id)?.data_centre.clone())
    }

    fn is_evacuated(&self, key: EndpointKey) -> bool {
        let data_centre = self.data_centre(key);
        data_centre.is_some_and(|name| self.roster.evacuated().any(|known| known == name))
    }

    /// Takes the router's steps; returns the refusals.
    fn settle(&mut self) -> Vec<(ErrorKind, Duration)> {
        let mut refusals = Vec::new();
        while let Some(step) = self.router.next_step() {
            match step {
                Step::Start { id, endpoint, .. } => {
                    self.connecting.push((id, endpoint));
                }
                Step::Cancel { id, endpoint } => {
                    self.connecting.retain(|run| *run != (id, endpoint));
                    self.running.retain(|run| *run != (id, endpoint));
                }
                Step::Refuse {
                    kind, retry_after, ..
                } => refusals.push((kind, retry_after)),
            }
        }
        refusals
    }

    /// Sends what waits for a connection, as the gateway checks it, and returns the data centres.
    fn send(&mut self) -> Vec<String> {
        let mut sent = Vec::new();
        for (id, key) in std::mem::take(&mut self.connecting) {
            if self.is_evacuated(key) {
                let outcome = Outcome::NotRun(ErrorKind::NoEndpoint);
                self.router.finish(self.now, id, key, outcome);
            } else {
                sent.extend(self.data_centre(key));
                self.running.push((id, key));
            }
        }
        sent
    }

    fn answer_all(&mut self) {
        for (id, key) in std::mem::take(&mut self.running) {
            self.router.finish(self.now, id, key, Outcome::Answered);
        }
    }
}

#[derive(Clone, Debug)]
enum Action {
    Write(usize, bool),
    Read,
    Feed,
    Deliver(usize),
    Register(usize, usize),
    Deregister(usize),
    Submit(usize),
    Send,
    Answer,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..DATA_CENTRES.len(), any::<bool>()).prop_map(|(n, exists)| Action::Write(n, exists)),
        1 => Just(Action::Read),
        3 => Just(Action::Feed),
        4 => (0..4_usize).prop_map(Action::Deliver),
        2 => (0..6_usize, 0..DATA_CENTRES.len()).prop_map(|(id, n)| Action::Register(id, n)),
        1 => (0..6_usize).prop_map(Action::Deregister),
        3 => (1..5_usize).prop_map(Action::Submit),
        3 => Just(Action::Send),
        2 => Just(Action::Answer),
    ]
}

proptest! {
    // Guards, for any order of news, against a state that is none of the table's, against a
    // request to a data centre that the process knows to be evacuated, against a refusal while
    // an open endpoint is there, and against a call that waits while none is.
    #[test]
    fn no_request_is_sent_to_a_known_evacuation(actions in prop::collection::vec(action(), 1..120)) {
        let (mut table, mut process) = (Table::default(), Process::new());
        let mut news: Vec<News> = Vec::new();
        let (mut position, mut known_until) = (None, None);
        for action in actions {
            process.now += Duration::from_millis(5);
            match action {
                Action::Write(n, exists) => table.write(DATA_CENTRES[n], exists),
                Action::Read => news.push(table.read()),
                Action::Feed => {
                    // A feed goes on from an answer that was delivered.
                    if let Some(after) = position {
                        news.push(table.changes(after));
                    }
                }
                Action::Deliver(n) => {
                    if news.is_empty() {
                        continue;
                    }
                    let next = news.remove(n % news.len());
                    process.learn(&next);
                    position = Some(next.version());
                    known_until = known_until.max(Some(next.version()));
                }
                Action::Register(id, n) => {
                    let id = format!("e{id}-{n}");
                    let changes = process.roster.update(endpoint(&id, DATA_CENTRES[n]));
                    process.apply(&changes);
                }
                Action::Deregister(id) => {
                    for n in 0..DATA_CENTRES.len() {
                        let change = process.roster.remove(process.now, &format!("e{id}-{n}"));
                        process.apply(change.as_slice());
                    }
                }
                Action::Submit(count) => (0..count).for_each(|_| process.submit()),
                Action::Send => {
                    for name in process.send() {
                        prop_assert!(process.roster.evacuated().all(|known| known != name));
                    }
                }
                Action::Answer => process.answer_all(),
            }
            let evacuated: BTreeSet<&str> = process.roster.evacuated().collect();
            let expected = known_until.map(|version| table.evacuated_at(version));
            prop_assert_eq!(&evacuated, &expected.unwrap_or_default());
            let refusals = process.settle();
            let has_open = process.roster.iter().any(Endpoint::is_open);
            for (kind, retry_after) in refusals {
                prop_assert_eq!(kind, ErrorKind::NoEndpoint);
                prop_assert!(!has_open, "a call is refused beside an open endpoint");
                let is_evacuated = process.roster.iter().any(|known| known.evacuated);
                let about_a_second = Duration::from_millis(700)..Duration::from_millis(1_300);
                prop_assert!(!is_evacuated || about_a_second.contains(&retry_after));
            }
            let waiting = process.router.queued(process.service, Class::Interactive);
            prop_assert!(waiting == 0 || has_open, "calls wait for nothing");
        }
    }
}
