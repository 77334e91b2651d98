//! Claims under random failures of the table, the entries and the sidecars.
//!
//! Two entries receive requests with one idempotency key, concurrently and
//! repeatedly. The table loses answers, writes late, or is down; Starts are
//! delayed; entries and sidecars crash. In any order the request runs at most
//! once, and one that was reported as not run never ran and never will.

use hibiscusroad::{
    Incarnation, RequestId,
    claim::{
        Action, Batch, Claim, ClaimOutcome, ClaimWrite, KeyedRequest, ReportedState, TableAnswer,
        row_key,
    },
};
use proptest::{collection::vec, prelude::*};
use std::collections::{BTreeMap, BTreeSet};

const SIDES: usize = 2;
const FINGERPRINT: u64 = 77;
const NOW: u64 = 1_000_000;

/// One event. A number selects an existing item, modulo their count.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request arrives at an entry.
    Arrive(usize),
    /// A request takes its next step; a write has this outcome.
    Step(usize, WriteOutcome),
    /// A Start arrives at its sidecar.
    Deliver(usize),
    /// A delayed write takes effect.
    DelayedWrite(usize),
    /// A sidecar's running attempts end with a complete answer.
    Finish(usize),
    /// An entry crashes and loses its requests.
    CrashEntry(usize),
    /// A sidecar restarts and loses its attempts.
    CrashSide(usize),
}

/// The outcome of a write to the table.
#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Success,
    /// It takes effect, and the answer is lost.
    AnswerLost,
    /// It takes effect later, and the answer is lost.
    Delayed,
    /// It takes no effect, and no answer comes.
    RequestLost,
    Down,
}

fn write_outcome() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        6 => Just(WriteOutcome::Success),
        1 => Just(WriteOutcome::AnswerLost),
        1 => Just(WriteOutcome::Delayed),
        1 => Just(WriteOutcome::RequestLost),
        1 => Just(WriteOutcome::Down),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let index = 0..8_usize;
    prop_oneof![
        3 => index.clone().prop_map(Event::Arrive),
        12 => (index.clone(), write_outcome()).prop_map(|(i, outcome)| Event::Step(i, outcome)),
        4 => index.clone().prop_map(Event::Deliver),
        1 => index.clone().prop_map(Event::DelayedWrite),
        2 => index.clone().prop_map(Event::Finish),
        1 => index.clone().prop_map(Event::CrashEntry),
        1 => index.prop_map(Event::CrashSide),
    ]
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    Sealed,
    Running,
    Done,
}

#[derive(Debug, Default)]
struct Side {
    incarnation: u64,
    attempts: BTreeMap<RequestId, AttemptState>,
}

struct Request {
    keyed: KeyedRequest,
    next_action: Action,
    batch: Batch,
    /// Its own attempts, as opposed to those of other requests.
    attempts: BTreeSet<RequestId>,
    /// The claim of the attempt that was sent and whose answer is awaited.
    sent_claim: Option<Claim>,
    /// Whether its caller was told that it did not run; none before that.
    reported_not_run: Option<bool>,
}

#[derive(Default)]
struct World {
    row: Option<Vec<u8>>,
    delayed_writes: Vec<ClaimWrite>,
    starts_in_transit: Vec<Claim>,
    sides: [Side; SIDES],
    /// Open requests, each with its entry.
    requests: Vec<(usize, Request)>,
    answered: Vec<Request>,
    runs: BTreeSet<RequestId>,
    incarnations: [u64; 2],
    seq: u64,
}

impl World {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(i) => self.arrive(i % 2),
            Event::Step(i, outcome) if !self.requests.is_empty() => {
                self.step(i % self.requests.len(), outcome);
            }
            Event::Deliver(i) if !self.starts_in_transit.is_empty() => {
                let start = self
                    .starts_in_transit
                    .remove(i % self.starts_in_transit.len());
                self.deliver(&start);
            }
            Event::DelayedWrite(i) if !self.delayed_writes.is_empty() => {
                let claim_write = self.delayed_writes.remove(i % self.delayed_writes.len());
                self.write(&claim_write);
            }
            Event::Finish(i) => {
                for state in self.sides[i % SIDES].attempts.values_mut() {
                    if *state == AttemptState::Running {
                        *state = AttemptState::Done;
                    }
                }
            }
            Event::CrashEntry(i) => {
                self.incarnations[i % 2] += 1;
                self.requests.retain(|(entry, _)| *entry != i % 2);
            }
            Event::CrashSide(i) => {
                let side = &mut self.sides[i % SIDES];
                side.incarnation += 1;
                side.attempts.clear();
            }
            _ => {}
        }
    }

    fn arrive(&mut self, entry: usize) {
        let request = Request {
            keyed: KeyedRequest::new(FINGERPRINT),
            next_action: Action::SelectEndpoint,
            batch: Batch::new(),
            attempts: BTreeSet::new(),
            sent_claim: None,
            reported_not_run: None,
        };
        self.requests.push((entry, request));
    }

    fn step(&mut self, i: usize, outcome: WriteOutcome) {
        let (entry, mut request) = self.requests.swap_remove(i);
        match request.next_action.clone() {
            Action::SelectEndpoint => self.place(entry, &mut request),
            Action::Write(claim, expected) => self.claim(&mut request, &claim, expected, outcome),
            Action::Run(claim) => self.run(&mut request, claim),
            Action::QuerySidecar(claim) => self.ask(&mut request, &claim),
            Action::Follow(_) => request.reported_not_run = Some(false),
            Action::Refuse(kind) => request.reported_not_run = Some(kind.answer().not_run),
        }
        if request.reported_not_run.is_some() {
            self.answered.push(request);
        } else {
            self.requests.push((entry, request));
        }
    }

    fn place(&mut self, entry: usize, request: &mut Request) {
        self.seq += 1;
        let attempt = RequestId {
            origin: Incarnation(self.incarnations[entry] * 2 + entry as u64),
            seq: self.seq,
        };
        let side = usize::try_from(self.seq).unwrap_or_default() % SIDES;
        request.attempts.insert(attempt);
        request.next_action = request.keyed.start_claim(Claim {
            attempt,
            endpoint: side.to_string(),
            incarnation: self.sides[side].incarnation,
            address: "127.0.0.1:1".parse().expect("an address"),
            fingerprint: FINGERPRINT,
            created_ms: NOW,
        });
    }

    fn claim(
        &mut self,
        request: &mut Request,
        claim: &Claim,
        expected: Option<Vec<u8>>,
        outcome: WriteOutcome,
    ) {
        if request.batch.writes().is_empty() {
            let key = row_key("hut-desk", "k");
            let claim = claim.clone();
            let claim_write = ClaimWrite {
                key,
                claim,
                expected,
            };
            assert_eq!(request.batch.add(claim_write), None);
        }
        let claim_write = request.batch.writes()[0].clone();
        let answer = match outcome {
            WriteOutcome::Success if self.write(&claim_write) => TableAnswer::Committed,
            WriteOutcome::Success => {
                let row = self.row.clone().map(|row| (claim_write.key.clone(), row));
                TableAnswer::Conflict(row.into_iter().collect())
            }
            WriteOutcome::AnswerLost => {
                self.write(&claim_write);
                TableAnswer::Unknown
            }
            WriteOutcome::Delayed => {
                self.delayed_writes.push(claim_write);
                TableAnswer::Unknown
            }
            WriteOutcome::RequestLost => TableAnswer::Unknown,
            WriteOutcome::Down => TableAnswer::Down,
        };
        for (claim_write, claim_outcome) in request.batch.apply(answer) {
            let action = request
                .keyed
                .apply_outcome(claim_write.claim.attempt, claim_outcome, NOW);
            request.next_action = action.expect("the claim was being written");
        }
    }

    fn write(&mut self, claim_write: &ClaimWrite) -> bool {
        let matches = self.row == claim_write.expected;
        if matches {
            self.row = Some(claim_write.claim.encode());
        }
        matches
    }

    /// Sends the attempt, and in later steps polls the sidecar for its state.
    fn run(&mut self, request: &mut Request, claim: Claim) {
        let Some(sent) = &request.sent_claim else {
            self.starts_in_transit.push(claim.clone());
            request.sent_claim = Some(claim);
            return;
        };
        let side = &self.sides[side(sent)];
        if side.incarnation != sent.incarnation {
            request.reported_not_run = Some(false);
            return;
        }
        match side.attempts.get(&sent.attempt) {
            Some(AttemptState::Sealed) => {
                request.sent_claim = None;
                request.keyed.mark_not_run();
                request.next_action = Action::SelectEndpoint;
            }
            Some(AttemptState::Done) => request.reported_not_run = Some(false),
            Some(AttemptState::Running) | None => {}
        }
    }

    fn ask(&mut self, request: &mut Request, claim: &Claim) {
        let side = &mut self.sides[side(claim)];
        let reported = if side.incarnation == claim.incarnation {
            let state = side
                .attempts
                .entry(claim.attempt)
                .or_insert(AttemptState::Sealed);
            match state {
                AttemptState::Sealed => ReportedState::Sealed,
                AttemptState::Running | AttemptState::Done => ReportedState::Readable,
            }
        } else {
            ReportedState::SidecarGone
        };
        let action = request.keyed.apply_state(reported);
        request.next_action = action.expect("the attempt was asked for");
    }

    fn deliver(&mut self, start: &Claim) {
        let side = &mut self.sides[side(start)];
        if side.incarnation != start.incarnation || side.attempts.contains_key(&start.attempt) {
            return;
        }
        side.attempts.insert(start.attempt, AttemptState::Running);
        self.runs.insert(start.attempt);
    }
}

fn side(claim: &Claim) -> usize {
    claim.endpoint.parse().expect("a number")
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    // A request must not run twice, and one that was reported as not run must
    // never have run: its caller may place it elsewhere.
    #[test]
    fn request_runs_at_most_once_and_not_run_holds(events in vec(event(), 1..80)) {
        let mut world = World::default();
        for event in events {
            world.apply(event);
        }
        for i in 0..64 {
            // Delivers the Starts that are still in transit.
            world.apply(Event::Deliver(i));
        }
        prop_assert!(world.runs.len() <= 1, "ran {:?}", world.runs);
        for request in world.answered.iter().filter(|r| r.reported_not_run == Some(true)) {
            let ran = request.attempts.intersection(&world.runs).next();
            prop_assert_eq!(ran, None, "told that it did not run");
        }
    }
}

// Without failures every request with a key is answered from one run. The test
// above would also pass if no request were ever answered.
#[test]
fn all_requests_are_answered_without_failures() {
    let mut world = World::default();
    for entry in [0, 1, 1, 0] {
        world.arrive(entry);
    }
    for i in 0..200 {
        if !world.requests.is_empty() {
            world.step(i % world.requests.len(), WriteOutcome::Success);
        }
        world.apply(Event::Deliver(0));
        world.apply(Event::Finish(i));
    }
    assert_eq!(world.answered.len(), 4);
    assert!(
        world
            .answered
            .iter()
            .all(|r| r.reported_not_run == Some(false))
    );
    assert_eq!(world.runs.len(), 1);
}

// One conflict must not fail the other claims of its transaction, and a request's
// own row, found after a lost answer, counts as won.
#[test]
fn batch_decides_each_claim_by_its_own_row() {
    let claim_write = |index: u64| ClaimWrite {
        key: index.to_string(),
        claim: Claim {
            attempt: RequestId {
                origin: Incarnation(1),
                seq: index,
            },
            endpoint: "0".to_owned(),
            incarnation: 1,
            address: "127.0.0.1:1".parse().expect("an address"),
            fingerprint: FINGERPRINT,
            created_ms: NOW,
        },
        expected: None,
    };
    let mut batch = Batch::new();
    for index in 0..3 {
        assert_eq!(batch.add(claim_write(index)), None);
    }
    assert_eq!(batch.add(claim_write(1)), Some(claim_write(1)));
    assert_eq!(batch.apply(TableAnswer::Unknown), []);
    let other = claim_write(9).claim.encode();
    let rows = vec![
        ("0".to_owned(), claim_write(0).claim.encode()),
        ("1".to_owned(), other),
    ];
    let decided = batch.apply(TableAnswer::Conflict(rows));
    assert_eq!(decided[0], (claim_write(0), ClaimOutcome::Won));
    assert!(
        matches!(&decided[1].1, ClaimOutcome::Held(stored) if stored.is_for(claim_write(9).claim.attempt))
    );
    assert_eq!(batch.writes(), [claim_write(2)]);
    assert_eq!(
        batch.apply(TableAnswer::Committed),
        [(claim_write(2), ClaimOutcome::Won)]
    );
}
