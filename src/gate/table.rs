//! The tables of a gate and the events that change them.

use crate::{
    class::Repeat,
    error::ErrorKind,
    gate::{
        Admission, Ask, FencingTokens, Frame, GateSpec, LinkKey, OrderRefusal, Standing, Step,
        attempt::{Attempt, Body, Reader},
        retained::RetainedAnswers,
        tombstone::{Tombstone, Tombstones},
    },
    id::{Incarnation, RequestId},
};
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};

/// A link from an entry.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) entry: Incarnation,
    epoch: u64,
    /// Whether its epoch was above those of all earlier links of its entry;
    /// none before the first frame.
    fresh: Option<bool>,
    /// When the last frame came.
    pub(super) heard: Instant,
}

/// Decides what starts at one endpoint, and keeps the answers.
#[derive(Debug)]
pub struct Gate {
    pub(super) spec: GateSpec,
    pub(super) leaving: bool,
    pub(super) links: SlotMap<LinkKey, Link>,
    pub(super) attempts: BTreeMap<RequestId, Attempt>,
    pub(super) retained: RetainedAnswers,
    pub(super) tombstones: Tombstones,
    /// Calls open at the endpoint, those being aborted included.
    pub(super) calls: BTreeSet<RequestId>,
    pub(super) paused: BTreeSet<RequestId>,
    /// Bytes kept in all.
    pub(super) held: usize,
    pub(super) swept: Option<Instant>,
    fencing_tokens: FencingTokens,
    steps: VecDeque<Step>,
}

impl Gate {
    /// Creates an open gate that knows nothing.
    #[must_use]
    pub fn new(spec: GateSpec) -> Self {
        Self {
            spec,
            leaving: false,
            links: SlotMap::with_key(),
            attempts: BTreeMap::new(),
            retained: RetainedAnswers::default(),
            tombstones: Tombstones::default(),
            calls: BTreeSet::new(),
            paused: BTreeSet::new(),
            held: 0,
            swept: None,
            fencing_tokens: FencingTokens::default(),
            steps: VecDeque::new(),
        }
    }

    /// Takes in the link of an entry that said hello.
    ///
    /// Starts are taken only from the link with the entry's highest epoch: a
    /// connection that an entry has given up may still deliver what was sent
    /// on it, after the entry was told that the attempt is sealed. The epoch
    /// counts from the first frame after Hello, which shows that the entry was
    /// welcomed: one that gave up waiting for the welcome goes on with the older
    /// link, and all its Starts would be refused.
    pub fn open(&mut self, now: Instant, entry: Incarnation, epoch: u64) -> LinkKey {
        self.links.insert(Link {
            entry,
            epoch,
            fresh: None,
            heard: now,
        })
    }

    /// Notes that any frame came over a link.
    ///
    /// Returns false if the link is closed. A process that was stopped finds
    /// frames of any age in its sockets when it goes on; the silence it sees
    /// then closes the link before the first of them is looked at.
    pub fn heard(&mut self, now: Instant, link: LinkKey) -> bool {
        if self.is_silent(now, link) {
            self.close(now, link);
        }
        let Some(row) = self.links.get_mut(link) else {
            return false;
        };
        row.heard = now;
        if row.fresh.is_none() {
            row.fresh = Some(self.tombstones.record_epoch(row.entry, row.epoch));
        }
        true
    }

    /// Notes that a link broke. What runs for its entry goes on for the grace.
    pub fn lost(&mut self, now: Instant, link: LinkKey) {
        if self.links.remove(link).is_none() {
            return;
        }
        let until = now + self.spec.grace;
        let readers = self.attempts.values_mut().flat_map(|row| &mut row.readers);
        for reader in readers.filter(|reader| reader.link == Some(link)) {
            reader.link = None;
            reader.expires_at = Some(until);
        }
    }

    /// Decides whether an attempt starts.
    ///
    /// Made for several entries that share one endpoint and each know the
    /// others' load late: the limit keeps the endpoint from more than it works
    /// on at once, and the refusal costs the entry one round trip, after which
    /// it places the call elsewhere.
    pub fn start(&mut self, now: Instant, link: LinkKey, ask: Ask) -> Admission {
        if self.is_known(ask.id) {
            if !self.is_reading(link, ask.id) {
                self.attach(now, link, ask.id, 0);
            }
            return Admission::Known;
        }
        if let Err(kind) = self.may_start(now, link, ask) {
            if kind.answer().not_run {
                self.seal_as(now, ask.id, kind);
            }
            self.send(link, Frame::Refused { id: ask.id, kind });
            return Admission::Refused(kind);
        }
        let run_once = ask.repeat == Repeat::Once;
        let mut attempt = Attempt {
            run_once,
            done: false,
            replayable: run_once,
            deadline: Some(ask.deadline),
            retained_since: now,
            body: Body::default(),
            readers: Vec::new(),
        };
        attempt.readers.extend(self.reader(link, 0));
        self.attempts.insert(ask.id, attempt);
        self.calls.insert(ask.id);
        Admission::Run
    }

    /// Sends what is kept of an attempt from `offset` on, and what follows.
    ///
    /// An unknown attempt is sealed: the frame that should have started it was
    /// lost with its link, and the entry may place the call elsewhere. A frame
    /// from a link that a newer one has replaced is dropped: it would draw the
    /// answer back to the connection that the entry has given up.
    pub fn attach(&mut self, now: Instant, link: LinkKey, id: RequestId, offset: u64) {
        let Some(reader) = self.reader(link, offset) else {
            return;
        };
        if !self.is_newest(link) {
            return;
        }
        self.wake(now, id);
        let Some(row) = self.attempts.get_mut(&id) else {
            self.answer_ended(now, link, id);
            return;
        };
        row.readers.retain(|other| other.entry != reader.entry);
        if offset < row.body.start() || offset > row.body.length() {
            let standing = Standing::Lost;
            self.send(link, Frame::Standing { id, standing });
            self.settle(now, id);
            return;
        }
        row.readers.push(reader);
        for frame in row.body.replay(id, offset) {
            self.steps.push_back(Step::Send { link, frame });
        }
        self.settle_flow(id);
    }

    /// Notes that an entry has all bytes below `offset` and, if `done`, needs
    /// the answer no longer.
    pub fn ack(&mut self, now: Instant, link: LinkKey, id: RequestId, offset: u64, done: bool) {
        let (Some(from), Some(row)) = (self.links.get(link), self.attempts.get_mut(&id)) else {
            return;
        };
        let entry = from.entry;
        let offset = offset.min(row.body.length());
        let mine = row.readers.iter_mut().find(|reader| reader.entry == entry);
        if let Some(reader) = mine {
            reader.acked = reader.acked.max(offset);
        }
        if done && row.done {
            row.readers.retain(|reader| reader.entry != entry);
            row.retained_since = now;
        }
        self.settle(now, id);
    }

    /// Notes that an entry no longer wants an attempt.
    ///
    /// One that may run only once runs on: a call that is cut off may have
    /// taken effect, and the answer is what tells the caller who asks again.
    pub fn cancel(&mut self, now: Instant, link: LinkKey, id: RequestId) {
        let Some(entry) = self.links.get(link).map(|row| row.entry) else {
            return;
        };
        if !self.is_known(id) {
            self.seal(now, id);
            return;
        }
        if let Some(row) = self.attempts.get_mut(&id) {
            row.readers.retain(|reader| reader.entry != entry);
        }
        self.settle(now, id);
    }

    /// Makes sure that an unknown attempt never starts, and says what is known.
    pub fn seal(&mut self, now: Instant, id: RequestId) -> Standing {
        if let Some(row) = self.attempts.get(&id) {
            return if row.done {
                Standing::Done
            } else {
                Standing::Running
            };
        }
        if self.retained.contains(id) {
            return Standing::Done;
        }
        if let Some(tombstone) = self.tombstones.get(id) {
            return tombstone.standing();
        }
        if self.tombstones.may_have_run(id) {
            return Standing::Lost;
        }
        self.seal_as(now, id, ErrorKind::EndpointDown);
        Standing::Sealed
    }

    /// Seals an attempt unless it is known, and tells the entry what became of
    /// it.
    pub fn ask(&mut self, now: Instant, link: LinkKey, id: RequestId) {
        let standing = self.seal(now, id);
        self.send(link, Frame::Standing { id, standing });
    }

    /// Decides whether an order may reach the engine.
    ///
    /// # Errors
    ///
    /// Returns why it must not; it surely had no effect then.
    pub fn order(&mut self, link: LinkKey, duty: &str, token: u64) -> Result<(), OrderRefusal> {
        if !self.is_newest(link) {
            return Err(OrderRefusal::OldLink);
        }
        self.fencing_tokens.admit(duty, token)
    }

    /// Notes the fencing number that stands in a duty's lease row.
    pub fn learn(&mut self, duty: &str, token: u64) {
        self.fencing_tokens.record(duty, token);
    }

    /// Returns the highest fencing number known.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fencing_tokens.highest()
    }

    /// Takes out the next step, if there is one.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    pub(super) fn push(&mut self, step: Step) {
        self.steps.push_back(step);
    }

    pub(super) fn seal_as(&mut self, now: Instant, id: RequestId, kind: ErrorKind) {
        self.tombstones.add(
            now,
            id,
            Tombstone {
                started: false,
                kind,
            },
        );
    }

    fn is_known(&self, id: RequestId) -> bool {
        self.attempts.contains_key(&id)
            || self.retained.contains(id)
            || self.tombstones.get(id).is_some()
    }

    /// Says whether an attempt's answer goes to this link already, so that a
    /// repeated Start needs nothing.
    fn is_reading(&self, link: LinkKey, id: RequestId) -> bool {
        let readers = self.attempts.get(&id).map(|row| &row.readers);
        readers.is_some_and(|all| all.iter().any(|reader| reader.link == Some(link)))
    }

    fn is_newest(&self, link: LinkKey) -> bool {
        let row = self.links.get(link);
        row.is_some_and(|row| {
            row.fresh == Some(true) && self.tombstones.is_newest_epoch(row.entry, row.epoch)
        })
    }

    fn may_start(&self, now: Instant, link: LinkKey, ask: Ask) -> Result<(), ErrorKind> {
        if self.tombstones.may_have_run(ask.id) {
            return Err(ErrorKind::OutcomeUnknown);
        }
        if self.leaving {
            return Err(ErrorKind::Stopping);
        }
        let origin = self.links.get(link).map(|row| row.entry);
        if origin.is_some_and(|entry| entry != ask.id.origin) {
            return Err(ErrorKind::BadRequest);
        }
        if ask.deadline <= now {
            return Err(ErrorKind::Expired);
        }
        if !self.is_newest(link) {
            return Err(ErrorKind::EndpointDown);
        }
        if self.tombstones.may_be_sealed(ask.id) || self.calls.len() >= self.spec.limit as usize {
            return Err(ErrorKind::Saturated);
        }
        Ok(())
    }

    fn reader(&self, link: LinkKey, acked: u64) -> Option<Reader> {
        self.links.get(link).map(|row| Reader {
            entry: row.entry,
            link: Some(link),
            acked,
            expires_at: None,
        })
    }

    /// Makes a kept answer an attempt again, for an entry that reads it.
    fn wake(&mut self, now: Instant, id: RequestId) {
        if let Some(body) = self.retained.remove(id) {
            let attempt = Attempt {
                run_once: true,
                done: true,
                replayable: true,
                deadline: None,
                retained_since: now,
                body,
                readers: Vec::new(),
            };
            self.attempts.insert(id, attempt);
        }
    }

    /// Answers an entry that attaches to what is not running and not kept.
    fn answer_ended(&mut self, now: Instant, link: LinkKey, id: RequestId) {
        let standing = self.seal(now, id);
        let frame = match self.tombstones.get(id) {
            Some(Tombstone { kind, .. }) => Frame::Refused { id, kind },
            None => Frame::Standing { id, standing },
        };
        self.send(link, frame);
    }

    pub(super) fn send(&mut self, link: LinkKey, frame: Frame) {
        if self.links.contains_key(link) {
            self.push(Step::Send { link, frame });
        }
    }

    /// Sends a frame to all entries that read an attempt's answer.
    pub(super) fn tell(&mut self, id: RequestId, frame: &Frame) {
        let readers = self.attempts.get(&id).map_or(&[][..], |row| &row.readers);
        let links = readers.iter().filter_map(|reader| reader.link);
        self.steps.extend(links.map(|link| Step::Send {
            link,
            frame: frame.clone(),
        }));
    }
}
