//! The duty of reporting what accounts used.
//!
//! [`hibiscusroad::usage::Reports`] decides; this module adds up, keeps and sends. A
//! report is kept under the lease before it is sent, and every try is written down anew,
//! so that whoever takes the duty over sees when this process may have called last.

use crate::{
    gateway::{
        duty::Duty,
        http::{Channels, encode},
        known::Known,
        meters::Meters,
        store::Store,
        times::Times,
    },
    logs::USAGE,
    settings::Usage as Settings,
};
use futures_util::future::join;
use hibiscusroad::{
    clock::millis,
    rollout::order_records::ORDER_TTL,
    table::{Change, Commit, Range},
    usage::{self, Kept, Reports, Step, Terms, Window, Windows},
};
use hibiscusroad_platform::{
    duty::{self, Answer},
    table::MOST_ENTRIES,
};
use http_body_util::BodyExt;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// A slow platform answers in a quarter of a second. One that takes longer is asked
/// again with the same report, which does no harm.
const CALL: Duration = Duration::from_millis(1_500);
/// Pause before something that failed is tried again.
const AGAIN: Duration = Duration::from_millis(400);
/// Longest sleep: the duty may be lost, or the clock be set, meanwhile.
const LOOK: Duration = Duration::from_secs(1);
/// Rows of old windows are removed once in so many windows.
const SWEEP: u64 = 6;

/// Reports usage while this process holds the duties.
pub(in crate::gateway) struct Reporter {
    /// The name of this process, for the platform.
    name: String,
    address: SocketAddr,
    terms: Terms,
    duty: Rc<Duty>,
    store: Rc<Store>,
    times: Times,
    known: Rc<Known>,
    meters: Rc<Meters>,
    channels: Channels,
    /// The time of day at which the store came back last.
    back: Cell<Option<Duration>>,
    /// The reports, as they were read under this fencing number.
    reports: RefCell<Option<(u64, Reports)>>,
}

impl Reporter {
    pub(in crate::gateway) fn new(
        name: &str,
        settings: &Settings,
        duty: Rc<Duty>,
        store: Rc<Store>,
        times: Times,
        known: Rc<Known>,
        meters: Rc<Meters>,
    ) -> Self {
        let terms = Terms {
            windows: Windows::new(Duration::from_secs(settings.window_s)),
            late: Duration::from_secs(settings.late_s),
            apart: duty.apart(),
        };
        Self {
            name: name.to_owned(),
            address: settings.address,
            terms,
            duty,
            store,
            times,
            known,
            meters,
            channels: Channels::new(),
            back: Cell::new(None),
            reports: RefCell::default(),
        }
    }

    /// Notes that the store answers again after it was away.
    pub(in crate::gateway) fn store_back(&self) {
        self.back.set(Some(self.times.now()));
    }

    /// Says whether there are accounts whose usage has to be reported.
    pub(in crate::gateway) fn is_needed(&self) -> bool {
        let catalog = self.known.catalog();
        catalog.is_some_and(|catalog| catalog.has_accounts())
    }

    /// Reports for as long as the process runs.
    pub(in crate::gateway) async fn run(self: Rc<Self>) {
        loop {
            let Some(fence) = self.duty.fence().filter(|_| self.is_needed()) else {
                self.duty.next_renewal().await;
                continue;
            };
            if !self.has_read(fence) && !self.read(fence).await {
                sleep(AGAIN).await;
                continue;
            }
            let now = self.times.now();
            let step = self.with(|reports| reports.next(now, self.back.get()));
            let done = match step {
                Some(Step::Make(window)) => self.make(window).await,
                Some(Step::Send(window)) => self.send(window, fence).await,
                Some(Step::GiveUp(window)) => self.close(window, "given-up").await,
                Some(Step::Wait(until)) => {
                    sleep(until.saturating_sub(now).min(LOOK)).await;
                    true
                }
                None => false,
            };
            if !done {
                sleep(AGAIN).await;
            }
        }
    }

    fn with<T>(&self, look: impl FnOnce(&mut Reports) -> T) -> Option<T> {
        let mut reports = self.reports.borrow_mut();
        reports.as_mut().map(|(_, reports)| look(reports))
    }

    fn has_read(&self, fence: u64) -> bool {
        let reports = self.reports.borrow();
        reports.as_ref().is_some_and(|(known, _)| *known == fence)
    }

    /// Reads the reports that holders before have kept, and where counts begin.
    async fn read(&self, fence: u64) -> bool {
        let reports = Range::part(usage::REPORTS, "");
        let count = Range {
            limit: Some(1),
            ..Range::part(usage::USAGE, "")
        };
        let read = join(self.store.read_whole(&reports), self.store.read(&count)).await;
        let (page, count) = match read {
            (Ok(page), Ok(count)) => (page, count),
            (Err(failure), _) | (_, Err(failure)) => {
                log::info!(target: USAGE, error = failure.to_string().as_str();
                    "Reports of usage could not be read yet.");
                return false;
            }
        };
        let mut reports = Reports::new(self.terms, self.times.now());
        if let Some(row) = count.rows.first() {
            reports.begin_with(&row.id.key);
        }
        for row in &page.rows {
            match serde_json::from_slice(&row.value) {
                Ok(kept) => reports.read(&row.id.key, kept),
                Err(error) => log::error!(target: USAGE, report = row.id.key.as_str(),
                    error = error.to_string().as_str(); "A kept report is broken; it is ignored."),
            }
        }
        log::info!(target: USAGE, fence = fence, reports = page.rows.len();
            "Usage is reported here.");
        self.reports.replace(Some((fence, reports)));
        true
    }

    /// Adds up a window and keeps its report.
    async fn make(&self, window: Window) -> bool {
        let keys = usage::keys(window);
        let range = Range {
            from: Some(&keys.0),
            end: Some(&keys.1),
            ..Range::part(usage::USAGE, "")
        };
        let page = match self.store.read_whole(&range).await {
            Ok(page) => page,
            Err(failure) => {
                log::info!(target: USAGE, window = window.0, error = failure.to_string().as_str();
                    "The counts of a window could not be read yet.");
                return false;
            }
        };
        let values = page.rows.iter().map(|row| row.value.as_slice());
        let (counts, broken) = usage::merge(values);
        let requests: u64 = counts.values().sum();
        let Some(store) = self.store.now() else {
            log::info!(target: USAGE, window = window.0; "The store's clock is not known yet.");
            return false;
        };
        let kept = Kept::new(duty::usage(window.0, &counts), self.duty.life(), store);
        let row = usage::report(window);
        let change = Change::new()
            .expect(row.clone(), 0)
            .put(row, encoded(&kept));
        match self.duty.transact(change).await {
            Some(Commit::Done { .. }) => {
                log::info!(target: USAGE, window = window.0, rows = page.rows.len(),
                    broken = broken, accounts = counts.len(), requests = requests;
                    "The report of a window is kept.");
                self.with(|reports| reports.note(window, kept));
                true
            }
            Some(Commit::Conflict(_)) => {
                // It is there already: a write of this process whose answer was lost.
                self.reports.replace(None);
                false
            }
            done @ (Some(Commit::Refused | Commit::Unknown) | None) => {
                log::info!(target: USAGE, window = window.0, done:? = done;
                    "The report of a window could not be kept yet.");
                false
            }
        }
    }

    /// Sends a report, as soon as no call of another holder can cross with it.
    async fn send(&self, window: Window, fence: u64) -> bool {
        let kept = self.with(|reports| reports.get(window).cloned()).flatten();
        let Some((kept, now)) = kept.zip(self.store.now()) else {
            return false;
        };
        let barred = self.with(|reports| reports.barred(self.duty.life()));
        let pause = barred.flatten().map(|until| until.saturating_sub(now));
        if let Some(pause) = pause.filter(|pause| !pause.is_zero()) {
            log::info!(target: USAGE, window = window.0, pause_ms = millis(pause);
                "A report waits until calls of the holder before can't come any more.");
            sleep(pause.min(LOOK)).await;
            return true;
        }
        let until = self.duty.now() + ORDER_TTL;
        if !self.write_down(window, kept.clone()).await {
            return false;
        }
        // Looked at last: nothing is waited for between this and the call.
        let in_time = self.duty.now() < until;
        if !in_time || self.duty.fence() != Some(fence) {
            return false;
        }
        let start = Instant::now();
        let answer = self.call(fence, &kept.body).await;
        log::info!(target: USAGE, window = window.0, fence = fence, answer:? = answer,
            took_ms = millis(start.elapsed()),
            late_ms = millis(self.times.now().saturating_sub(self.terms.windows.end(window)));
            "A report of usage is sent.");
        match answer {
            Answer::Done => self.close(window, "accepted").await,
            Answer::Fenced => {
                self.count("fenced");
                self.duty.beaten();
                false
            }
            Answer::Refused | Answer::Unknown => {
                self.count("failed");
                false
            }
        }
    }

    /// Writes down that this process is about to send a report.
    async fn write_down(&self, window: Window, kept: Kept) -> bool {
        let Some(now) = self.store.now() else {
            return false;
        };
        let fresh = now.saturating_sub(Duration::from_millis(kept.at)) < ORDER_TTL;
        if fresh && kept.holder == self.duty.life() {
            return true;
        }
        let kept = Kept::new(kept.body, self.duty.life(), now);
        self.put(window, kept).await
    }

    /// Notes that a report needs no further try.
    async fn close(&self, window: Window, outcome: &str) -> bool {
        self.count(outcome);
        let Some(kept) = self.with(|reports| reports.get(window).cloned()).flatten() else {
            return false;
        };
        let kept = Kept { sent: true, ..kept };
        self.with(|reports| reports.note(window, kept.clone()));
        // If that isn't written the next holder sends the report again, to the letter.
        self.put(window, kept).await;
        if window.0.is_multiple_of(SWEEP) {
            self.sweep(window).await;
        }
        true
    }

    async fn put(&self, window: Window, kept: Kept) -> bool {
        let change = Change::new().put(usage::report(window), encoded(&kept));
        let done = self.duty.transact(change).await;
        let done = matches!(done, Some(Commit::Done { .. }));
        if done {
            self.with(|reports| reports.note(window, kept));
        }
        done
    }

    /// Removes rows of windows that nobody looks into any more; what is left for want
    /// of room goes the next time.
    async fn sweep(&self, window: Window) {
        let Some(oldest) = self.with(|reports| reports.outlived(window)) else {
            return;
        };
        let (end, _) = usage::keys(oldest);
        for table in [usage::USAGE, usage::REPORTS] {
            let range = Range {
                end: Some(&end),
                limit: Some(MOST_ENTRIES - 1),
                ..Range::part(table, "")
            };
            let Ok(page) = self.store.read(&range).await else {
                return;
            };
            if page.rows.is_empty() {
                continue;
            }
            let removed = page.rows.into_iter().map(|row| row.id);
            let change = removed.fold(Change::new(), Change::remove);
            let done = self.store.transact(&change).await;
            log::debug!(target: USAGE, table = table, done = matches!(done, Commit::Done { .. });
                "Old rows of usage are removed.");
        }
    }

    fn count(&self, outcome: &str) {
        self.meters.reports.with_label_values(&[outcome]).inc();
    }

    async fn call(&self, fence: u64, report: &str) -> Answer {
        match timeout(CALL, self.exchange(fence, report)).await {
            Ok(Ok(status)) => duty::answer(status),
            Ok(Err(error)) => {
                log::info!(target: USAGE, error = error.as_str(); "The platform did not answer.");
                Answer::Unknown
            }
            Err(_elapsed) => Answer::Unknown,
        }
    }

    async fn exchange(&self, fence: u64, report: &str) -> Result<u16, String> {
        let call = duty::hand_in(&self.name, fence, report);
        let request = encode(&call, self.address).map_err(|error| error.to_string())?;
        let sent = self.channels.send(self.address, request).await;
        let (response, channel) = sent.map_err(|fault| fault.to_string())?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        body.map_err(|error| error.to_string())?;
        self.channels.give_back(channel, None);
        Ok(status)
    }
}

fn encoded(kept: &Kept) -> Vec<u8> {
    serde_json::to_vec(kept).unwrap_or_default()
}
