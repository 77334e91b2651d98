//! Connections to sidecars: heartbeats, failure detection and resumption.
//!
//! A connection can go silent while new ones work, and TCP would notice only
//! after minutes, so both ends send heartbeats. A silent connection is replaced
//! before it is dropped: the old one is used until the sidecar has welcomed the
//! new one, so a false alarm costs a connection but no request.
//!
//! Attempts in flight are resumed over the new connection: with Attach at the
//! current offset if the sidecar has sent any frame about them, else with Seal,
//! since the Start may be lost or may still arrive.

use crate::{
    entry::{
        attempt::{COMMITTED_RECONNECT_TIMEOUT, RECONNECT_TIMEOUT},
        side::{Listing, SideKey},
        tables::Tables,
    },
    metrics,
};
use hibiscusroad::{ErrorKind, Repeat, RequestId, config::Document, route::LoadReport};
use hibiscusroad_wire::{Beat, Config, Hello, VERSION, Welcome, to_entry, to_side::Frame};
use std::time::{Duration, Instant};

/// Time between two heartbeats on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Silence after which a connection is suspected: a little less than three
/// heartbeat intervals.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Silence after which a connection is dropped even if no other is open.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a sidecar may take to welcome a new connection.
const WELCOME_TIMEOUT: Duration = Duration::from_secs(1);

/// Gap between two ticks that means that this process was stalled. That time
/// doesn't count as silence of the sidecars.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);

/// Delay before reconnecting to a sidecar with another protocol version, which
/// only a new build changes.
const VERSION_RETRY_DELAY: Duration = Duration::from_secs(5);

/// How long a sidecar that the host list no longer names is kept without a
/// connection.
const UNLISTED_TTL: Duration = Duration::from_secs(5);

impl Tables {
    /// Handles a frame from a sidecar.
    pub(super) fn handle_frame(
        &mut self,
        now: Instant,
        key: SideKey,
        epoch: u64,
        frame: to_entry::Frame,
    ) {
        use to_entry::Frame;
        let Some(side) = self.sides.get_mut(key) else {
            return;
        };
        if side.opening.as_ref().is_some_and(|(l, _)| l.epoch == epoch) {
            if let Frame::Welcome(welcome) = frame {
                self.handle_welcome(now, key, &welcome);
            }
            return;
        }
        if side.link.as_ref().is_none_or(|link| link.epoch != epoch) {
            return;
        }
        side.last_received = now;
        self.clear_suspect(now, key);
        match frame {
            Frame::Head(head) => self.handle_head(now, head),
            Frame::Chunk(chunk) => self.handle_chunk(now, chunk),
            Frame::End(end) => self.handle_end(now, &end),
            Frame::Refused(refused) => self.handle_refused(now, &refused),
            Frame::Standing(standing) => self.handle_standing(now, standing),
            Frame::Beat(beat) => self.handle_heartbeat(now, key, &beat),
            Frame::Config(config) => self.handle_config(now, &config),
            Frame::Welcome(_) | Frame::OrderDone(_) => {}
        }
    }

    /// Handles the end of a connection, or a failure to open it.
    pub(super) fn link_down(&mut self, now: Instant, key: SideKey, epoch: u64, reason: &str) {
        let Some(side) = self.sides.get_mut(key) else {
            return;
        };
        if side.link.as_ref().is_some_and(|link| link.epoch == epoch) {
            log::info!(target: "link", "The link to {} ended: {reason}.", side.name);
            return self.lose_link(now, key);
        }
        if side.opening.as_ref().is_some_and(|(l, _)| l.epoch == epoch) {
            // Usually the sidecar detects a version mismatch, as it checks first.
            if reason.contains(ErrorKind::WireVersion.answer().problem) {
                log::error!(target: "link", "No link to {}: {reason}.", side.name);
                side.opening = None;
                side.next_connect = now + VERSION_RETRY_DELAY;
                return;
            }
            log::debug!(target: "link", "No link to {}: {reason}.", side.name);
            self.schedule_reconnect(now, key);
        }
    }

    /// Updates all sidecars: heartbeats, silence, connections and timeouts.
    pub(super) fn tick_sides(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        let keys: Vec<SideKey> = self.sides.keys().collect();
        for key in keys {
            if gap > STALL_THRESHOLD {
                self.sides[key].last_received += gap;
            }
            self.send_due_heartbeat(now, key);
            self.check_silence(now, key);
            self.ensure_connection(now, key);
            self.expire_unlinked(now, key);
        }
    }

    /// Updates in the router whether an endpoint accepts new work.
    pub(super) fn update_accepting(&mut self, now: Instant, key: SideKey) {
        let document = self.config.newest();
        let Some(side) = self.sides.get_mut(key) else {
            return;
        };
        side.leaving.drained = document.is_drained(&side.name, &side.host, &side.data_centre);
        let (endpoint, open) = (side.endpoint, side.takes_work());
        self.router.set_accepting(now, endpoint, open);
    }

    fn handle_welcome(&mut self, now: Instant, key: SideKey, welcome: &Welcome) {
        let side = &mut self.sides[key];
        if welcome.version != VERSION {
            let (name, other) = (&side.name, welcome.version);
            log::error!(target: "link", "{name} uses version {other} of the protocol, not {VERSION}.");
            side.opening = None;
            side.next_connect = now + VERSION_RETRY_DELAY;
            return;
        }
        if welcome.service != side.service {
            let (name, other) = (&side.name, &welcome.service);
            log::warn!(target: "link", "The sidecar at the address of {name} serves {other}.");
            return self.schedule_reconnect(now, key);
        }
        log::info!(target: "link", "{} is linked, epoch {}.", side.name, side.epoch);
        side.link = side.opening.take().map(|(link, _)| link);
        side.last_received = now;
        side.unlinked_since = None;
        side.queue_full = false;
        side.suspect = false;
        side.backoff.reset();
        side.incarnation = welcome.incarnation;
        self.resume_all(now, key);
        self.offer_config(key, welcome.config_version);
        self.update_accepting(now, key);
    }

    /// Resumes the attempts in flight over a new connection.
    fn resume_all(&mut self, now: Instant, key: SideKey) {
        let incarnation = self.sides[key].incarnation;
        for id in self.in_flight(key) {
            let same_incarnation =
                self.attempts.get(&id).map(|a| a.incarnation) == Some(incarnation);
            if same_incarnation {
                self.resume(now, id);
            } else {
                // The incarnation that ran it has ended, and its state is lost.
                self.fail_lost(now, id);
            }
        }
    }

    fn in_flight(&self, key: SideKey) -> Vec<RequestId> {
        self.sides[key].attempts.iter().copied().collect()
    }

    fn handle_heartbeat(&mut self, now: Instant, key: SideKey, beat: &Beat) {
        let side = &mut self.sides[key];
        let endpoint = side.endpoint;
        side.unreachable = beat.unreachable;
        if side.leaving.reported != beat.leaving {
            side.leaving.reported = beat.leaving;
            self.update_accepting(now, key);
            // The sidecar waits for this echo before it exits: frames arrive in
            // order, so no Start can follow it.
            self.send_heartbeat(now, key);
        }
        if let Some(load) = &beat.load {
            let report = LoadReport {
                running: load.running,
                queued: load.queued,
                limit: load.limit,
                pending_tokens: load.tokens,
                cache_free: load.cache_free,
                slowness: None,
                age: Duration::from_millis(load.age_ms.into()),
            };
            self.sides[key].report = report;
            self.sides[key].weights.clone_from(&load.weights);
            self.router.record_load(now, endpoint, report);
        }
        self.offer_config(key, beat.config_version);
    }

    /// Sends the configuration to a sidecar that has an older one.
    pub(super) fn offer_config(&mut self, key: SideKey, known_version: u64) {
        self.sides[key].config = known_version;
        if known_version >= self.config.version() {
            return;
        }
        let document = self.config.newest();
        let Ok(bytes) = serde_json::to_vec(&*document) else {
            return;
        };
        let config = Config {
            version: document.version,
            document: bytes,
        };
        self.send_frame(key, Frame::Config(config));
    }

    fn handle_config(&mut self, now: Instant, config: &Config) {
        match serde_json::from_slice::<Document>(&config.document) {
            Ok(document) if document.version == config.version => self.apply_config(now, document),
            Ok(_) => {
                log::warn!(target: "config", "A sidecar sent a document whose version differs from its frame.");
            }
            Err(e) => log::warn!(target: "config", "A sidecar sent an invalid document: {e}."),
        }
    }

    fn send_due_heartbeat(&mut self, now: Instant, key: SideKey) {
        let side = &self.sides[key];
        if side.link.is_some() && now >= side.last_heartbeat + HEARTBEAT_INTERVAL {
            self.send_heartbeat(now, key);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, key: SideKey) {
        let config_version = self.config.version();
        let side = &mut self.sides[key];
        side.last_heartbeat = now;
        side.heartbeats += 1;
        let beat = Beat {
            seq: side.heartbeats,
            config_version,
            leaving: side.leaving.reported,
            ..Beat::default()
        };
        self.send_frame(key, Frame::Beat(beat));
    }

    /// Suspects or drops the connection in use if it is silent or stalled.
    fn check_silence(&mut self, now: Instant, key: SideKey) {
        let side = &mut self.sides[key];
        if side.link.is_none() {
            return;
        }
        let silence = now.saturating_duration_since(side.last_received);
        if side.queue_full || silence > SILENCE_TIMEOUT {
            log::warn!(target: "link", "The link to {} is silent or stalled and is dropped.", side.name);
            return self.lose_link(now, key);
        }
        if silence > SUSPECT_TIMEOUT && !side.suspect {
            log::warn!(target: "link", "{} is silent; opening another link.", side.name);
            side.suspect = true;
            side.next_connect = now;
            self.update_accepting(now, key);
        }
    }

    fn clear_suspect(&mut self, now: Instant, key: SideKey) {
        let side = &mut self.sides[key];
        if side.suspect {
            // If another connection is opening, it still replaces this one.
            side.suspect = false;
            self.update_accepting(now, key);
        }
    }

    /// Opens a connection if one is needed and the backoff allows it.
    fn ensure_connection(&mut self, now: Instant, key: SideKey) {
        let side = &mut self.sides[key];
        if let Some((_, since)) = &side.opening {
            if now > *since + WELCOME_TIMEOUT {
                log::debug!(target: "link", "{} did not welcome the connection in time.", side.name);
                self.schedule_reconnect(now, key);
            }
            return;
        }
        let needed = side.link.is_none() || side.suspect;
        if !needed || now < side.next_connect {
            return;
        }
        side.epoch += 1;
        let hello = Hello {
            version: VERSION,
            entry: self.name.clone(),
            incarnation: self.ids.origin().0,
            epoch: side.epoch,
            config_version: self.config.version(),
        };
        let link = self
            .dialer
            .dial(key, side.epoch, side.address, Frame::Hello(hello));
        side.opening = Some((link, now));
    }

    fn schedule_reconnect(&mut self, now: Instant, key: SideKey) {
        let side = &mut self.sides[key];
        side.opening = None;
        side.next_connect = now + side.backoff.next_wait(&mut rand::rng());
    }

    fn lose_link(&mut self, now: Instant, key: SideKey) {
        self.metrics.count(metrics::LINKS_LOST, &[]);
        let side = &mut self.sides[key];
        side.link = None;
        side.queue_full = false;
        side.suspect = false;
        side.unlinked_since = Some(now);
        side.next_connect = now;
        for id in self.in_flight(key) {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.reachable = false;
            }
        }
        self.update_accepting(now, key);
        self.ensure_connection(now, key);
    }

    /// Fails attempts of an unconnected sidecar after their timeout, and removes
    /// sidecars that are no longer needed.
    ///
    /// An idempotent attempt fails soon, because another endpoint can answer. One
    /// with a partly delivered answer can't move, so it waits longer for the
    /// sidecar to reconnect. A non-idempotent attempt waits until its deadline,
    /// because only this sidecar knows its outcome.
    fn expire_unlinked(&mut self, now: Instant, key: SideKey) {
        let side = &self.sides[key];
        if side.listing == Listing::QueryOnly && side.attempts.is_empty() {
            return self.remove_side(now, key);
        }
        let Some(since) = side.unlinked_since else {
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        let unlisted = side.listing == Listing::Unlisted;
        if unlisted && elapsed > UNLISTED_TTL && side.attempts.is_empty() {
            return self.remove_side(now, key);
        }
        for id in self.in_flight(key) {
            if self
                .reconnect_timeout(id)
                .is_some_and(|timeout| elapsed >= timeout)
            {
                self.fail_lost(now, id);
            }
        }
    }

    /// Returns how long an attempt waits for its sidecar to reconnect, or `None`
    /// if it is not idempotent and waits until its deadline.
    fn reconnect_timeout(&self, id: RequestId) -> Option<Duration> {
        let attempt = self.attempts.get(&id)?;
        let row = self.calls.get(&attempt.call);
        let committed = row.is_some_and(|row| row.winner == Some(id));
        match attempt.repeat {
            Repeat::Once => None,
            Repeat::Idempotent if committed => Some(COMMITTED_RECONNECT_TIMEOUT),
            Repeat::Idempotent => Some(RECONNECT_TIMEOUT),
        }
    }
}
