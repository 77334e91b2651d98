//! Processes that compete for one duty, over a table whose answers get lost.
//!
//! Virtual time advances in steps of 100 ms. Each process does one thing at a
//! time; its messages are delayed or get no answer, and it may be paused for up
//! to 20 s without noticing.

use hibiscusroad::lease::{Lease, LeaseRow, LeaseTimes, NextAction};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const STEP_DURATION: Duration = Duration::from_millis(100);
const CANDIDATES: usize = 4;

#[derive(Default)]
struct Table {
    row: Option<(u64, LeaseRow)>,
}

impl Table {
    fn write(&mut self, version: u64, row: LeaseRow) -> Option<u64> {
        let current = self.row.as_ref().map_or(0, |(version, _)| *version);
        if current != version {
            return None;
        }
        self.row = Some((version + 1, row));
        Some(version + 1)
    }
}

/// A message in transit to the table; its answer arrives at `answered_at` unless
/// it is lost.
struct Message {
    arrives_at: u32,
    answered_at: Option<u32>,
    write: Option<(u64, LeaseRow)>,
}

enum Answer {
    Read(Option<(u64, LeaseRow)>),
    Written(Option<u64>),
}

struct Candidate {
    lease: Lease,
    pause_steps: u32,
    answer: Option<(u32, Answer)>,
    times_out_at: u32,
    is_waiting: bool,
    is_writing: bool,
}

/// Random faults of one process at one step.
#[derive(Clone, Copy, Debug)]
struct StepFaults {
    request_delay: u32,
    answer_delay: u32,
    answer_lost: bool,
    pause_steps: u32,
}

fn step_faults() -> impl Strategy<Value = StepFaults> {
    let pause_steps = prop_oneof![40 => Just(0_u32), 1 => 1_u32..200];
    let request_delay = prop_oneof![8 => Just(0_u32), 1 => 1_u32..60];
    (
        request_delay,
        0_u32..5,
        prop::bool::weighted(0.2),
        pause_steps,
    )
        .prop_map(
            |(request_delay, answer_delay, answer_lost, pause_steps)| StepFaults {
                request_delay,
                answer_delay,
                answer_lost,
                pause_steps,
            },
        )
}

/// Steps after which a process stops waiting for an answer.
const TIMEOUT_STEPS: u32 = 15;

struct World {
    start: Instant,
    step: u32,
    table: Table,
    candidates: Vec<Candidate>,
    messages: Vec<(usize, Message)>,
}

impl World {
    fn new() -> Self {
        let candidate = |n| Candidate {
            lease: Lease::new(&format!("entry-{n}"), LeaseTimes::new()),
            pause_steps: 0,
            answer: None,
            times_out_at: 0,
            is_waiting: false,
            is_writing: false,
        };
        Self {
            start: Instant::now(),
            step: 0,
            table: Table::default(),
            candidates: (0..CANDIDATES).map(candidate).collect(),
            messages: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP_DURATION * self.step
    }

    fn holders(&self) -> Vec<u64> {
        let now = self.now();
        let tokens = self.candidates.iter().map(|c| c.lease.fencing_token(now));
        tokens.flatten().collect()
    }

    fn advance(&mut self, faults: &[StepFaults]) {
        self.step += 1;
        self.deliver();
        for (n, faults) in faults.iter().enumerate() {
            self.candidates[n].pause_steps = self.candidates[n].pause_steps.max(faults.pause_steps);
            if self.candidates[n].pause_steps > 0 {
                self.candidates[n].pause_steps -= 1;
                continue;
            }
            self.act(n, *faults);
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(_, m)| m.arrives_at <= self.step);
        self.messages = later;
        for (n, message) in due {
            let answer = match message.write {
                Some((version, row)) => Answer::Written(self.table.write(version, row)),
                None => Answer::Read(self.table.row.clone()),
            };
            if let Some(at) = message.answered_at {
                self.candidates[n].answer = Some((at, answer));
            }
        }
    }

    fn act(&mut self, n: usize, faults: StepFaults) {
        let (now, step) = (self.now(), self.step);
        let candidate = &mut self.candidates[n];
        if candidate.is_waiting {
            let is_ready = candidate.answer.as_ref().is_some_and(|(at, _)| *at <= step);
            if is_ready {
                let (_, answer) = candidate.answer.take().unwrap();
                candidate.is_waiting = false;
                match answer {
                    Answer::Read(row) => candidate.lease.record_read(now, row),
                    Answer::Written(Some(version)) => candidate.lease.record_write(version),
                    Answer::Written(None) => candidate.lease.record_conflict(),
                }
            } else if step >= candidate.times_out_at {
                candidate.is_waiting = false;
                if candidate.is_writing {
                    candidate.lease.record_failure(now);
                }
            }
            return;
        }
        let write = match candidate.lease.next_action(now) {
            NextAction::Sleep(_) => return,
            NextAction::Read => None,
            NextAction::Write { version, row } => Some((version, row)),
        };
        candidate.is_waiting = true;
        candidate.is_writing = write.is_some();
        candidate.answer = None;
        candidate.times_out_at = step + TIMEOUT_STEPS;
        let arrives_at = step + 1 + faults.request_delay;
        let answer_at = arrives_at + faults.answer_delay;
        // An answer after the timeout is lost, as the client has disconnected.
        let answered_at =
            (!faults.answer_lost && answer_at < candidate.times_out_at).then_some(answer_at);
        self.messages.push((
            n,
            Message {
                arrives_at,
                answered_at,
                write,
            },
        ));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    // At no instant may two processes hold the duty, nor may the fencing token in
    // the table decrease. Once the faults end, a process must acquire the duty.
    #[test]
    fn duty_has_at_most_one_holder(steps in prop::collection::vec(prop::collection::vec(step_faults(), CANDIDATES), 600)) {
        let mut world = World::new();
        let mut fencing_token = 0;
        for faults in &steps {
            world.advance(faults);
            let holders = world.holders();
            prop_assert!(holders.len() <= 1, "{:?} hold at step {}", holders, world.step);
            let seen = world.table.row.as_ref().map_or(0, |(_, row)| row.fencing_token);
            prop_assert!(seen >= fencing_token, "the fencing token decreased");
            fencing_token = seen;
        }
        let no_faults = [StepFaults { request_delay: 0, answer_delay: 0, answer_lost: false, pause_steps: 0 }; CANDIDATES];
        let max_steps = 200 + 60 + 2 * 60 + 20;
        let held = (0..max_steps).any(|_| {
            world.advance(&no_faults);
            world.step > 800 && world.holders().len() == 1
        });
        prop_assert!(held, "nobody holds the duty after the trouble");
    }
}

// A repeated write must not hold the duty from the time of the repetition: the
// first copy may have taken effect earlier, and candidates measure from then.
#[test]
fn repeated_first_write_holds_from_its_first_sending() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut first = Lease::new("entry-0", LeaseTimes::new());
    let mut second = Lease::new("entry-1", LeaseTimes::new());

    first.record_read(at(0), None);
    let NextAction::Write { version: 0, row } = first.next_action(at(0)) else {
        panic!("the row is free");
    };
    first.record_failure(at(1500));
    assert_eq!(first.next_action(at(2000)), NextAction::Read);
    first.record_read(at(2000), None);
    second.record_read(at(2100), Some((1, row.clone())));

    assert!(matches!(
        first.next_action(at(7000)),
        NextAction::Write { version: 0, .. }
    ));
    first.record_conflict();
    assert_eq!(first.next_action(at(7010)), NextAction::Read);
    first.record_read(at(7020), Some((1, row.clone())));
    assert_eq!(first.fencing_token(at(7020)), None);

    second.record_read(at(8050), Some((1, row)));
    let NextAction::Write { version: 1, row } = second.next_action(at(8110)) else {
        panic!("the lease has expired");
    };
    second.record_write(2);
    assert_eq!(row.fencing_token, 2);
    assert_eq!(second.fencing_token(at(8120)), Some(2));
    assert_eq!(first.fencing_token(at(8120)), None);
}

// The same for the takeover of a dead holder's row, whose version the process
// read repeatedly between the first copy and the repetition.
#[test]
fn repeated_takeover_write_holds_from_its_first_sending() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let dead = LeaseRow {
        holder: "entry-9".to_owned(),
        fencing_token: 4,
        renewals: 7,
    };
    let mut first = Lease::new("entry-0", LeaseTimes::new());
    let mut second = Lease::new("entry-1", LeaseTimes::new());

    first.record_read(at(0), Some((5, dead.clone())));
    first.record_read(at(5900), Some((5, dead.clone())));
    let NextAction::Write { version: 5, row } = first.next_action(at(6000)) else {
        panic!("the lease has expired");
    };
    first.record_failure(at(7500));
    for ms in [8000, 9900, 11_900, 13_900] {
        first.record_read(at(ms), Some((5, dead.clone())));
    }
    second.record_read(at(14_000), Some((6, row.clone())));

    assert!(matches!(
        first.next_action(at(15_500)),
        NextAction::Write { version: 5, .. }
    ));
    first.record_conflict();
    first.record_read(at(15_510), Some((6, row.clone())));
    second.record_read(at(19_900), Some((6, row)));
    let NextAction::Write { version: 6, row } = second.next_action(at(20_000)) else {
        panic!("the lease has expired");
    };
    second.record_write(7);
    assert_eq!(row.fencing_token, 6);
    assert_eq!(second.fencing_token(at(20_010)), Some(6));
    assert_eq!(first.fencing_token(at(20_010)), None);
}

// After an outage longer than the lease, the previous holder must not wait for its
// own row to expire, but acquire it at once with a new token. Others still wait.
#[test]
fn holder_reacquires_its_own_row_after_an_outage() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut holder = Lease::new("a/1", LeaseTimes::new().with_ttl(Duration::from_secs(3)));
    assert_eq!(holder.next_action(start), NextAction::Read);
    holder.record_read(start, None);
    let NextAction::Write { row, .. } = holder.next_action(start) else {
        panic!("a free duty is claimed");
    };
    holder.record_write(7);
    assert_eq!(holder.fencing_token(at(100)), Some(1));
    holder.record_failure(at(9_000));
    assert_eq!(holder.fencing_token(at(9_000)), None);
    assert_eq!(holder.next_action(at(9_000)), NextAction::Read);
    holder.record_read(at(9_010), Some((7, row.clone())));
    let NextAction::Write {
        version,
        row: again,
    } = holder.next_action(at(9_010))
    else {
        panic!("its own row is claimed");
    };
    assert_eq!((version, again.fencing_token), (7, 2));
    let mut other = Lease::new("b/1", LeaseTimes::new().with_ttl(Duration::from_secs(3)));
    assert_eq!(other.next_action(at(9_010)), NextAction::Read);
    other.record_read(at(9_010), Some((7, row)));
    assert!(matches!(other.next_action(at(9_010)), NextAction::Sleep(_)));
}

/// Two live processes that suspect each other, and the table between them.
struct Contenders {
    now: Instant,
    table: Table,
    leases: [Lease; 2],
}

impl Contenders {
    fn new() -> Self {
        let lease = |name| Lease::new(name, LeaseTimes::new());
        Self {
            now: Instant::now(),
            table: Table::default(),
            leases: [lease("a/1"), lease("b/1")],
        }
    }

    /// Performs the next action of one process; unless `answered`, the answer to its
    /// write is lost.
    fn act(&mut self, n: usize, answered: bool) {
        let lease = &mut self.leases[n];
        match lease.next_action(self.now) {
            NextAction::Sleep(_) => {}
            NextAction::Read => lease.record_read(self.now, self.table.row.clone()),
            NextAction::Write { version, row } => match self.table.write(version, row) {
                _ if !answered => lease.record_failure(self.now),
                Some(version) => lease.record_write(version),
                None => lease.record_conflict(),
            },
        }
    }

    /// Lets both processes run for `duration`; returns how often the holder changed.
    fn advance(&mut self, duration: Duration) -> u64 {
        let initial_token = self.fencing_token();
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP_DURATION;
            self.act(0, true);
            self.act(1, true);
        }
        self.fencing_token() - initial_token
    }

    fn fencing_token(&self) -> u64 {
        self.table
            .row
            .as_ref()
            .map_or(0, |(_, row)| row.fencing_token)
    }
}

// Two live processes that suspect each other must not take the duty from each other
// repeatedly: each suspicion may change the holder once.
#[test]
fn suspicion_ends_with_its_holding() {
    let mut contenders = Contenders::new();
    contenders.advance(Duration::from_secs(4));
    let holder = |contenders: &Contenders| {
        usize::from(contenders.leases[1].fencing_token(contenders.now).is_some())
    };
    for suspicions in 1..=2 {
        let (old, new) = (holder(&contenders), 1 - holder(&contenders));
        let held = contenders.leases[new].other_holding().unwrap();
        assert_eq!(held.holder, ["a/1", "b/1"][old]);
        contenders.leases[new].suspect(held);
        let changes = contenders.advance(Duration::from_secs(10));
        assert_eq!(changes, 1, "after {suspicions} suspicions");
        assert_eq!(holder(&contenders), new);
    }
    assert_eq!(contenders.advance(Duration::from_mins(1)), 0);
}

// The same if the answer to the write that takes the duty is lost and the process
// finds its own row by a read.
#[test]
fn mutual_suspicion_with_lost_answers_settles() {
    let mut contenders = Contenders::new();
    contenders.advance(Duration::from_secs(4));
    for n in [1, 0, 1] {
        let before = contenders.fencing_token();
        let held = contenders.leases[n].other_holding().unwrap();
        contenders.leases[n].suspect(held);
        contenders.act(n, false);
        contenders.advance(Duration::from_secs(10));
        assert_eq!(contenders.fencing_token(), before + 1);
    }
    assert_eq!(contenders.advance(Duration::from_mins(1)), 0);
}
