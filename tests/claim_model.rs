//! Claims in a small world whose parts fail at any moment.
//!
//! Two entries get requests under one idempotency key, at the same time and
//! again and again. The table loses answers, writes late, or is down; messages
//! to sides wait as long as they like; entries and sides crash. Whatever the
//! order: the request runs at most once, and a caller that was told "not run"
//! had no run of its own request, not even later.

use hibiscusroad::{
    Incarnation, RequestId,
    claim::{Action, Batch, Claim, Fate, Holder, Job, Said, Verdict, row_key},
};
use proptest::{collection::vec, prelude::*};
use std::collections::{BTreeMap, BTreeSet};

const SIDES: usize = 2;
const BODY: u64 = 77;
const NOW: u64 = 1_000_000;

/// One thing that happens; the numbers choose among what there is.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request comes in at an entry.
    Arrive(usize),
    /// A request takes its next step, with the table in this mood.
    Step(usize, Mood),
    /// A Start reaches its side.
    Deliver(usize),
    /// A write that was given up takes effect after all.
    Late(usize),
    /// A run ends with a whole answer.
    Finish(usize),
    /// An entry dies with all its requests.
    CrashEntry(usize),
    /// A side dies and comes back knowing nothing.
    CrashSide(usize),
}

/// How the table treats a write.
#[derive(Clone, Copy, Debug)]
enum Mood {
    Well,
    /// It writes, and the answer is lost.
    Mute,
    /// It writes much later, and the answer is lost.
    Slow,
    /// It writes nothing, and the answer is lost.
    Deaf,
    Down,
}

fn mood() -> impl Strategy<Value = Mood> {
    prop_oneof![
        6 => Just(Mood::Well),
        1 => Just(Mood::Mute),
        1 => Just(Mood::Slow),
        1 => Just(Mood::Deaf),
        1 => Just(Mood::Down),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let n = 0..8_usize;
    prop_oneof![
        3 => n.clone().prop_map(Event::Arrive),
        12 => (n.clone(), mood()).prop_map(|(i, mood)| Event::Step(i, mood)),
        4 => n.clone().prop_map(Event::Deliver),
        1 => n.clone().prop_map(Event::Late),
        2 => n.clone().prop_map(Event::Finish),
        1 => n.clone().prop_map(Event::CrashEntry),
        1 => n.prop_map(Event::CrashSide),
    ]
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Sealed,
    Running,
    Done,
}

#[derive(Debug, Default)]
struct Side {
    incarnation: u64,
    attempts: BTreeMap<RequestId, State>,
}

struct Request {
    holder: Holder,
    next: Action,
    batch: Batch,
    /// Attempts that are its own.
    attempts: BTreeSet<RequestId>,
    /// The attempt that was sent and whose answer is awaited.
    sent: Option<Claim>,
    /// What its caller was told: whether it surely did not run.
    told: Option<bool>,
}

#[derive(Default)]
struct World {
    row: Option<Vec<u8>>,
    late: Vec<Job>,
    starts: Vec<Claim>,
    sides: [Side; SIDES],
    /// Open requests, each with its entry.
    requests: Vec<(usize, Request)>,
    closed: Vec<Request>,
    runs: BTreeSet<RequestId>,
    lives: [u64; 2],
    seq: u64,
}

impl World {
    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(i) => self.arrive(i % 2),
            Event::Step(i, mood) if !self.requests.is_empty() => {
                self.step(i % self.requests.len(), mood);
            }
            Event::Deliver(i) if !self.starts.is_empty() => {
                let start = self.starts.remove(i % self.starts.len());
                self.deliver(&start);
            }
            Event::Late(i) if !self.late.is_empty() => {
                let job = self.late.remove(i % self.late.len());
                self.write(&job);
            }
            Event::Finish(i) => {
                for state in self.sides[i % SIDES].attempts.values_mut() {
                    if *state == State::Running {
                        *state = State::Done;
                    }
                }
            }
            Event::CrashEntry(i) => {
                self.lives[i % 2] += 1;
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
            holder: Holder::new(BODY),
            next: Action::Place,
            batch: Batch::new(),
            attempts: BTreeSet::new(),
            sent: None,
            told: None,
        };
        self.requests.push((entry, request));
    }

    fn step(&mut self, i: usize, mood: Mood) {
        let (entry, mut request) = self.requests.swap_remove(i);
        match request.next.clone() {
            Action::Place => self.place(entry, &mut request),
            Action::Write(claim, expect) => self.claim(&mut request, &claim, expect, mood),
            Action::Run(claim) => self.run(&mut request, claim),
            Action::Ask(claim) => self.ask(&mut request, &claim),
            Action::Follow(_) => request.told = Some(false),
            Action::Refuse(kind) => request.told = Some(kind.answer().not_run),
        }
        if request.told.is_some() {
            self.closed.push(request);
        } else {
            self.requests.push((entry, request));
        }
    }

    fn place(&mut self, entry: usize, request: &mut Request) {
        self.seq += 1;
        let attempt = RequestId {
            origin: Incarnation(self.lives[entry] * 2 + entry as u64),
            seq: self.seq,
        };
        let side = usize::try_from(self.seq).unwrap_or_default() % SIDES;
        request.attempts.insert(attempt);
        request.next = request.holder.place(Claim {
            attempt,
            side: side.to_string(),
            incarnation: self.sides[side].incarnation,
            address: "127.0.0.1:1".parse().expect("an address"),
            body: BODY,
            created: NOW,
        });
    }

    fn claim(&mut self, request: &mut Request, claim: &Claim, expect: Option<Vec<u8>>, mood: Mood) {
        if request.batch.jobs().is_empty() {
            let key = row_key("hut-desk", "k");
            let claim = claim.clone();
            let job = Job { key, claim, expect };
            assert_eq!(request.batch.add(job), None);
        }
        let job = request.batch.jobs()[0].clone();
        let said = match mood {
            Mood::Well if self.write(&job) => Said::Committed,
            Mood::Well => {
                let row = self.row.clone().map(|row| (job.key.clone(), row));
                Said::Conflict(row.into_iter().collect())
            }
            Mood::Mute => {
                self.write(&job);
                Said::Unknown
            }
            Mood::Slow => {
                self.late.push(job);
                Said::Unknown
            }
            Mood::Deaf => Said::Unknown,
            Mood::Down => Said::Down,
        };
        for (job, verdict) in request.batch.settle(said) {
            let action = request.holder.written(job.claim.attempt, verdict, NOW);
            request.next = action.expect("the claim was being written");
        }
    }

    fn write(&mut self, job: &Job) -> bool {
        let free = self.row == job.expect;
        if free {
            self.row = Some(job.claim.encode());
        }
        free
    }

    /// Sends the attempt, and then looks at the side until it is decided.
    fn run(&mut self, request: &mut Request, claim: Claim) {
        let Some(sent) = &request.sent else {
            self.starts.push(claim.clone());
            request.sent = Some(claim);
            return;
        };
        let side = &self.sides[side(sent)];
        if side.incarnation != sent.incarnation {
            request.told = Some(false);
            return;
        }
        match side.attempts.get(&sent.attempt) {
            Some(State::Sealed) => {
                request.sent = None;
                request.holder.not_run();
                request.next = Action::Place;
            }
            Some(State::Done) => request.told = Some(false),
            Some(State::Running) | None => {}
        }
    }

    fn ask(&mut self, request: &mut Request, claim: &Claim) {
        let side = &mut self.sides[side(claim)];
        let fate = if side.incarnation == claim.incarnation {
            let sealed = side.attempts.entry(claim.attempt).or_insert(State::Sealed);
            match sealed {
                State::Sealed => Fate::Sealed,
                State::Running | State::Done => Fate::Kept,
            }
        } else {
            Fate::Gone
        };
        let action = request.holder.fate(fate);
        request.next = action.expect("the attempt was asked for");
    }

    fn deliver(&mut self, start: &Claim) {
        let side = &mut self.sides[side(start)];
        if side.incarnation != start.incarnation || side.attempts.contains_key(&start.attempt) {
            return;
        }
        side.attempts.insert(start.attempt, State::Running);
        self.runs.insert(start.attempt);
    }
}

fn side(claim: &Claim) -> usize {
    claim.side.parse().expect("a number")
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    // Two families must not get one hut. A request runs once, whoever else got
    // a copy of it and whatever fails; and "not run" is no lie: the caller
    // would book elsewhere and have two huts.
    #[test]
    fn a_key_runs_at_most_once_and_not_run_is_true(events in vec(event(), 1..80)) {
        let mut world = World::default();
        for event in events {
            world.happen(event);
        }
        for i in 0..64 {
            // What is still on its way arrives in the end.
            world.happen(Event::Deliver(i));
        }
        prop_assert!(world.runs.len() <= 1, "ran {:?}", world.runs);
        for request in world.closed.iter().filter(|r| r.told == Some(true)) {
            let ran = request.attempts.intersection(&world.runs).next();
            prop_assert_eq!(ran, None, "told that it did not run");
        }
    }
}

// Without failures every request under a key is answered from one run. A claim
// that never lets go would pass the test above.
#[test]
fn without_failures_everybody_is_answered() {
    let mut world = World::default();
    for entry in [0, 1, 1, 0] {
        world.arrive(entry);
    }
    for i in 0..200 {
        if !world.requests.is_empty() {
            world.step(i % world.requests.len(), Mood::Well);
        }
        world.happen(Event::Deliver(0));
        world.happen(Event::Finish(i));
    }
    assert_eq!(world.closed.len(), 4);
    assert!(world.closed.iter().all(|r| r.told == Some(false)));
    assert_eq!(world.runs.len(), 1);
}

// One conflict must not fail the other claims of its transaction, and an own
// row that is found after a lost answer counts as won.
#[test]
fn a_batch_decides_each_claim_by_its_own_row() {
    let job = |n: u64| Job {
        key: n.to_string(),
        claim: Claim {
            attempt: RequestId {
                origin: Incarnation(1),
                seq: n,
            },
            side: "0".to_owned(),
            incarnation: 1,
            address: "127.0.0.1:1".parse().expect("an address"),
            body: BODY,
            created: NOW,
        },
        expect: None,
    };
    let mut batch = Batch::new();
    for n in 0..3 {
        assert_eq!(batch.add(job(n)), None);
    }
    assert_eq!(batch.add(job(1)), Some(job(1)));
    assert_eq!(batch.settle(Said::Unknown), []);
    let other = job(9).claim.encode();
    let rows = vec![
        ("0".to_owned(), job(0).claim.encode()),
        ("1".to_owned(), other),
    ];
    let decided = batch.settle(Said::Conflict(rows));
    assert_eq!(decided[0], (job(0), Verdict::Won));
    assert!(matches!(&decided[1].1, Verdict::Held(seen) if seen.is_for(job(9).claim.attempt)));
    assert_eq!(batch.jobs(), [job(2)]);
    assert_eq!(batch.settle(Said::Committed), [(job(2), Verdict::Won)]);
}
