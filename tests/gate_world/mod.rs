//! Entries, links and an endpoint around one gate, in virtual time.
//!
//! Frames of a link arrive in order, but each link has a pace of its own, so
//! that what was sent on an old link may arrive after anything else. After each
//! step the promises of the gate are checked against what really happened.

use hibiscusroad::{
    ErrorKind, Incarnation, Repeat, RequestId,
    gate::{Admission, Ask, Frame, Gate, GateLoad, GateSpec, Head, LinkKey, Standing, Step},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

/// Bytes in one piece of an answer at most.
pub const PIECE: u64 = 64;

/// Small bounds, so that short histories reach them.
pub const SPEC: GateSpec = GateSpec {
    max_running: 3,
    max_buffered: 256,
    max_unacked: 160,
    max_replay: 96,
    max_retained: 5,
    reattach_timeout: Duration::from_secs(5),
    retention: Duration::from_mins(10),
};

/// What an entry sends about an attempt.
#[derive(Clone, Copy, Debug)]
pub enum Sent {
    Start { once: bool, patience: u64 },
    Seal,
    Attach { offset: u64 },
    Ack { behind: u64, done: bool },
    Cancel,
}

/// One step of a history. Numbers choose among what there is, modulo its size.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Open {
        entry: usize,
    },
    Send {
        link: usize,
        origin: usize,
        seq: u64,
        sent: Sent,
    },
    Repeat {
        link: usize,
    },
    Deliver {
        link: usize,
    },
    Break {
        link: usize,
    },
    Head {
        call: usize,
    },
    Bytes {
        call: usize,
        pieces: u64,
        size: u64,
    },
    Finish {
        call: usize,
    },
    Fail {
        call: usize,
        down: bool,
    },
    Wait {
        millis: u64,
        beats: bool,
    },
    Leave {
        leaving: bool,
    },
}

#[derive(Debug)]
struct Link {
    key: LinkKey,
    entry: usize,
    epoch: u64,
    wire: VecDeque<(RequestId, Sent)>,
    /// The next offset that each answer must go on with.
    next: BTreeMap<RequestId, u64>,
    /// Attempts whose Start came, after which an answer may begin anew.
    anew: BTreeSet<RequestId>,
}

/// What really became of an attempt that the gate let start.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "facts that go together freely"
)]
struct Truth {
    once: bool,
    open: bool,
    finished: bool,
    /// The endpoint was never reached, so the attempt had no effect.
    unreached: bool,
    paused: bool,
    aborted: bool,
    length: u64,
}

/// A gate and all that is around it.
pub struct World {
    pub gate: Gate,
    now: Instant,
    epochs: [u64; 2],
    /// The highest epochs that a frame came over.
    heard: [u64; 2],
    links: Vec<Link>,
    ran: BTreeMap<RequestId, Truth>,
    not_run: BTreeSet<RequestId>,
    leaving: bool,
}

fn origin(entry: usize) -> Incarnation {
    Incarnation(entry as u64 + 1)
}

/// The bytes of an attempt's answer.
fn original(id: RequestId, offset: u64, size: u64) -> Vec<u8> {
    let seed = id.origin.0 * 31 + id.seq * 7;
    let bytes = (offset..offset + size).map(|at| (seed + at * 13) % 251);
    bytes.map(|byte| u8::try_from(byte).unwrap()).collect()
}

impl World {
    pub fn new() -> Self {
        Self {
            gate: Gate::new(SPEC),
            now: Instant::now(),
            epochs: [0; 2],
            heard: [0; 2],
            links: Vec::new(),
            ran: BTreeMap::new(),
            not_run: BTreeSet::new(),
            leaving: false,
        }
    }

    pub fn run(ops: &[Op]) {
        let mut world = Self::new();
        for op in ops {
            world.apply(*op);
            world.check();
        }
        world.end();
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Open { entry } => self.open(entry % 2),
            Op::Send {
                link,
                origin: entry,
                seq,
                sent,
            } => {
                let id = RequestId {
                    origin: origin(entry % 2),
                    seq,
                };
                if let Some(link) = self.link(link) {
                    link.wire.push_back((id, sent));
                }
            }
            Op::Repeat { link } => {
                if let Some(link) = self.link(link) {
                    link.wire.extend(link.wire.front().copied());
                }
            }
            Op::Deliver { link } => self.deliver(link),
            Op::Break { link } => self.break_link(link),
            Op::Head { call } => {
                let head = Head {
                    status: 200,
                    headers: Vec::new(),
                };
                if let Some(id) = self.call(call) {
                    self.gate.head(id, head);
                }
            }
            Op::Bytes { call, pieces, size } => {
                for _ in 0..pieces {
                    self.bytes(call, size % PIECE + 1);
                    self.carry_out();
                }
            }
            Op::Finish { call } => {
                if let Some(id) = self.call(call).filter(|id| !self.ran[id].paused) {
                    self.finish(id);
                }
            }
            Op::Fail { call, down } => self.fail(call, down),
            Op::Wait { millis, beats } => self.wait(Duration::from_millis(millis), beats),
            Op::Leave { leaving } => {
                self.leaving = leaving;
                self.gate.set_leaving(leaving);
            }
        }
        self.carry_out();
    }

    fn open(&mut self, entry: usize) {
        self.epochs[entry] += 1;
        let epoch = self.epochs[entry];
        let key = self.gate.open(self.now, origin(entry), epoch);
        self.links.push(Link {
            key,
            entry,
            epoch,
            wire: VecDeque::new(),
            next: BTreeMap::new(),
            anew: BTreeSet::new(),
        });
    }

    fn link(&mut self, link: usize) -> Option<&mut Link> {
        let count = self.links.len();
        self.links.get_mut(link.checked_rem(count)?)
    }

    fn call(&self, call: usize) -> Option<RequestId> {
        let open: Vec<_> = self.ran.iter().filter(|(_, truth)| truth.open).collect();
        let index = call.checked_rem(open.len())?;
        Some(*open[index].0)
    }

    fn deliver(&mut self, link: usize) {
        let Some(link) = self.link(link) else {
            return;
        };
        let (key, epoch, entry) = (link.key, link.epoch, link.entry);
        let Some((id, sent)) = link.wire.pop_front() else {
            return;
        };
        let open = self.gate.heard(self.now, key);
        self.carry_out();
        if !open {
            return;
        }
        self.heard[entry] = self.heard[entry].max(epoch);
        let newest = self.heard[entry] == epoch;
        match sent {
            Sent::Start { once, patience } => self.start(key, newest, id, once, patience),
            Sent::Seal => self.gate.ask(self.now, key, id),
            Sent::Attach { offset } => self.attach(key, newest, id, offset),
            Sent::Ack { behind, done } => {
                let length = self.ran.get(&id).map_or(0, |truth| truth.length);
                let offset = length.saturating_sub(behind);
                self.gate.ack(self.now, key, id, offset, done);
            }
            Sent::Cancel => self.gate.cancel(self.now, key, id),
        }
    }

    fn start(&mut self, key: LinkKey, newest: bool, id: RequestId, once: bool, patience: u64) {
        let deadline = self.now + Duration::from_millis(patience);
        let repeat = if once { Repeat::Once } else { Repeat::Free };
        let ask = Ask {
            id,
            deadline,
            repeat,
        };
        if let Some(link) = self.links.iter_mut().find(|link| link.key == key && newest) {
            link.next.entry(id).or_insert(0);
            link.anew.insert(id);
        }
        if self.gate.start(self.now, key, ask) != Admission::Run {
            return;
        }
        assert!(newest, "{id} started from an old link");
        assert!(!self.leaving, "{id} started while leaving");
        assert!(patience > 0, "{id} started past its deadline");
        assert!(
            !self.not_run.contains(&id),
            "{id} started after \"not run\""
        );
        let truth = Truth {
            once,
            open: true,
            ..Truth::default()
        };
        assert!(self.ran.insert(id, truth).is_none(), "{id} ran twice");
    }

    fn attach(&mut self, key: LinkKey, newest: bool, id: RequestId, offset: u64) {
        let length = self.ran.get(&id).map_or(0, |truth| truth.length);
        let offset = offset.min(length);
        if newest {
            self.expect(key, id, offset);
        }
        self.gate.attach(self.now, key, id, offset);
    }

    fn expect(&mut self, key: LinkKey, id: RequestId, offset: u64) {
        let mut links = self.links.iter_mut();
        if let Some(link) = links.find(|link| link.key == key) {
            link.next.insert(id, offset);
        }
    }

    fn break_link(&mut self, link: usize) {
        if let Some(index) = link.checked_rem(self.links.len()) {
            let link = self.links.remove(index);
            self.gate.lost(self.now, link.key);
        }
    }

    /// An endpoint that is held back sends nothing, as the I/O sees to.
    fn bytes(&mut self, call: usize, size: u64) {
        let Some(id) = self.call(call) else {
            return;
        };
        let truth = self.ran.get_mut(&id).unwrap();
        if truth.paused || truth.aborted {
            return;
        }
        let data = original(id, truth.length, size);
        truth.length += size;
        self.gate.bytes(id, data.into());
    }

    fn finish(&mut self, id: RequestId) {
        let truth = self.ran.get_mut(&id).unwrap();
        truth.open = false;
        truth.finished = !truth.aborted;
        if truth.aborted {
            self.gate.fail(self.now, id, ErrorKind::OutcomeUnknown);
        } else {
            self.gate.finish(self.now, id, Vec::new());
        }
    }

    fn fail(&mut self, call: usize, down: bool) {
        let Some(id) = self.call(call) else {
            return;
        };
        let truth = self.ran.get_mut(&id).unwrap();
        truth.open = false;
        truth.unreached = down && truth.length == 0 && !truth.aborted;
        let kind = if truth.unreached {
            ErrorKind::EndpointDown
        } else {
            ErrorKind::EndpointBroken
        };
        self.gate.fail(self.now, id, kind);
    }

    fn wait(&mut self, time: Duration, beats: bool) {
        let until = self.now + time;
        while self.now < until {
            let step = if beats {
                Duration::from_millis(400)
            } else {
                time
            };
            self.now = until.min(self.now + step);
            if beats {
                for link in &self.links {
                    if self.gate.heard(self.now, link.key) {
                        let heard = &mut self.heard[link.entry];
                        *heard = link.epoch.max(*heard);
                    }
                }
            }
            self.gate.tick(self.now);
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        while let Some(step) = self.gate.next_step() {
            match step {
                Step::Send { link, frame } => self.received(link, frame),
                Step::Abort { id } => {
                    let truth = self.ran.get_mut(&id).unwrap();
                    assert!(!truth.once, "{id} may run only once and was cut off");
                    truth.aborted = true;
                    truth.paused = false;
                }
                Step::Pause { id } => self.ran.get_mut(&id).unwrap().paused = true,
                Step::Resume { id } => self.ran.get_mut(&id).unwrap().paused = false,
                Step::Close { link, .. } => self.links.retain(|row| row.key != link),
            }
        }
    }

    fn received(&mut self, key: LinkKey, frame: Frame) {
        let link = self.links.iter_mut().find(|link| link.key == key);
        let link = link.expect("a frame for a closed link");
        match frame {
            Frame::Head { id, .. } => assert!(self.ran.contains_key(&id)),
            Frame::Chunk { id, chunk } => {
                let size = chunk.data.len() as u64;
                let next = link.next.get_mut(&id).expect("an answer nobody asked for");
                if chunk.offset == 0 && link.anew.remove(&id) {
                    *next = 0;
                }
                assert_eq!(chunk.offset, *next, "{id} has a gap or repeats bytes");
                assert_eq!(*chunk.data, original(id, chunk.offset, size), "{id}");
                *next += size;
            }
            Frame::End { id, length, .. } => {
                assert!(self.ran[&id].finished, "{id} has not ended");
                assert_eq!(length, self.ran[&id].length);
                assert_eq!(link.next[&id], length, "{id} is short");
            }
            Frame::Refused { id, kind } if kind.answer().not_run => self.said_not_run(id),
            Frame::Refused { .. } => {}
            Frame::Standing { id, standing } => self.stands(id, standing),
        }
    }

    fn stands(&mut self, id: RequestId, standing: Standing) {
        let truth = self.ran.get(&id);
        match standing {
            Standing::Sealed => self.said_not_run(id),
            Standing::Running => assert!(truth.is_some_and(|truth| truth.open)),
            Standing::Done => assert!(truth.is_some_and(|truth| truth.finished)),
            Standing::Lost => {}
        }
    }

    fn said_not_run(&mut self, id: RequestId) {
        let truth = self.ran.get(&id);
        let ran = truth.is_some_and(|truth| !truth.unreached);
        assert!(!ran, "{id} is called \"not run\" and ran");
        self.not_run.insert(id);
    }

    fn check(&self) {
        let load = self.gate.load();
        let bound = SPEC.max_buffered + SPEC.max_running as usize * usize::try_from(PIECE).unwrap();
        assert!(load.held <= bound, "{} bytes are held", load.held);
        assert!(load.running <= SPEC.max_running, "{} calls", load.running);
        let open = self.ran.values().filter(|truth| truth.open).count();
        assert_eq!(load.running as usize, open);
        let paused = self.ran.values().any(|truth| truth.paused && truth.open);
        assert!(
            !paused || load.held > SPEC.max_unacked / 2,
            "paused for no reason"
        );
    }

    /// Lets everything end, and checks that nothing is left.
    fn end(&mut self) {
        while !self.links.is_empty() {
            self.apply(Op::Break { link: 0 });
        }
        self.wait(SPEC.reattach_timeout + Duration::from_secs(1), false);
        for (id, truth) in &self.ran {
            assert!(!(truth.open && truth.paused), "{id} is paused for nobody");
            assert!(
                truth.once || !truth.open || truth.aborted,
                "{id} runs on for nobody"
            );
        }
        while let Some(id) = self.call(0) {
            self.finish(id);
        }
        self.wait(SPEC.retention + Duration::from_mins(1), false);
        self.wait(Duration::from_mins(2), false);
        let limit = SPEC.max_running;
        assert_eq!(
            self.gate.load(),
            GateLoad {
                limit,
                ..GateLoad::default()
            }
        );
        assert_eq!(self.gate.next_due(), None);
        assert!(self.gate.is_idle(self.now));
    }
}
