//! A model of entries, links and an endpoint around one gate, in virtual time.
//!
//! Frames of one link arrive in order, but links have different delays, so that
//! a frame on an old link may arrive after any other. After each operation the
//! gate's answers are checked against what the endpoint did.

use hibiscusroad::{
    ErrorKind, Incarnation, Repeat, RequestId,
    gate::{
        Admission, AttemptState, Frame, Gate, GateLimits, GateLoad, Head, LinkKey, StartRequest,
        Step,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

/// Bytes of the largest chunk of an answer.
pub const MAX_CHUNK_BYTES: u64 = 64;

/// Small limits, which short histories reach.
pub const LIMITS: GateLimits = GateLimits {
    max_running: 3,
    max_buffered: 256,
    max_unacked: 160,
    max_replay: 96,
    max_retained: 5,
    reattach_timeout: Duration::from_secs(5),
    retention: Duration::from_mins(10),
};

/// A frame from an entry about an attempt.
#[derive(Clone, Copy, Debug)]
pub enum EntryFrame {
    Start { once: bool, timeout_ms: u64 },
    Seal,
    Attach { offset: u64 },
    Ack { unacked: u64, done: bool },
    Cancel,
}

/// One operation of a history. A number selects an existing item, modulo their
/// count.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// An entry opens a link.
    Open { entry: usize },
    /// An entry sends a frame, which stays in transit.
    Send {
        link: usize,
        origin: usize,
        seq: u64,
        frame: EntryFrame,
    },
    /// The first frame in transit is duplicated.
    Repeat { link: usize },
    /// The first frame in transit arrives.
    Deliver { link: usize },
    /// A link breaks.
    Break { link: usize },
    /// The endpoint sends status and headers.
    Head { call: usize },
    /// The endpoint sends bytes of its answer.
    Bytes { call: usize, chunks: u64, size: u64 },
    /// The endpoint completes its answer.
    Finish { call: usize },
    /// A call fails.
    Fail { call: usize, unreachable: bool },
    /// Time passes, with or without heartbeats.
    Wait { duration_ms: u64, heartbeats: bool },
    /// The sidecar starts or stops refusing new work.
    SetDraining { draining: bool },
}

#[derive(Debug)]
struct Link {
    key: LinkKey,
    entry: usize,
    epoch: u64,
    in_transit: VecDeque<(RequestId, EntryFrame)>,
    /// The expected offset of the next chunk of each answer.
    next_offsets: BTreeMap<RequestId, u64>,
    /// Attempts whose Start arrived, whose answer may begin at offset 0 again.
    restartable: BTreeSet<RequestId>,
}

/// A call to the endpoint, which the gate started.
#[derive(Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
struct Call {
    once: bool,
    open: bool,
    finished: bool,
    /// Whether the endpoint was not reached, so that the attempt had no effect.
    not_reached: bool,
    paused: bool,
    aborted: bool,
    length: u64,
}

/// The gate under test and the model of its surroundings.
pub struct World {
    pub gate: Gate,
    now: Instant,
    epochs: [u64; 2],
    /// The highest epoch of each entry on which a frame arrived.
    newest_epochs: [u64; 2],
    links: Vec<Link>,
    calls: BTreeMap<RequestId, Call>,
    reported_not_run: BTreeSet<RequestId>,
    draining: bool,
}

fn incarnation(entry: usize) -> Incarnation {
    Incarnation(entry as u64 + 1)
}

/// The bytes of an attempt's answer.
fn answer_bytes(id: RequestId, offset: u64, size: u64) -> Vec<u8> {
    let seed = id.origin.0 * 31 + id.seq * 7;
    let bytes = (offset..offset + size).map(|at| (seed + at * 13) % 251);
    bytes.map(|byte| u8::try_from(byte).unwrap()).collect()
}

impl World {
    pub fn new() -> Self {
        Self {
            gate: Gate::new(LIMITS),
            now: Instant::now(),
            epochs: [0; 2],
            newest_epochs: [0; 2],
            links: Vec::new(),
            calls: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            draining: false,
        }
    }

    pub fn run(ops: &[Op]) {
        let mut world = Self::new();
        for op in ops {
            world.apply(*op);
            world.check();
        }
        world.finish_all();
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Open { entry } => self.open(entry % 2),
            Op::Send {
                link,
                origin: entry,
                seq,
                frame,
            } => {
                let id = RequestId {
                    origin: incarnation(entry % 2),
                    seq,
                };
                if let Some(link) = self.link(link) {
                    link.in_transit.push_back((id, frame));
                }
            }
            Op::Repeat { link } => {
                if let Some(link) = self.link(link) {
                    link.in_transit.extend(link.in_transit.front().copied());
                }
            }
            Op::Deliver { link } => self.deliver(link),
            Op::Break { link } => self.break_link(link),
            Op::Head { call } => {
                let head = Head {
                    status: 200,
                    headers: Vec::new(),
                };
                if let Some(id) = self.open_call(call) {
                    self.gate.receive_head(id, head);
                }
            }
            Op::Bytes { call, chunks, size } => {
                for _ in 0..chunks {
                    self.send_bytes(call, size % MAX_CHUNK_BYTES + 1);
                    self.run_steps();
                }
            }
            Op::Finish { call } => {
                if let Some(id) = self.open_call(call).filter(|id| !self.calls[id].paused) {
                    self.finish(id);
                }
            }
            Op::Fail { call, unreachable } => self.fail(call, unreachable),
            Op::Wait {
                duration_ms,
                heartbeats,
            } => self.wait(Duration::from_millis(duration_ms), heartbeats),
            Op::SetDraining { draining } => {
                self.draining = draining;
                self.gate.set_draining(draining);
            }
        }
        self.run_steps();
    }

    fn open(&mut self, entry: usize) {
        self.epochs[entry] += 1;
        let epoch = self.epochs[entry];
        let key = self.gate.open_link(self.now, incarnation(entry), epoch);
        self.links.push(Link {
            key,
            entry,
            epoch,
            in_transit: VecDeque::new(),
            next_offsets: BTreeMap::new(),
            restartable: BTreeSet::new(),
        });
    }

    fn link(&mut self, index: usize) -> Option<&mut Link> {
        let count = self.links.len();
        self.links.get_mut(index.checked_rem(count)?)
    }

    fn open_call(&self, index: usize) -> Option<RequestId> {
        let open: Vec<_> = self.calls.iter().filter(|(_, call)| call.open).collect();
        let index = index.checked_rem(open.len())?;
        Some(*open[index].0)
    }

    fn deliver(&mut self, link: usize) {
        let Some(link) = self.link(link) else {
            return;
        };
        let (key, epoch, entry) = (link.key, link.epoch, link.entry);
        let Some((id, frame)) = link.in_transit.pop_front() else {
            return;
        };
        let is_open = self.gate.receive_frame(self.now, key);
        self.run_steps();
        if !is_open {
            return;
        }
        self.newest_epochs[entry] = self.newest_epochs[entry].max(epoch);
        let newest = self.newest_epochs[entry] == epoch;
        match frame {
            EntryFrame::Start { once, timeout_ms } => self.start(key, newest, id, once, timeout_ms),
            EntryFrame::Seal => self.gate.seal_and_report(self.now, key, id),
            EntryFrame::Attach { offset } => self.attach(key, newest, id, offset),
            EntryFrame::Ack { unacked, done } => {
                let length = self.calls.get(&id).map_or(0, |call| call.length);
                let offset = length.saturating_sub(unacked);
                self.gate.ack(self.now, key, id, offset, done);
            }
            EntryFrame::Cancel => self.gate.cancel(self.now, key, id),
        }
    }

    fn start(&mut self, key: LinkKey, newest: bool, id: RequestId, once: bool, timeout_ms: u64) {
        let deadline = self.now + Duration::from_millis(timeout_ms);
        let repeat = if once {
            Repeat::Once
        } else {
            Repeat::Idempotent
        };
        let request = StartRequest {
            id,
            deadline,
            repeat,
        };
        if let Some(link) = self.links.iter_mut().find(|link| link.key == key && newest) {
            link.next_offsets.entry(id).or_insert(0);
            link.restartable.insert(id);
        }
        if self.gate.start(self.now, key, request) != Admission::Run {
            return;
        }
        assert!(newest, "{id} started from an old link");
        assert!(!self.draining, "{id} started while draining");
        assert!(timeout_ms > 0, "{id} started past its deadline");
        assert!(
            !self.reported_not_run.contains(&id),
            "{id} started after \"not run\""
        );
        let call = Call {
            once,
            open: true,
            ..Call::default()
        };
        assert!(self.calls.insert(id, call).is_none(), "{id} ran twice");
    }

    fn attach(&mut self, key: LinkKey, newest: bool, id: RequestId, offset: u64) {
        let length = self.calls.get(&id).map_or(0, |call| call.length);
        let offset = offset.min(length);
        if newest {
            self.expect_answer(key, id, offset);
        }
        self.gate.attach(self.now, key, id, offset);
    }

    fn expect_answer(&mut self, key: LinkKey, id: RequestId, offset: u64) {
        let mut links = self.links.iter_mut();
        if let Some(link) = links.find(|link| link.key == key) {
            link.next_offsets.insert(id, offset);
        }
    }

    fn break_link(&mut self, link: usize) {
        if let Some(index) = link.checked_rem(self.links.len()) {
            let link = self.links.remove(index);
            self.gate.remove_link(self.now, link.key);
        }
    }

    /// Sends bytes of an answer unless its reading is paused.
    fn send_bytes(&mut self, index: usize, size: u64) {
        let Some(id) = self.open_call(index) else {
            return;
        };
        let call = self.calls.get_mut(&id).unwrap();
        if call.paused || call.aborted {
            return;
        }
        let data = answer_bytes(id, call.length, size);
        call.length += size;
        self.gate.receive_bytes(id, data.into());
    }

    fn finish(&mut self, id: RequestId) {
        let call = self.calls.get_mut(&id).unwrap();
        call.open = false;
        call.finished = !call.aborted;
        if call.aborted {
            self.gate.fail(self.now, id, ErrorKind::OutcomeUnknown);
        } else {
            self.gate.finish(self.now, id, Vec::new());
        }
    }

    fn fail(&mut self, index: usize, unreachable: bool) {
        let Some(id) = self.open_call(index) else {
            return;
        };
        let call = self.calls.get_mut(&id).unwrap();
        call.open = false;
        call.not_reached = unreachable && call.length == 0 && !call.aborted;
        let kind = if call.not_reached {
            ErrorKind::EndpointDown
        } else {
            ErrorKind::EndpointBroken
        };
        self.gate.fail(self.now, id, kind);
    }

    fn wait(&mut self, duration: Duration, heartbeats: bool) {
        let until = self.now + duration;
        while self.now < until {
            let step = if heartbeats {
                Duration::from_millis(400)
            } else {
                duration
            };
            self.now = until.min(self.now + step);
            if heartbeats {
                for link in &self.links {
                    if self.gate.receive_frame(self.now, link.key) {
                        let newest = &mut self.newest_epochs[link.entry];
                        *newest = link.epoch.max(*newest);
                    }
                }
            }
            self.gate.tick(self.now);
            self.run_steps();
        }
    }

    fn run_steps(&mut self) {
        while let Some(step) = self.gate.next_step() {
            match step {
                Step::Send { link, frame } => self.check_frame(link, frame),
                Step::Abort { id } => {
                    let call = self.calls.get_mut(&id).unwrap();
                    assert!(!call.once, "{id} may run only once and was cut off");
                    call.aborted = true;
                    call.paused = false;
                }
                Step::Pause { id } => self.calls.get_mut(&id).unwrap().paused = true,
                Step::Resume { id } => self.calls.get_mut(&id).unwrap().paused = false,
                Step::Close { link, .. } => self.links.retain(|row| row.key != link),
            }
        }
    }

    fn check_frame(&mut self, key: LinkKey, frame: Frame) {
        let link = self.links.iter_mut().find(|link| link.key == key);
        let link = link.expect("a frame for a closed link");
        match frame {
            Frame::Head { id, .. } => assert!(self.calls.contains_key(&id)),
            Frame::Chunk { id, chunk } => {
                let size = chunk.data.len() as u64;
                let next_offset = link
                    .next_offsets
                    .get_mut(&id)
                    .expect("an answer nobody asked for");
                if chunk.offset == 0 && link.restartable.remove(&id) {
                    *next_offset = 0;
                }
                assert_eq!(
                    chunk.offset, *next_offset,
                    "{id} has a gap or repeats bytes"
                );
                assert_eq!(*chunk.data, answer_bytes(id, chunk.offset, size), "{id}");
                *next_offset += size;
            }
            Frame::End { id, length, .. } => {
                assert!(self.calls[&id].finished, "{id} has not ended");
                assert_eq!(length, self.calls[&id].length);
                assert_eq!(link.next_offsets[&id], length, "{id} is short");
            }
            Frame::Refused { id, kind } if kind.answer().not_run => self.check_not_run(id),
            Frame::Refused { .. } => {}
            Frame::State { id, state } => self.check_state(id, state),
        }
    }

    fn check_state(&mut self, id: RequestId, state: AttemptState) {
        let call = self.calls.get(&id);
        match state {
            AttemptState::Sealed => self.check_not_run(id),
            AttemptState::Running => assert!(call.is_some_and(|call| call.open)),
            AttemptState::Done => assert!(call.is_some_and(|call| call.finished)),
            AttemptState::Lost => {}
        }
    }

    fn check_not_run(&mut self, id: RequestId) {
        let call = self.calls.get(&id);
        let ran = call.is_some_and(|call| !call.not_reached);
        assert!(!ran, "{id} is called \"not run\" and ran");
        self.reported_not_run.insert(id);
    }

    fn check(&self) {
        let load = self.gate.load();
        let max_buffered = LIMITS.max_buffered
            + LIMITS.max_running as usize * usize::try_from(MAX_CHUNK_BYTES).unwrap();
        assert!(
            load.buffered <= max_buffered,
            "{} bytes are buffered",
            load.buffered
        );
        assert!(load.running <= LIMITS.max_running, "{} calls", load.running);
        let open_calls = self.calls.values().filter(|call| call.open).count();
        assert_eq!(load.running as usize, open_calls);
        let any_paused = self.calls.values().any(|call| call.paused && call.open);
        assert!(
            !any_paused || load.buffered > LIMITS.max_unacked / 2,
            "paused for no reason"
        );
    }

    /// Ends all calls and links, and checks that the gate's state is empty.
    fn finish_all(&mut self) {
        while !self.links.is_empty() {
            self.apply(Op::Break { link: 0 });
        }
        self.wait(LIMITS.reattach_timeout + Duration::from_secs(1), false);
        for (id, call) in &self.calls {
            assert!(!(call.open && call.paused), "{id} is paused for nobody");
            assert!(
                call.once || !call.open || call.aborted,
                "{id} runs on for nobody"
            );
        }
        while let Some(id) = self.open_call(0) {
            self.finish(id);
        }
        self.wait(LIMITS.retention + Duration::from_mins(1), false);
        self.wait(Duration::from_mins(2), false);
        let max_running = LIMITS.max_running;
        assert_eq!(
            self.gate.load(),
            GateLoad {
                max_running,
                ..GateLoad::default()
            }
        );
        assert_eq!(self.gate.next_tick(), None);
        assert!(self.gate.is_idle(self.now));
    }
}
