//! The state of a gate and the frames that change it.

use crate::{
    class::Repeat,
    error::ErrorKind,
    gate::{
        Admission, AttemptState, FencingTokens, Frame, GateLimits, LinkKey, OrderRefusal,
        StartRequest, Step,
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
    /// Whether its epoch was higher than those of all earlier links of its
    /// entry; none before the first frame.
    raised_epoch: Option<bool>,
    /// When the last frame arrived.
    pub(super) last_frame: Instant,
}

/// Decides which attempts start at one endpoint, and buffers the answers.
#[derive(Debug)]
pub struct Gate {
    pub(super) limits: GateLimits,
    /// Whether new work is refused.
    pub(super) draining: bool,
    pub(super) links: SlotMap<LinkKey, Link>,
    pub(super) attempts: BTreeMap<RequestId, Attempt>,
    pub(super) retained: RetainedAnswers,
    pub(super) tombstones: Tombstones,
    /// Calls open at the endpoint, those being aborted included.
    pub(super) open_calls: BTreeSet<RequestId>,
    /// Attempts whose answers are not being read from the endpoint for now.
    pub(super) paused: BTreeSet<RequestId>,
    /// Bytes of all attempts and retained answers.
    pub(super) buffered: usize,
    pub(super) last_tick: Option<Instant>,
    fencing_tokens: FencingTokens,
    steps: VecDeque<Step>,
}

impl Gate {
    /// Creates a gate that admits work and knows no attempts.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            limits,
            draining: false,
            links: SlotMap::with_key(),
            attempts: BTreeMap::new(),
            retained: RetainedAnswers::default(),
            tombstones: Tombstones::default(),
            open_calls: BTreeSet::new(),
            paused: BTreeSet::new(),
            buffered: 0,
            last_tick: None,
            fencing_tokens: FencingTokens::default(),
            steps: VecDeque::new(),
        }
    }

    /// Adds the link of an entry that sent Hello.
    ///
    /// Only the link with an entry's highest epoch may start attempts. A
    /// connection that the entry has replaced may still deliver an old Start
    /// after the entry was told that the attempt is sealed.
    ///
    /// The epoch takes effect with the first frame after Hello, which shows that
    /// the entry received the welcome. An entry that timed out waiting for it
    /// continues on the older link, whose Starts must be admitted.
    pub fn open_link(&mut self, now: Instant, entry: Incarnation, epoch: u64) -> LinkKey {
        self.links.insert(Link {
            entry,
            epoch,
            raised_epoch: None,
            last_frame: now,
        })
    }

    /// Records that a frame arrived on a link; returns false if the link is
    /// closed.
    ///
    /// Closes the link if it was silent for too long. A process that was
    /// suspended finds frames of any age in its sockets when it resumes, and
    /// must not act on them.
    pub fn receive_frame(&mut self, now: Instant, link: LinkKey) -> bool {
        if self.is_silent(now, link) {
            self.close_link(now, link);
        }
        let Some(link) = self.links.get_mut(link) else {
            return false;
        };
        link.last_frame = now;
        if link.raised_epoch.is_none() {
            link.raised_epoch = Some(self.tombstones.record_epoch(link.entry, link.epoch));
        }
        true
    }

    /// Handles the loss of a link. Its entry may attach to its attempts again
    /// for a limited time.
    pub fn remove_link(&mut self, now: Instant, link: LinkKey) {
        if self.links.remove(link).is_none() {
            return;
        }
        let expires_at = now + self.limits.reattach_timeout;
        let readers = self
            .attempts
            .values_mut()
            .flat_map(|attempt| &mut attempt.readers);
        for reader in readers.filter(|reader| reader.link == Some(link)) {
            reader.link = None;
            reader.expires_at = Some(expires_at);
        }
    }

    /// Decides whether an attempt starts.
    ///
    /// Several entries share the endpoint and know of each other's load only
    /// late, so the limit is enforced here. A refusal costs the entry one round
    /// trip, after which it places the call elsewhere.
    pub fn start(&mut self, now: Instant, link: LinkKey, request: StartRequest) -> Admission {
        if self.is_known(request.id) {
            if !self.is_reading(link, request.id) {
                self.attach(now, link, request.id, 0);
            }
            return Admission::Known;
        }
        if let Err(kind) = self.check_start(now, link, request) {
            if kind.answer().not_run {
                self.add_seal(now, request.id, kind);
            }
            self.send(
                link,
                Frame::Refused {
                    id: request.id,
                    kind,
                },
            );
            return Admission::Refused(kind);
        }
        let run_once = request.repeat == Repeat::Once;
        let mut attempt = Attempt {
            run_once,
            done: false,
            replayable: run_once,
            deadline: Some(request.deadline),
            retained_since: now,
            body: Body::default(),
            readers: Vec::new(),
        };
        attempt.readers.extend(self.reader_on(link, 0));
        self.attempts.insert(request.id, attempt);
        self.open_calls.insert(request.id);
        Admission::Run
    }

    /// Sends the buffered answer of an attempt from `offset` on, and what
    /// follows.
    ///
    /// An unknown attempt is sealed: its Start was lost with its link, and the
    /// entry may place the call elsewhere. A frame from a link that a newer one
    /// has replaced is ignored, since it would move the answer back to it.
    pub fn attach(&mut self, now: Instant, link: LinkKey, id: RequestId, offset: u64) {
        let Some(reader) = self.reader_on(link, offset) else {
            return;
        };
        if !self.is_newest(link) {
            return;
        }
        self.restore_retained(now, id);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            self.report_ended(now, link, id);
            return;
        };
        attempt.readers.retain(|other| other.entry != reader.entry);
        if offset < attempt.body.start() || offset > attempt.body.length() {
            let state = AttemptState::Lost;
            self.send(link, Frame::State { id, state });
            self.update_attempt(now, id);
            return;
        }
        attempt.readers.push(reader);
        for frame in attempt.body.replay(id, offset) {
            self.steps.push_back(Step::Send { link, frame });
        }
        self.update_flow(id);
    }

    /// Records that an entry has all bytes below `offset` and, if `done`, the
    /// complete answer.
    pub fn ack(&mut self, now: Instant, link: LinkKey, id: RequestId, offset: u64, done: bool) {
        let (Some(link), Some(attempt)) = (self.links.get(link), self.attempts.get_mut(&id)) else {
            return;
        };
        let entry = link.entry;
        let offset = offset.min(attempt.body.length());
        let reader = attempt
            .readers
            .iter_mut()
            .find(|reader| reader.entry == entry);
        if let Some(reader) = reader {
            reader.acked = reader.acked.max(offset);
        }
        if done && attempt.done {
            attempt.readers.retain(|reader| reader.entry != entry);
            attempt.retained_since = now;
        }
        self.update_attempt(now, id);
    }

    /// Handles that an entry no longer wants an attempt.
    ///
    /// One that may run only once continues: aborting the call would not undo
    /// its effect, and its answer is retained for a repeat of the request.
    pub fn cancel(&mut self, now: Instant, link: LinkKey, id: RequestId) {
        let Some(entry) = self.links.get(link).map(|link| link.entry) else {
            return;
        };
        if !self.is_known(id) {
            self.seal(now, id);
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.readers.retain(|reader| reader.entry != entry);
        }
        self.update_attempt(now, id);
    }

    /// Returns the state of an attempt; seals it if it is unknown.
    pub fn seal(&mut self, now: Instant, id: RequestId) -> AttemptState {
        if let Some(attempt) = self.attempts.get(&id) {
            return if attempt.done {
                AttemptState::Done
            } else {
                AttemptState::Running
            };
        }
        if self.retained.contains(id) {
            return AttemptState::Done;
        }
        if let Some(tombstone) = self.tombstones.get(id) {
            return tombstone.state();
        }
        if self.tombstones.may_have_run(id) {
            return AttemptState::Lost;
        }
        self.add_seal(now, id, ErrorKind::EndpointDown);
        AttemptState::Sealed
    }

    /// Seals an attempt if it is unknown, and sends its state to the entry.
    pub fn seal_and_report(&mut self, now: Instant, link: LinkKey, id: RequestId) {
        let state = self.seal(now, id);
        self.send(link, Frame::State { id, state });
    }

    /// Decides whether an order may reach the engine.
    ///
    /// # Errors
    ///
    /// Returns why the order is refused; it had no effect then.
    pub fn admit_order(
        &mut self,
        link: LinkKey,
        duty: &str,
        token: u64,
    ) -> Result<(), OrderRefusal> {
        if !self.is_newest(link) {
            return Err(OrderRefusal::SupersededLink);
        }
        self.fencing_tokens.admit(duty, token)
    }

    /// Records the fencing token in a duty's lease row.
    pub fn record_token(&mut self, duty: &str, token: u64) {
        self.fencing_tokens.record(duty, token);
    }

    /// Returns the highest known fencing token of any duty, or 0.
    #[must_use]
    pub fn highest_token(&self) -> u64 {
        self.fencing_tokens.highest()
    }

    /// Removes and returns the next step that the sidecar has to carry out.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    pub(super) fn push_step(&mut self, step: Step) {
        self.steps.push_back(step);
    }

    /// Adds the tombstone of an attempt that never starts.
    pub(super) fn add_seal(&mut self, now: Instant, id: RequestId, kind: ErrorKind) {
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

    /// Returns whether an attempt's answer is already sent on this link.
    fn is_reading(&self, link: LinkKey, id: RequestId) -> bool {
        let readers = self.attempts.get(&id).map(|attempt| &attempt.readers);
        readers.is_some_and(|readers| readers.iter().any(|reader| reader.link == Some(link)))
    }

    fn is_newest(&self, link: LinkKey) -> bool {
        let link = self.links.get(link);
        link.is_some_and(|link| {
            link.raised_epoch == Some(true)
                && self.tombstones.is_newest_epoch(link.entry, link.epoch)
        })
    }

    fn check_start(
        &self,
        now: Instant,
        link: LinkKey,
        request: StartRequest,
    ) -> Result<(), ErrorKind> {
        if self.tombstones.may_have_run(request.id) {
            return Err(ErrorKind::OutcomeUnknown);
        }
        if self.draining {
            return Err(ErrorKind::Stopping);
        }
        let origin = self.links.get(link).map(|link| link.entry);
        if origin.is_some_and(|entry| entry != request.id.origin) {
            return Err(ErrorKind::BadRequest);
        }
        if request.deadline <= now {
            return Err(ErrorKind::Expired);
        }
        if !self.is_newest(link) {
            return Err(ErrorKind::EndpointDown);
        }
        if self.tombstones.may_be_sealed(request.id)
            || self.open_calls.len() >= self.limits.max_running as usize
        {
            return Err(ErrorKind::Saturated);
        }
        Ok(())
    }

    /// Returns a reader for the entry of a link; none if the link is closed.
    fn reader_on(&self, link: LinkKey, acked: u64) -> Option<Reader> {
        self.links.get(link).map(|row| Reader {
            entry: row.entry,
            link: Some(link),
            acked,
            expires_at: None,
        })
    }

    /// Makes a retained answer an attempt again, so that an entry can read it.
    fn restore_retained(&mut self, now: Instant, id: RequestId) {
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

    /// Sends the outcome of an attempt that has no buffered answer.
    fn report_ended(&mut self, now: Instant, link: LinkKey, id: RequestId) {
        let state = self.seal(now, id);
        let frame = match self.tombstones.get(id) {
            Some(Tombstone { kind, .. }) => Frame::Refused { id, kind },
            None => Frame::State { id, state },
        };
        self.send(link, frame);
    }

    pub(super) fn send(&mut self, link: LinkKey, frame: Frame) {
        if self.links.contains_key(link) {
            self.push_step(Step::Send { link, frame });
        }
    }

    /// Sends a frame to all entries that read an attempt's answer.
    pub(super) fn send_to_readers(&mut self, id: RequestId, frame: &Frame) {
        let readers = self
            .attempts
            .get(&id)
            .map_or(&[][..], |attempt| &attempt.readers);
        let links = readers.iter().filter_map(|reader| reader.link);
        self.steps.extend(links.map(|link| Step::Send {
            link,
            frame: frame.clone(),
        }));
    }
}
