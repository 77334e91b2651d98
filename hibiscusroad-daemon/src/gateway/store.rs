//! The client of the platform's store.
//!
//! It distinguishes calls that were not executed from those that may have been.
//! It never repeats a call that may have been executed, since only the caller knows
//! whether that is safe. A call that was not executed because the store refused it
//! or can't be reached is relayed by a peer ([`hibiscusroad::store_path`]).

use super::{
    failure::Failure,
    http::{ConnectionPool, Fault, encode},
    meters::Meters,
    peers::{Peers, RelayError},
};
use crate::logs::STORE;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hibiscusroad::{
    clock::millis,
    clock_estimate::ClockEstimate,
    latency::Latency,
    store_outage::StoreOutage,
    store_path::{RelayOutcome, StorePath, StorePaths},
    table::{Change, Changes, Commit, Page, Range, Row, RowId},
    timeout::{AdaptiveTimeout, CallEnd},
};
use hibiscusroad_platform::{request::Request, table as wire};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// Smallest and largest timeout of a read; short enough for a retry if the connection has gone
/// silent. An answer takes 4 ms as a rule, and up to eighty times that from a slow store.
const READ_TIMEOUTS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));
/// Smallest and largest timeout of a write. A write that times out may still be
/// executed, so its outcome has to be read back.
const WRITE_TIMEOUTS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_800));
/// Smallest and largest delay after which a call for an object is sent a second time, on another
/// connection. An answer takes 25 ms as a rule, and up to 2 s from a slow store.
const OBJECT_RESEND_DELAYS: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_millis(2_200));
/// Timeout of each of the two tries of a call for an object.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(4);
/// The table that a probe reads a row of; it has few rows.
const PROBE_TABLE: &str = "duties";
/// Maximum number of peers that are asked to relay a call.
const MAX_RELAY_ATTEMPTS: usize = 2;
/// Time beyond a feed's wait within which its answer must arrive.
const FEED_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// The client of the store.
pub(super) struct Store {
    pool: ConnectionPool,
    peers: Peers,
    paths: RefCell<StorePaths>,
    /// Number of known peers.
    peer_count: Cell<usize>,
    /// The newest form of rows that all gateways read.
    row_form: Cell<u32>,
    /// Notified when the direct path begins to fail.
    direct_failed: Notify,
    address: Cell<SocketAddr>,
    /// An estimate of the store's clock.
    clock: Cell<ClockEstimate>,
    outage: Cell<StoreOutage>,
    reads: Cell<AdaptiveTimeout>,
    writes: Cell<AdaptiveTimeout>,
    /// The latency of writes, by the part of the store.
    write_latency: RefCell<HashMap<String, Latency>>,
    objects: Cell<AdaptiveTimeout>,
    meters: Rc<Meters>,
    recovery_hooks: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Store {
    pub(super) fn new(address: SocketAddr, meters: Rc<Meters>) -> Self {
        Self {
            pool: ConnectionPool::new(),
            peers: Peers::new(),
            paths: RefCell::new(StorePaths::new()),
            peer_count: Cell::new(0),
            row_form: Cell::new(0),
            direct_failed: Notify::new(),
            address: Cell::new(address),
            clock: Cell::new(ClockEstimate::new()),
            outage: Cell::new(StoreOutage::new()),
            reads: Cell::new(AdaptiveTimeout::new(READ_TIMEOUTS.0, READ_TIMEOUTS.1)),
            writes: Cell::new(AdaptiveTimeout::new(WRITE_TIMEOUTS.0, WRITE_TIMEOUTS.1)),
            objects: Cell::new(AdaptiveTimeout::new(
                OBJECT_RESEND_DELAYS.0,
                OBJECT_RESEND_DELAYS.1,
            )),
            write_latency: RefCell::default(),
            meters,
            recovery_hooks: RefCell::default(),
        }
    }

    /// Changes the store's address.
    pub(super) fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// Returns the connections to peers.
    pub(super) const fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Sets the peers that may relay calls for this process.
    pub(super) fn set_peers(&self, peers: Vec<SocketAddr>) {
        let count = peers.len();
        self.peer_count.set(count);
        if self.paths.borrow_mut().set_peers(peers) {
            log::info!(target: STORE, peers = count; "Peers are known.");
        }
    }

    /// Returns the number of known peers.
    pub(super) const fn peer_count(&self) -> usize {
        self.peer_count.get()
    }

    /// Sets the newest form of rows that all gateways read.
    pub(super) fn set_row_form(&self, form: u32) {
        if self.row_form.replace(form) != form {
            log::info!(target: STORE, form = form;
                "The form of rows that all gateways read has changed.");
        }
    }

    /// Returns the newest form of rows that all gateways read; 0 until they are known.
    pub(super) const fn row_form(&self) -> u32 {
        self.row_form.get()
    }

    /// Calls `hook` each time the store answers again after an outage.
    pub(super) fn on_recovery(&self, hook: impl Fn() + 'static) {
        self.recovery_hooks.borrow_mut().push(Box::new(hook));
    }

    /// Returns the estimated time of the store's monotonic clock, once a call was answered.
    pub(super) fn now(&self) -> Option<Duration> {
        self.clock.get().at(Instant::now())
    }

    /// Reads a range of rows.
    pub(super) async fn read(&self, range: &Range<'_>) -> Result<Page, Failure> {
        let (status, body) = self.read_adaptive(wire::read_request(range)).await?;
        let page = wire::decode_page(status, &body, range)?;
        self.record_clock(page.now);
        Ok(page)
    }

    /// Reads one row; `None` if it doesn't exist.
    pub(super) async fn read_row(&self, id: &RowId) -> Result<Option<Row>, Failure> {
        // The next possible key is this key followed by a zero byte.
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

    /// Reads all pages of a range.
    ///
    /// The version is that of the first page: a feed from that version repeats the
    /// changes that were made while the other pages were read.
    pub(super) async fn read_whole(&self, range: &Range<'_>) -> Result<Page, Failure> {
        let mut all = self.read(range).await?;
        while all.truncated {
            let Some(last) = all.rows.last() else {
                break;
            };
            // The next possible key is this key followed by a zero byte.
            let start = format!("{}\0", last.id.key);
            let page = self
                .read(&Range {
                    start: Some(&start),
                    ..*range
                })
                .await?;
            all.truncated = page.truncated && !page.rows.is_empty();
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Lists the parts of a table that have rows.
    pub(super) async fn parts(&self, table: &str) -> Result<Vec<String>, Failure> {
        let (status, body) = self.read_adaptive(wire::parts_request(table)).await?;
        Ok(wire::decode_parts(status, &body)?)
    }

    /// Waits for changes of a table; `None` if the history since `after` was discarded.
    pub(super) async fn feed(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Changes>, Failure> {
        let request = wire::feed_request(table, after, wait);
        // Ends the wait when the direct path fails: it would last for seconds, while
        // a peer could deliver the changes.
        let (status, body) = tokio::select! {
            answer = self.call_held(request, wait, wait + FEED_TIMEOUT_MARGIN) => answer?,
            () = self.direct_failed.notified() => {
                return Err(Failure::Lost("the straight way fails".to_owned()));
            }
        };
        let Some(feed) = wire::decode_changes(status, &body, table)? else {
            return Ok(None);
        };
        self.record_clock(feed.now);
        Ok(Some(feed.changes))
    }

    /// Returns the present latency of writes in a part; zero before the first answer.
    pub(super) fn write_latency(&self, part: &str) -> Duration {
        let latencies = self.write_latency.borrow();
        latencies.get(part).map_or(Duration::ZERO, Latency::current)
    }

    /// Executes a transaction; its outcome may be [`Commit::Unknown`].
    pub(super) async fn transact(&self, change: &Change) -> Commit {
        let request = wire::transaction_request(change);
        let start = Instant::now();
        let answer = self.call_adaptive(request, &self.writes).await;
        self.decode_commit(change, start, answer)
    }

    /// Executes a transaction without giving it up while it may only be slow.
    ///
    /// This is for a caller that sends another one beside it when the connection may have gone
    /// silent.
    pub(super) async fn transact_patiently(&self, change: &Change) -> Commit {
        let request = wire::transaction_request(change);
        let start = Instant::now();
        let answer = self.call(request, WRITE_TIMEOUTS.1).await;
        self.decode_commit(change, start, answer)
    }

    /// Decodes the answer of a transaction that was sent at `start`.
    fn decode_commit(
        &self,
        change: &Change,
        start: Instant,
        answer: Result<(u16, Bytes), Failure>,
    ) -> Commit {
        let answer = answer.and_then(|(status, body)| Ok(wire::decode_commit(status, &body)?));
        if let Ok(Commit::Done { .. } | Commit::Conflict(_)) = &answer {
            self.observe("write", start.elapsed());
            let puts = change.puts.iter().map(|(id, _)| id);
            if let Some(id) = puts.chain(&change.removes).next() {
                let mut latencies = self.write_latency.borrow_mut();
                let latency = latencies.entry(id.part.clone()).or_default();
                latency.record(start.elapsed());
            }
        }
        match answer {
            Ok(commit) => {
                if let Commit::Done { now, .. } = commit {
                    self.record_clock(now);
                }
                commit
            }
            Err(Failure::Refused(why)) => {
                log::debug!(target: STORE, why = why.as_str(); "A write was not executed.");
                Commit::Refused
            }
            Err(failure) => {
                log::warn!(target: STORE, error = failure.to_string().as_str();
                    "The outcome of a write is unknown.");
                Commit::Unknown
            }
        }
    }

    /// Writes an object; succeeds if an object of this name exists, since names are
    /// unique to their content.
    pub(super) async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<(), Failure> {
        match self
            .call_object(wire::put_object_request(name, body))
            .await?
        {
            (200..=299 | 412, _) => Ok(()),
            (status, _) => Err(Failure::Refused(format!("status {status}"))),
        }
    }

    /// Reads an object; `None` if there is none.
    pub(super) async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Failure> {
        match self.call_object(wire::get_object_request(name)).await? {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => Err(Failure::Refused(format!("status {status}"))),
        }
    }

    /// Deletes an object.
    pub(super) async fn delete_object(&self, name: &str) -> Result<(), Failure> {
        self.call_object(wire::delete_object_request(name))
            .await
            .map(|_| ())
    }

    /// Sends a call for an object, and a second time while the first try may only be slow: it is
    /// not given up for a connection that may have gone silent. Returns the first answer.
    ///
    /// Repeated calls are harmless, since names of objects are unique to their content.
    async fn call_object(&self, request: Request) -> Result<(u16, Bytes), Failure> {
        let send = async || {
            let start = Instant::now();
            let answer = self.call(request.clone(), OBJECT_TIMEOUT).await;
            (answer, start.elapsed())
        };
        let mut tries = FuturesUnordered::new();
        tries.push(send());
        let resend = sleep(self.objects.get().current());
        tokio::pin!(resend);
        let mut is_resent = false;
        loop {
            tokio::select! {
                Some((answer, latency)) = tries.next() => {
                    let is_answered = answer.as_ref().is_ok_and(|answer| !is_refusal(answer));
                    if is_answered {
                        self.observe("object", latency);
                        self.record_object(CallEnd::Answered(latency));
                    }
                    if is_answered || tries.is_empty() {
                        return answer;
                    }
                }
                () = &mut resend, if !is_resent => {
                    is_resent = true;
                    self.record_object(CallEnd::TimedOut);
                    tries.push(send());
                }
            }
        }
    }

    /// Updates the delay after which a call for an object is sent a second time.
    fn record_object(&self, end: CallEnd) {
        let mut delay = self.objects.get();
        delay.record(end);
        self.objects.set(delay);
    }

    /// Sends a read with an adaptive timeout.
    async fn read_adaptive(&self, request: Request) -> Result<(u16, Bytes), Failure> {
        let start = Instant::now();
        let answer = self.call_adaptive(request, &self.reads).await;
        if answer.as_ref().is_ok_and(|answer| !is_refusal(answer)) {
            self.observe("read", start.elapsed());
        }
        answer
    }

    /// Records how long the store took to answer a kind of call.
    fn observe(&self, kind: &str, latency: Duration) {
        let histogram = self.meters.store_seconds.with_label_values(&[kind]);
        histogram.observe(latency.as_secs_f64());
    }

    /// Sends a call with an adaptive timeout and updates the timeout.
    async fn call_adaptive(
        &self,
        request: Request,
        timeout: &Cell<AdaptiveTimeout>,
    ) -> Result<(u16, Bytes), Failure> {
        let start = Instant::now();
        let answer = self.call(request, timeout.get().current()).await;
        let end = match &answer {
            Ok(answer) if is_refusal(answer) => CallEnd::Refused,
            Ok(_) => CallEnd::Answered(start.elapsed()),
            Err(Failure::Lost(_)) => CallEnd::TimedOut,
            Err(_) => CallEnd::Refused,
        };
        let mut next = timeout.get();
        next.record(end);
        timeout.set(next);
        answer
    }

    /// Sends a call, counts its outcome and records whether the store answers.
    async fn call(&self, request: Request, limit: Duration) -> Result<(u16, Bytes), Failure> {
        self.call_held(request, Duration::ZERO, limit).await
    }

    /// Sends a call that the store may hold open for `wait`, counts its outcome and records
    /// whether the store answers.
    async fn call_held(
        &self,
        request: Request,
        wait: Duration,
        limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let sent_at = Instant::now();
        let answer = self.send(&request, limit).await;
        let outcome = match &answer {
            Ok(answer) if is_refusal(answer) => "refused",
            Err(Failure::Refused(_)) => "refused",
            Ok(_) => "answered",
            Err(_) => "lost",
        };
        self.meters.store_calls.with_label_values(&[outcome]).inc();
        match &answer {
            // It answers other calls, and refuses this one for its rate.
            Ok((429, _)) => {}
            Ok(answer) if is_refusal(answer) => {
                let why = format!("status {}", answer.0);
                self.record_failure(&why, |outage| outage.record_refusal(Instant::now()));
            }
            Ok(_) => self.record_answer(),
            Err(failure) => self.record_failure(&failure.to_string(), |outage| {
                outage.record_loss(Instant::now(), sent_at, sent_at + wait)
            }),
        }
        answer
    }

    /// Sends a call directly or by a peer; tries another path if it was not executed.
    async fn send(&self, request: &Request, limit: Duration) -> Result<(u16, Bytes), Failure> {
        let mut refusal = None;
        if !self.paths.borrow().is_direct_failing() {
            let answer = self.send_direct(request, limit).await;
            if !is_not_executed(&answer) {
                return answer;
            }
            refusal = Some(answer);
        }
        for _ in 0..MAX_RELAY_ATTEMPTS {
            let path = self.paths.borrow().choose(Instant::now(), rand::random());
            let StorePath::Peer(peer) = path else {
                break;
            };
            let answer = self.relay(peer, request, limit).await;
            if !is_not_executed(&answer) {
                return answer;
            }
        }
        match refusal {
            Some(answer) => answer,
            None => self.send_direct(request, limit).await,
        }
    }

    /// Sends a call directly to the store.
    async fn send_direct(
        &self,
        request: &Request,
        limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let answer = timeout(limit, self.exchange(request, limit)).await;
        let answer = answer.unwrap_or_else(|_elapsed| Err(Failure::Lost("time is over".into())));
        let answered = answer.as_ref().is_ok_and(|answer| !is_refusal(answer));
        let now = Instant::now();
        let mut paths = self.paths.borrow_mut();
        let changed = match &answer {
            Ok((429, _)) => paths.record_rate_limit(now),
            _ => paths.record_direct(now, answered),
        };
        drop(paths);
        if changed && answered {
            log::info!(target: STORE, address = self.address.get().to_string().as_str();
                "The direct path to the store works again.");
        }
        if changed && !answered {
            log::info!(target: STORE, address = self.address.get().to_string().as_str();
                "The direct path to the store fails; peers relay calls.");
            self.direct_failed.notify_waiters();
        }
        answer
    }

    /// Asks a peer to relay a call.
    async fn relay(
        &self,
        peer: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let answer = self.peers.relay(peer, request, limit).await;
        if let Err(error) = &answer {
            log::info!(target: STORE, peer = peer.to_string().as_str(),
                error = error.to_string().as_str(); "A peer did not relay a call.");
        }
        let (outcome, relay_outcome) = match &answer {
            Ok(answer) if is_refusal(answer) => ("refused", RelayOutcome::Unreachable),
            Ok(_) => ("answered", RelayOutcome::Answered),
            Err(RelayError::Refused(_)) => ("refused", RelayOutcome::Unreachable),
            Err(RelayError::PeerUnreachable(_)) => ("refused", RelayOutcome::NoAnswer),
            Err(RelayError::Unknown(_)) => ("lost", RelayOutcome::NoAnswer),
        };
        let now = Instant::now();
        self.paths
            .borrow_mut()
            .record_relayed(now, peer, relay_outcome);
        self.meters.detours.with_label_values(&[outcome]).inc();
        answer.map_err(Failure::from)
    }

    /// Relays a call for a peer, unless the direct path fails here too.
    pub(super) async fn relay_for_peer(
        &self,
        request: &Request,
        limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        if self.paths.borrow().is_direct_failing() {
            return Err(Failure::Refused("turned away, too".to_owned()));
        }
        self.send_direct(request, limit).await
    }

    /// Probes the direct path while it fails.
    pub(super) async fn run_probes(&self) {
        loop {
            let now = Instant::now();
            let (is_failing, delay) = {
                let paths = self.paths.borrow();
                (paths.is_direct_failing(), paths.probe_delay(now))
            };
            if !is_failing {
                self.direct_failed.notified().await;
                continue;
            }
            // Jitter spreads the probes of processes that failed at the same time.
            sleep(delay.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
            let range = Range {
                limit: Some(1),
                ..Range::part(PROBE_TABLE, "")
            };
            let limit = self.reads.get().current();
            let answer = self.send_direct(&wire::read_request(&range), limit).await;
            if let Err(failure) = answer {
                log::debug!(target: STORE, error = failure.to_string().as_str();
                    "The direct path to the store still fails.");
            }
        }
    }

    /// Sends a request on a connection to the store and reads the answer.
    async fn exchange(&self, request: &Request, limit: Duration) -> Result<(u16, Bytes), Failure> {
        let address = self.address.get();
        let http = encode(request, address).map_err(|error| Failure::Refused(error.to_string()))?;
        let sent = if limit > WRITE_TIMEOUTS.1 {
            self.pool.send_held(address, http).await
        } else {
            self.pool.send(address, http).await
        };
        let (response, connection) = sent.map_err(|fault| match fault {
            Fault::Connect(why) => Failure::Refused(why.to_string()),
            Fault::Evacuated | Fault::Left | Fault::Withheld => Failure::Refused(fault.to_string()),
            Fault::Broken(_) | Fault::Foreign => Failure::Lost(fault.to_string()),
        })?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Failure::Lost(error.to_string()))?;
        self.pool.return_to_pool(connection, None);
        Ok((status, body.to_bytes()))
    }

    /// Updates the clock estimate with the time in an answer.
    fn record_clock(&self, now: Duration) {
        let mut clock = self.clock.get();
        clock.record_sample(Instant::now(), now);
        self.clock.set(clock);
    }

    fn record_answer(&self) {
        let mut outage = self.outage.get();
        let recovery = outage.record_answer(Instant::now());
        self.outage.set(outage);
        let Some(recovery) = recovery else {
            return;
        };
        log::info!(target: STORE, away_ms = millis(recovery.duration),
            outage = recovery.is_outage; "The store answers again.");
        if recovery.is_outage {
            for hook in self.recovery_hooks.borrow().iter() {
                hook();
            }
        }
    }

    /// Records a failure, and logs it if it is the first one since the last answer.
    fn record_failure(&self, why: &str, record: impl FnOnce(&mut StoreOutage) -> bool) {
        let mut outage = self.outage.get();
        let is_news = record(&mut outage);
        self.outage.set(outage);
        if is_news {
            log::warn!(target: STORE, error = why; "The store does not answer.");
        }
    }
}

/// Returns whether the store refused a call and did not execute it.
const fn is_refusal(answer: &(u16, Bytes)) -> bool {
    matches!(answer.0, 429 | 503)
}

/// Returns whether a call was not executed because the store or a peer refused it
/// or could not be reached.
const fn is_not_executed(answer: &Result<(u16, Bytes), Failure>) -> bool {
    match answer {
        Ok(answer) => is_refusal(answer),
        Err(failure) => matches!(failure, Failure::Refused(_)),
    }
}
