//! Runs one item at one engine, then calls its scorer.
//!
//! A text may come from several runs, each of which resumes behind the last event of the
//! one before. Its weight versions are those that engines report with their responses and
//! events; the versions that were ordered don't tell which one made a text.

use super::{
    Batches, OwnedBatch, placement,
    slot::{ItemStart, Slot},
};
use crate::{
    gateway::{
        attempt::{self, AttemptContext, set},
        calls::Target,
        crashes::InFlight,
        http::{Fault, full_body},
        message::{Head, text},
        on_panic::OnPanic,
        request::{internal_head, set_account},
    },
    logs::BATCHES,
};
use hibiscusroad::{
    clock::millis,
    cold_start::Sender,
    rollout::{
        Item,
        batch::Interruption,
        engines::{EngineKey, RefusalReason},
        fit::Progress,
    },
    roster::Endpoint,
};
use hibiscusroad_platform::{
    event::{Event, EventDecoder},
    header,
};
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::{Bytes, Frame, Incoming},
    header::HeaderName,
};
use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// Limit for the head of a response. Queues inside engines turn over in a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit between two events of a response. A load of weights delays events by one second, a
/// slow one by two.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The lowest of the ten priorities of engines; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;
/// How long an item may run if its batch does not expire.
const DEFAULT_ITEM_TTL: Duration = Duration::from_mins(1);

/// An engine is stalled when the gap between events exceeds this multiple of the median
/// pace. A run is then better resumed at an engine with capacity, which reads the text so far
/// in milliseconds.
const STALL_FACTOR: f64 = 6.0;
/// The shortest gap that counts as a stall; queues and quotas on the way cause gaps of
/// 100 ms.
const MIN_STALL: Duration = Duration::from_millis(160);
/// A run is queued when its response takes longer than this multiple of the median pace.
const QUEUE_FACTOR: f64 = 3.0;
/// The shortest wait that counts as queueing.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(100);
/// Time between two searches for another engine while one stalls or queues.
const REPLACEMENT_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Number of events between two checks of the pace of a run.
const PACE_CHECK_EVENTS: u32 = 6;
/// Weight of the last gap in the moving average of a run's pace.
const PACE_WEIGHT: f64 = 0.2;
/// Limit of the doublings of the time that a run has for its first event. The last one reaches
/// [`EVENT_TIMEOUT`].
const MAX_PATIENCE_DOUBLINGS: u32 = 4;
/// Seconds per event of engines whose pace is not known.
const DEFAULT_PACE: f64 = 0.05;

/// A run of an item.
struct Run<'a> {
    batches: &'a Batches,
    owned: &'a OwnedBatch,
    service: &'a str,
    index: usize,
    key: EngineKey,
    /// Whether it makes a draft; a draft is never moved to another engine.
    is_draft: bool,
    /// The weight version of the next event.
    version: Option<u64>,
    /// Moving average of the seconds between events.
    pace: Option<f64>,
    event_count: u32,
    last_progress_at: Instant,
    /// When the first event of this run came.
    first_event: Instant,
    last_event_at: Instant,
    /// Factor of the time that it has for its first event.
    patience: u32,
}

impl Batches {
    /// Runs an item at an engine, and its scorer if the text is complete.
    pub(super) async fn run_item(self: &Rc<Self>, owned: &Rc<OwnedBatch>, start: ItemStart) {
        let ItemStart {
            index,
            slot,
            endpoint,
            priority,
            last_event,
            exact_version,
            wait_times: (waited, waits),
        } = start;
        let _guard = OnPanic(|| self.restart_item(owned, index));
        let item = &owned.submission.items[index];
        let start = Instant::now();
        let mut run = Run::new(self, owned, &endpoint.service, index, slot.key);
        let fit = {
            let engines = self.engines.borrow();
            placement::describe(&engines, start, owned, index, &endpoint.service, slot.key)
        };
        let deadline = owned.expires_at.unwrap_or(start + DEFAULT_ITEM_TTL);
        let request = build_request(
            item,
            owned,
            priority.min(LOWEST_PRIORITY),
            deadline,
            last_event,
            exact_version,
        );
        let ended = match request {
            Ok(request) => run.generate(&request, &endpoint).await,
            Err(error) => {
                log::error!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
                    error = error.to_string().as_str();
                    "The request of an item could not be built.");
                Err(Interruption::Never)
            }
        };
        let pace = run.pace.filter(|_| run.event_count > PACE_CHECK_EVENTS);
        if let Some(pace) = pace {
            self.engines
                .borrow_mut()
                .record_pace(Instant::now(), slot.key, pace);
        }
        if let Err(cause) = ended {
            log::info!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
                endpoint = endpoint.id.as_str(), cause:? = cause, before:? = last_event,
                events = run.event_count, pace_us = micros(run.pace),
                took_ms = millis(start.elapsed()), waited_ms = millis(waited), fit = fit.as_str(),
                weights_ms = millis(waits.weights), room_ms = millis(waits.capacity); "A run of an item broke off.");
            self.record_interruption(owned, index, slot.key, last_event, cause);
            return;
        }
        log::info!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
            endpoint = endpoint.id.as_str(), before:? = last_event, events = run.event_count,
            pace_us = micros(run.pace), hint:? = item.hint, took_ms = millis(start.elapsed()),
            waited_ms = millis(waited), weights_ms = millis(waits.weights),
            room_ms = millis(waits.capacity), group = item.group.as_str(), fit = fit.as_str();
            "The text of an item is whole.");
        let meters = &self.context.meters;
        meters.runs.with_label_values(&["whole"]).inc();
        meters.run_seconds.observe(start.elapsed().as_secs_f64());
        drop(slot);
        let events = owned.batch.borrow().last_event(index).unwrap_or(0);
        self.engines.borrow_mut().record_text(events, item.hint);
        let needs_score = owned
            .batch
            .borrow_mut()
            .complete_text(Instant::now(), index);
        if needs_score {
            self.score_item(owned, index).await;
        } else {
            self.dispatch_needed.notify_one();
        }
    }
}

impl Batches {
    /// Lets an item run again whose task has panicked.
    fn restart_item(&self, owned: &OwnedBatch, index: usize) {
        if !owned.is_stopped.get() {
            owned.batch.borrow_mut().restart(Instant::now(), index);
            self.wake_dispatcher();
        }
    }

    /// Runs the draft of an item.
    pub(super) async fn run_draft(
        &self,
        owned: &OwnedBatch,
        index: usize,
        slot: Slot,
        endpoint: Endpoint,
    ) {
        let item = &owned.submission.items[index];
        let start = Instant::now();
        let mut run = Run::new(self, owned, &endpoint.service, index, slot.key);
        run.is_draft = true;
        let deadline = owned.expires_at.unwrap_or(start + DEFAULT_ITEM_TTL);
        let ended = match build_request(item, owned, LOWEST_PRIORITY, deadline, None, None) {
            Ok(request) => run.generate(&request, &endpoint).await,
            Err(_unsendable) => Err(Interruption::Never),
        };
        log::info!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
            endpoint = endpoint.id.as_str(), events = run.event_count, ended:? = ended,
            took_ms = millis(start.elapsed()); "A draft of an item has ended.");
    }
}

/// Converts seconds to whole microseconds for logs.
fn micros(seconds: Option<f64>) -> u64 {
    seconds.map_or(0, |s| {
        u64::try_from(Duration::from_secs_f64(s).as_micros()).unwrap_or(0)
    })
}

/// An item's request to an engine.
struct Request {
    head: Head,
    body: Bytes,
}

fn build_request(
    item: &Item,
    owned: &OwnedBatch,
    priority: u8,
    deadline: Instant,
    last_event: Option<u64>,
    exact_version: Option<u64>,
) -> Result<Request, hyper::http::Error> {
    let mut head = internal_head(&owned.host, &item.path, &item.id, deadline)?;
    for (name, value) in &item.headers {
        let name = HeaderName::try_from(name.as_str())?;
        let value = hyper::header::HeaderValue::try_from(value.as_str())?;
        head.headers.insert(name, value);
    }
    if let Some(account) = &owned.account {
        set_account(&mut head.headers, Some(account));
    }
    if let Some(last) = last_event {
        set(&mut head.headers, header::LAST_EVENT, &last.to_string());
    }
    if let Some(version) = exact_version {
        set(
            &mut head.headers,
            header::EXPECT_VERSION,
            &version.to_string(),
        );
    }
    set(&mut head.headers, header::PRIORITY, &priority.to_string());
    Ok(Request {
        head,
        body: item.body.clone().into(),
    })
}

impl<'a> Run<'a> {
    fn new(
        batches: &'a Batches,
        owned: &'a OwnedBatch,
        service: &'a str,
        index: usize,
        key: EngineKey,
    ) -> Self {
        let now = Instant::now();
        // An item that no engine gives its first event in the usual time, as with a long prompt,
        // would be moved for ever.
        let moves = owned.batch.borrow().fruitless_moves(index);
        Self {
            batches,
            owned,
            service,
            index,
            key,
            is_draft: false,
            version: None,
            pace: None,
            event_count: 0,
            last_progress_at: now,
            first_event: now,
            last_event_at: now,
            patience: 1 << moves.min(MAX_PATIENCE_DOUBLINGS),
        }
    }

    /// Returns the last event of the text.
    fn last_event(&self) -> Option<u64> {
        if self.is_draft {
            let drafts = self.owned.drafts.borrow();
            return drafts
                .get(&self.index)
                .and_then(|draft| draft.text.last_event());
        }
        self.owned.batch.borrow().last_event(self.index)
    }

    /// Appends an event to the text; returns `false` if it doesn't follow the last one.
    fn append_event(&self, event: &Event) -> bool {
        if self.is_draft {
            let mut drafts = self.owned.drafts.borrow_mut();
            let draft = drafts.get_mut(&self.index);
            return draft.is_some_and(|draft| {
                draft
                    .text
                    .append_event(event.number, &event.data, self.version)
            });
        }
        let mut batch = self.owned.batch.borrow_mut();
        batch.append_event(self.index, event.number, &event.data, self.version)
    }

    /// Sends the request and reads the response to its end.
    async fn generate(
        &mut self,
        request: &Request,
        endpoint: &Endpoint,
    ) -> Result<(), Interruption> {
        let head = &request.head;
        let context = &self.batches.context;
        let target = Target::of(endpoint, context.calls.topology());
        context.meters.record_sent(target.distance);
        let crashes = &self.batches.context.crashes;
        let mut flight = crashes.track(None, target.incarnation());
        let sent = attempt::build_request(head, &target, full_body(request.body.clone()));
        let pool = &self.batches.context.pool;
        let AttemptContext {
            cold, destinations, ..
        } = &self.batches.context;
        let start = || {
            let running = destinations.enter(&target.id, &target.data_centre)?;
            if !cold.confirm_send(&endpoint.id, Sender::Item) {
                return Err(Fault::Withheld);
            }
            flight.mark_sent();
            Ok(running)
        };
        let sending = pool.send_to_endpoint(target.address, sent, start);
        let sent = self.await_response(sending, head.id.as_str()).await?;
        let (response, connection) = sent.map_err(|fault| {
            flight.record_fault(&fault);
            log::debug!(target: BATCHES, item = head.id.as_str(),
                endpoint = endpoint.id.as_str(), error = fault.to_string().as_str();
                "An engine did not answer.");
            if matches!(fault, Fault::Evacuated) {
                log::info!(target: BATCHES, item = head.id.as_str(),
                    endpoint = endpoint.id.as_str(), place = &*target.data_centre;
                    "An item is not sent to an evacuated data centre.");
            }
            if matches!(fault, Fault::Left) {
                log::info!(target: BATCHES, item = head.id.as_str(),
                    endpoint = endpoint.id.as_str();
                    "An item is not sent to an engine that has left since it was chosen.");
            }
            match fault {
                Fault::Evacuated | Fault::Left | Fault::Withheld => {
                    let model = self.owned.submission.model.as_deref();
                    let mut engines = self.batches.engines.borrow_mut();
                    engines.record_unanswered_item(self.key, model);
                    Interruption::NotRun
                }
                Fault::Connect(_) | Fault::Broken(_) | Fault::Foreign => Interruption::Lost,
            }
        })?;
        let has_id = response.headers().contains_key(header::REQUEST);
        if has_id && response.status() != StatusCode::MISDIRECTED_REQUEST {
            flight.mark_alive();
        }
        if let Err(cause) = self.check_response(head, &endpoint.id, &response) {
            flight.mark_survived();
            return Err(cause);
        }
        let keep_alive = attempt::keep_alive(response.headers());
        self.read_events(response.into_body(), &mut flight).await?;
        flight.mark_answered();
        pool.return_to_pool(connection, keep_alive);
        Ok(())
    }

    /// Waits for the head of the response, unless another engine can start the item first.
    ///
    /// Several owners share the engines and know each other's load only from responses, so
    /// a run may get into the queue of a full engine. It leaves that queue as soon as
    /// another engine has capacity.
    async fn await_response<T>(
        &self,
        sent: impl Future<Output = T>,
        id: &str,
    ) -> Result<T, Interruption> {
        let mut sent = pin!(sent);
        let start = Instant::now();
        let median_pace = self.batches.engines.borrow().median_pace(self.service);
        let mut wait = Duration::from_secs_f64(median_pace.unwrap_or(DEFAULT_PACE) * QUEUE_FACTOR)
            .max(MIN_QUEUE_WAIT)
            .saturating_mul(self.patience)
            .min(RESPONSE_TIMEOUT);
        loop {
            if let Ok(answer) = timeout(wait, &mut sent).await {
                return Ok(answer);
            }
            let now = Instant::now();
            if now.saturating_duration_since(start) > RESPONSE_TIMEOUT {
                return Err(Interruption::Lost);
            }
            self.batches
                .engines
                .borrow_mut()
                .record_queueing(now, self.key);
            if self.other_engine(now).is_some() {
                log::debug!(target: BATCHES, item = id,
                    waited_ms = millis(start.elapsed());
                    "An item leaves the queue of a full engine.");
                self.batches.count_move("queue");
                return Err(Interruption::Moved);
            }
            wait = REPLACEMENT_POLL_INTERVAL;
        }
    }

    /// Evaluates the head of a response.
    fn check_response(
        &mut self,
        head: &Head,
        endpoint: &str,
        response: &Response<Incoming>,
    ) -> Result<(), Interruption> {
        let headers = response.headers();
        let load = text(headers, header::LOAD).and_then(header::parse_load);
        if let Some(load) = load {
            let mut engines = self.batches.engines.borrow_mut();
            let total = load.running.saturating_add(load.queued);
            let is_first = engines.record_load(Instant::now(), self.key, total, load.slowness);
            drop(engines);
            if let Some(percent) = load.slowness {
                self.batches
                    .record_slowness(self.service, endpoint, percent, is_first);
            }
        }
        let mut engines = self.batches.engines.borrow_mut();
        let status = response.status().as_u16();
        match status {
            200..=299
                if headers.contains_key(header::REQUEST)
                    && headers.contains_key(header::SIGNATURE) => {}
            _ if headers.contains_key(header::NOT_RUN) => {
                let has_exact_version = head.headers.contains_key(header::EXPECT_VERSION);
                let model = self.owned.submission.model.as_deref();
                let now = Instant::now();
                let reason = engines.record_refused_item(now, self.key, model, has_exact_version);
                self.batches.count_refusal(reason);
                return Err(Interruption::NotRun);
            }
            421 => {
                engines.record_unanswered_item(self.key, self.owned.submission.model.as_deref());
                self.batches.count_refusal(RefusalReason::Other);
                return Err(Interruption::NotRun);
            }
            422 => return Err(Interruption::Never),
            500 => return Err(Interruption::Failed),
            _ => return Err(Interruption::Lost),
        }
        let model = self.owned.submission.model.as_deref();
        engines.record_answered_item(Instant::now(), self.key, model);
        self.version = text(headers, header::WEIGHT_VERSIONS).and_then(|v| v.trim().parse().ok());
        if let Some((model, version)) = model.zip(self.version) {
            engines.record_version(self.key, model, version);
        }
        Ok(())
    }

    /// Reads the events of a response.
    async fn read_events(
        &mut self,
        mut body: Incoming,
        flight: &mut InFlight,
    ) -> Result<(), Interruption> {
        let mut events = EventDecoder::new();
        self.last_progress_at = Instant::now();
        loop {
            let Some(frame) = self.next_frame(&mut body, flight).await? else {
                break;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            events.push(&data);
            loop {
                match events.next_event() {
                    Ok(Some(event)) => self.handle_event(&event)?,
                    Ok(None) => break,
                    Err(_garbled) => return Err(Interruption::Lost),
                }
            }
        }
        if events.is_at_boundary() && self.last_event().is_some() {
            Ok(())
        } else {
            Err(Interruption::Lost)
        }
    }

    /// Waits for the next frame, unless the engine stalls and another has capacity.
    async fn next_frame(
        &mut self,
        body: &mut Incoming,
        flight: &mut InFlight,
    ) -> Result<Option<Frame<Bytes>>, Interruption> {
        let median_pace = self.batches.engines.borrow().median_pace(self.service);
        let stall = Duration::from_secs_f64(median_pace.unwrap_or(DEFAULT_PACE) * STALL_FACTOR)
            .max(MIN_STALL);
        let patience = if self.event_count == 0 {
            self.patience
        } else {
            1
        };
        let mut wait = stall * patience;
        loop {
            // Bytes that make no event are no progress.
            let idle = self.last_progress_at.elapsed();
            if idle > EVENT_TIMEOUT {
                return Err(Interruption::Lost);
            }
            let limit = EVENT_TIMEOUT.saturating_sub(idle).max(MIN_STALL);
            match timeout(wait.min(limit), body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => return Ok(Some(frame)),
                Ok(Some(Err(error))) => {
                    flight.record_break(&error);
                    return Err(Interruption::Lost);
                }
                Err(_elapsed) => {}
            }
            let now = Instant::now();
            self.batches
                .engines
                .borrow_mut()
                .record_stall(now, self.key);
            if self.other_engine(now).is_some() {
                self.batches.count_move("stall");
                return Err(Interruption::Moved);
            }
            wait = REPLACEMENT_POLL_INTERVAL;
        }
    }

    /// Returns another engine that has capacity for this item.
    fn other_engine(&self, now: Instant) -> Option<EngineKey> {
        if self.is_draft {
            return None;
        }
        let route = self.batches.route(self.owned)?;
        self.batches
            .choose_engine(now, self.owned, &route, self.index, Some(self.key))
    }

    /// Appends an event; one that doesn't follow the last ends the run.
    fn handle_event(&mut self, event: &Event) -> Result<(), Interruption> {
        if let Some(version) = event.version {
            self.version = Some(version);
            if let Some(model) = self.owned.submission.model.as_deref() {
                let mut engines = self.batches.engines.borrow_mut();
                engines.record_version(self.key, model, version);
            }
        }
        if !self.append_event(event) {
            return Err(Interruption::Lost);
        }
        self.last_progress_at = Instant::now();
        self.measure_pace()
    }

    /// Measures the pace, and ends the run if another engine is fast enough to take it over.
    fn measure_pace(&mut self) -> Result<(), Interruption> {
        let now = Instant::now();
        let gap = now
            .saturating_duration_since(self.last_event_at)
            .as_secs_f64();
        self.last_event_at = now;
        self.event_count += 1;
        self.batches.engines.borrow_mut().record_event(self.key);
        if self.event_count == 1 {
            // The time to the first event measures the queue and the prompt.
            self.first_event = now;
            return Ok(());
        }
        let pace = self.pace.unwrap_or(gap);
        self.pace = Some(pace + (gap - pace) * PACE_WEIGHT);
        if !self.event_count.is_multiple_of(PACE_CHECK_EVENTS) {
            return Ok(());
        }
        let pace = self.pace.unwrap_or(gap);
        self.batches
            .engines
            .borrow_mut()
            .record_pace(now, self.key, pace);
        let progress = self.progress(now, pace);
        let engines = &self.batches.engines;
        let may_move = engines
            .borrow()
            .may_move(now, self.service, self.key, &progress);
        let Some(other) = may_move.then(|| self.other_engine(now)).flatten() else {
            return Ok(());
        };
        let engines = engines.borrow();
        // A run that makes events does not wait: a cold engine is for those that do.
        if engines.is_cold(other) {
            return Ok(());
        }
        let reason = engines.move_reason(now, self.service, self.key, &progress, other);
        drop(engines);
        let Some(reason) = reason else {
            return Ok(());
        };
        let engines = (self.key, other);
        self.batches
            .record_move(now, self.owned, self.index, engines, &progress, reason);
        Err(Interruption::Moved)
    }

    /// Returns how far this run is, with its present pace.
    fn progress(&self, now: Instant, pace: f64) -> Progress {
        let item = &self.owned.submission.items[self.index];
        let elapsed = now.saturating_duration_since(self.first_event);
        let engines = self.batches.engines.borrow();
        Progress {
            events: self.last_event().unwrap_or(0),
            pace,
            mean_pace: elapsed.as_secs_f64() / f64::from(self.event_count.max(2) - 1),
            elapsed,
            length: engines.length(item.hint, item.tokens),
            due: self.owned.due_at,
        }
    }
}
