//! The client of the store: one request a call, with time limits.
//!
//! It tells apart what callers must tell apart: a call that was surely not
//! carried out, and one that may have been. It never repeats a call that may
//! have been carried out, since only the caller knows whether that is safe. One
//! that surely wasn't, because the store turned this process away, goes to a
//! peer at once ([`hibiscusroad::store_path`]).

use super::{
    failure::Failure,
    http::{Channels, Fault, encode},
    meters::Meters,
    peers::{Peers, RelayError},
};
use crate::logs::STORE;
use hibiscusroad::{
    clock::millis,
    clock_estimate::ClockEstimate,
    store_path::{RelayOutcome, StorePath, StorePaths},
    table::{Change, Changes, Commit, Page, Range, Row, RowId},
    timeout::AdaptiveTimeout,
};
use hibiscusroad_platform::{request::Request, table as wire};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// An answer takes 4 ms as a rule and up to eighty times that in a slow store. A
/// read whose connection went silent is given up in time for another try before
/// anybody misses the answer.
const READ: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));
/// A write takes twice as long, and longer where writes queue; one that is given
/// up may still be done, and its outcome has to be found out.
const WRITE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(1_800));
/// Objects take 25 ms as a rule, and are larger.
const OBJECT: (Duration, Duration) = (Duration::from_millis(700), Duration::from_secs(3));
/// The table that a probe reads a row of; it has few.
const PROBED: &str = "duties";
/// Most peers that one call is offered to: a second for a first that is gone.
const PEERS: usize = 2;
/// What an answer to a wait may take beyond it.
const FEED_SLACK: Duration = Duration::from_millis(700);

/// The store, as this process reaches it.
pub(super) struct Store {
    channels: Channels,
    peers: Peers,
    reach: RefCell<StorePaths>,
    /// How many peers are known.
    peer_count: Cell<usize>,
    /// The straight way began to fail.
    turned: Notify,
    address: Cell<SocketAddr>,
    /// The store's clock.
    clock: Cell<ClockEstimate>,
    /// Since when no call was answered.
    away: Cell<Option<Instant>>,
    reads: Cell<AdaptiveTimeout>,
    writes: Cell<AdaptiveTimeout>,
    objects: Cell<AdaptiveTimeout>,
    meters: Rc<Meters>,
    watchers: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Store {
    pub(super) fn new(address: SocketAddr, meters: Rc<Meters>) -> Self {
        Self {
            channels: Channels::new(),
            peers: Peers::new(),
            reach: RefCell::new(StorePaths::new()),
            peer_count: Cell::new(0),
            turned: Notify::new(),
            address: Cell::new(address),
            clock: Cell::new(ClockEstimate::new()),
            away: Cell::new(None),
            reads: Cell::new(AdaptiveTimeout::new(READ.0, READ.1)),
            writes: Cell::new(AdaptiveTimeout::new(WRITE.0, WRITE.1)),
            objects: Cell::new(AdaptiveTimeout::new(OBJECT.0, OBJECT.1)),
            meters,
            watchers: RefCell::default(),
        }
    }

    /// Goes on at another address.
    pub(super) fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// Returns the connections to peers.
    pub(super) const fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Sets who may carry calls for this process.
    pub(super) fn set_peers(&self, peers: Vec<SocketAddr>) {
        let count = peers.len();
        self.peer_count.set(count);
        if self.reach.borrow_mut().set_peers(peers) {
            log::info!(target: STORE, peers = count; "Peers are known.");
        }
    }

    /// Returns how many peers are known.
    pub(super) const fn peer_count(&self) -> usize {
        self.peer_count.get()
    }

    /// Calls `act` each time the store answers again after it was away.
    pub(super) fn on_return(&self, act: impl Fn() + 'static) {
        self.watchers.borrow_mut().push(Box::new(act));
    }

    /// Returns the store's steady clock, if it has told it.
    pub(super) fn now(&self) -> Option<Duration> {
        self.clock.get().at(Instant::now())
    }

    /// Reads a range of rows.
    pub(super) async fn read(&self, range: &Range<'_>) -> Result<Page, Failure> {
        let (status, body) = self.paced(wire::read_request(range), &self.reads).await?;
        let page = wire::decode_page(status, &body, range)?;
        self.tell(page.now);
        Ok(page)
    }

    /// Reads one row; `None` if the store says that there is none.
    pub(super) async fn read_row(&self, id: &RowId) -> Result<Option<Row>, Failure> {
        // The successor of a key is the key with a zero byte behind it.
        let end = format!("{}\0", id.key);
        let range = Range {
            start: Some(&id.key),
            end: Some(&end),
            limit: Some(1),
            ..Range::part(&id.table, &id.part)
        };
        let page = self.read(&range).await?;
        Ok(page.rows.into_iter().next())
    }

    /// Reads a range whole, page by page.
    ///
    /// The version is that of the first page: what changes while the others are
    /// read comes again with the feed from there.
    pub(super) async fn read_whole(&self, range: &Range<'_>) -> Result<Page, Failure> {
        let mut whole = self.read(range).await?;
        while whole.truncated {
            let Some(last) = whole.rows.last() else {
                break;
            };
            // The successor of a key is the key with a zero byte behind it.
            let from = format!("{}\0", last.id.key);
            let page = self
                .read(&Range {
                    start: Some(&from),
                    ..*range
                })
                .await?;
            whole.truncated = page.truncated && !page.rows.is_empty();
            whole.rows.extend(page.rows);
        }
        Ok(whole)
    }

    /// Waits for changes of a table; `None` if the history is gone.
    pub(super) async fn feed(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Changes>, Failure> {
        let request = wire::feed_request(table, after, wait);
        // A wait on a way that turned out to be dead would go on for seconds,
        // and news be missed that a peer could bring.
        let (status, body) = tokio::select! {
            answer = self.call(request, wait + FEED_SLACK) => answer?,
            () = self.turned.notified() => {
                return Err(Failure::Lost("the straight way fails".to_owned()));
            }
        };
        let changes = wire::decode_changes(status, &body, table)?;
        if let Some(changes) = &changes {
            self.tell(changes.now);
        }
        Ok(changes)
    }

    /// Carries out a transaction, or finds out that its outcome is unknown.
    pub(super) async fn transact(&self, change: &Change) -> Commit {
        let answer = match self
            .paced(wire::transaction_request(change), &self.writes)
            .await
        {
            Ok((status, body)) => wire::decode_commit(status, &body).map_err(Failure::Odd),
            Err(failure) => Err(failure),
        };
        match answer {
            Ok(commit) => {
                if let Commit::Done { now, .. } = commit {
                    self.tell(now);
                }
                commit
            }
            Err(Failure::Refused(why)) => {
                log::debug!(target: STORE, why = why.as_str(); "A write was not sent.");
                Commit::Refused
            }
            Err(failure) => {
                log::warn!(target: STORE, error = failure.to_string().as_str();
                    "The outcome of a write is unknown.");
                Commit::Unknown
            }
        }
    }

    /// Keeps an object; one that exists under this name is the same.
    pub(super) async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<(), Failure> {
        match self
            .paced(wire::put_object_request(name, body), &self.objects)
            .await?
        {
            (200..=299 | 412, _) => Ok(()),
            (status, _) => Err(Failure::Refused(format!("status {status}"))),
        }
    }

    /// Reads an object; `None` if there is none.
    pub(super) async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Failure> {
        match self
            .paced(wire::get_object_request(name), &self.objects)
            .await?
        {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => Err(Failure::Refused(format!("status {status}"))),
        }
    }

    /// Removes an object.
    pub(super) async fn drop_object(&self, name: &str) -> Result<(), Failure> {
        self.paced(wire::delete_object_request(name), &self.objects)
            .await
            .map(|_| ())
    }

    /// Sends a call with the time limit of its kind, which learns from it.
    async fn paced(
        &self,
        request: Request,
        timeout: &Cell<AdaptiveTimeout>,
    ) -> Result<(u16, Bytes), Failure> {
        let start = Instant::now();
        let answer = self.call(request, timeout.get().current()).await;
        let mut next = timeout.get();
        match &answer {
            Ok(_) => next.record_answer(start.elapsed()),
            Err(Failure::Lost(_)) => next.record_timeout(),
            Err(_) => {}
        }
        timeout.set(next);
        answer
    }

    async fn call(&self, request: Request, limit: Duration) -> Result<(u16, Bytes), Failure> {
        let answer = self.send(&request, limit).await;
        let outcome = match &answer {
            Ok(answer) if is_refusal(answer) => "refused",
            Err(Failure::Refused(_)) => "refused",
            Ok(_) => "answered",
            Err(_) => "lost",
        };
        self.meters.store_calls.with_label_values(&[outcome]).inc();
        match &answer {
            Ok(answer) if is_refusal(answer) => self.is_away(&format!("status {}", answer.0)),
            Ok(_) => self.is_back(),
            Err(failure) => self.is_away(&failure.to_string()),
        }
        answer
    }

    /// Sends a call on its way, and on another if it was surely not carried out.
    async fn send(&self, request: &Request, limit: Duration) -> Result<(u16, Bytes), Failure> {
        let mut refusal = None;
        if !self.reach.borrow().is_direct_failing() {
            let answer = self.straight(request, limit).await;
            if !is_turned_away(&answer) {
                return answer;
            }
            refusal = Some(answer);
        }
        for _ in 0..PEERS {
            let way = self.reach.borrow().choose(Instant::now(), rand::random());
            let StorePath::Peer(peer) = way else {
                break;
            };
            let answer = self.by_peer(peer, request, limit).await;
            if !is_turned_away(&answer) {
                return answer;
            }
        }
        match refusal {
            Some(answer) => answer,
            None => self.straight(request, limit).await,
        }
    }

    /// Sends a call to the store itself.
    async fn straight(&self, request: &Request, limit: Duration) -> Result<(u16, Bytes), Failure> {
        let answer = timeout(limit, self.exchange(request)).await;
        let answer = answer.unwrap_or_else(|_elapsed| Err(Failure::Lost("time is over".into())));
        let answered = answer.as_ref().is_ok_and(|answer| !is_refusal(answer));
        let now = Instant::now();
        let mut reach = self.reach.borrow_mut();
        let changed = match &answer {
            Ok((429, _)) => reach.record_rate_limit(now),
            _ => reach.record_direct(now, answered),
        };
        drop(reach);
        if changed && answered {
            log::info!(target: STORE, address = self.address.get().to_string().as_str();
                "The store is reached straight again.");
        }
        if changed && !answered {
            log::info!(target: STORE, address = self.address.get().to_string().as_str();
                "The store is not reached straight; peers are asked.");
            self.turned.notify_waiters();
        }
        answer
    }

    /// Has a peer carry a call.
    async fn by_peer(
        &self,
        peer: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let answer = self.peers.relay(peer, request, limit).await;
        if let Err(error) = &answer {
            log::info!(target: STORE, peer = peer.to_string().as_str(),
                error = error.to_string().as_str(); "A peer did not carry a call.");
        }
        let (outcome, carried) = match &answer {
            Ok(answer) if is_refusal(answer) => ("refused", RelayOutcome::Unreachable),
            Ok(_) => ("answered", RelayOutcome::Answered),
            Err(RelayError::Refused(_)) => ("refused", RelayOutcome::Unreachable),
            Err(RelayError::PeerUnreachable(_)) => ("refused", RelayOutcome::NoAnswer),
            Err(RelayError::Unknown(_)) => ("lost", RelayOutcome::NoAnswer),
        };
        let now = Instant::now();
        self.reach.borrow_mut().record_relayed(now, peer, carried);
        self.meters.detours.with_label_values(&[outcome]).inc();
        answer.map_err(Failure::from)
    }

    /// Carries a call of a peer, unless the store turns this process away, too.
    pub(super) async fn carry_for_peer(
        &self,
        request: &Request,
        limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        if self.reach.borrow().is_direct_failing() {
            return Err(Failure::Refused("turned away, too".to_owned()));
        }
        self.straight(request, limit).await
    }

    /// Looks for the straight way while it fails.
    pub(super) async fn probe(&self) {
        loop {
            let now = Instant::now();
            let (away, pause) = {
                let reach = self.reach.borrow();
                (reach.is_direct_failing(), reach.probe_delay(now))
            };
            if !away {
                self.turned.notified().await;
                continue;
            }
            // Processes that were turned away together don't come together.
            sleep(pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
            let range = Range {
                limit: Some(1),
                ..Range::part(PROBED, "")
            };
            let limit = self.reads.get().current();
            let answer = self.straight(&wire::read_request(&range), limit).await;
            if let Err(failure) = answer {
                log::debug!(target: STORE, error = failure.to_string().as_str();
                    "The straight way still fails.");
            }
        }
    }

    async fn exchange(&self, request: &Request) -> Result<(u16, Bytes), Failure> {
        let address = self.address.get();
        let http = encode(request, address).map_err(|error| Failure::Refused(error.to_string()))?;
        let (response, channel) =
            self.channels
                .send(address, http)
                .await
                .map_err(|fault| match fault {
                    Fault::Unreached(why) => Failure::Refused(why.to_string()),
                    Fault::Broken(error) => Failure::Lost(error.to_string()),
                })?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Failure::Lost(error.to_string()))?;
        self.channels.give_back(channel, None);
        Ok((status, body.to_bytes()))
    }

    /// Takes in the store's clock as an answer tells it.
    fn tell(&self, now: Duration) {
        let mut clock = self.clock.get();
        clock.record_sample(Instant::now(), now);
        self.clock.set(clock);
    }

    fn is_back(&self) {
        if let Some(since) = self.away.take() {
            log::info!(target: STORE, away_ms = millis(since.elapsed()); "The store answers again.");
            for act in self.watchers.borrow().iter() {
                act();
            }
        }
    }

    fn is_away(&self, why: &str) {
        if self.away.get().is_none() {
            self.away.set(Some(Instant::now()));
            log::warn!(target: STORE, error = why; "The store does not answer.");
        }
    }
}

/// Says whether the store refused a call: it was not carried out.
const fn is_refusal(answer: &(u16, Bytes)) -> bool {
    matches!(answer.0, 429 | 503)
}

/// Says whether a call was surely not carried out, because the store, or a peer
/// in its place, turned this process away.
const fn is_turned_away(answer: &Result<(u16, Bytes), Failure>) -> bool {
    match answer {
        Ok(answer) => is_refusal(answer),
        Err(failure) => matches!(failure, Failure::Refused(_)),
    }
}
