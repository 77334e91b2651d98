//! Reports of the usage of client accounts to the platform.
//!
//! [`hibiscusroad::usage::Reports`] decides what is done next; this module adds up the counts
//! of a window, stores the report and sends it. A report is stored under the lease before it is
//! sent, and each attempt is recorded before it is made, so that the next holder of the lease
//! knows when this process may have called last.

use crate::{
    gateway::{
        duty::Duty,
        failure::Failure,
        http::{ConnectionPool, encode},
        known_config::KnownConfig,
        meters::Meters,
        store::Store,
        times::Times,
    },
    logs::USAGE,
    settings::Usage as Settings,
};
use futures_util::future::{join, try_join_all};
use hibiscusroad::{
    clock::millis,
    rollout::order_records::ORDER_TTL,
    table::{Change, Commit, Range, Row},
    usage::{self, ReportTiming, Reports, Step, StoredReport, Window, Windows},
};
use hibiscusroad_platform::{
    duty::{self, ReportOutcome},
    table::MAX_ENTRIES,
};
use http_body_util::BodyExt;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Time limit of a call to the platform. A slow one answers in 250 ms, and sending the same
/// report again is harmless.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a failed step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum sleep. The lease may be lost or the clock be set during it.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Windows between two removals of old rows.
const CLEANUP_WINDOWS: u64 = 6;

/// Reports usage while this process holds the lease.
pub(in crate::gateway) struct Reporter {
    /// The name of this process, which the platform is told.
    name: String,
    address: SocketAddr,
    terms: ReportTiming,
    duty: Rc<Duty>,
    store: Rc<Store>,
    times: Times,
    known: Rc<KnownConfig>,
    meters: Rc<Meters>,
    pool: ConnectionPool,
    /// The time of day at which the store last answered again after an outage.
    store_returned: Cell<Option<Duration>>,
    /// The reports, and the fencing token under which they were read.
    reports: RefCell<Option<(u64, Reports)>>,
}

impl Reporter {
    pub(in crate::gateway) fn new(
        name: &str,
        settings: &Settings,
        duty: Rc<Duty>,
        store: Rc<Store>,
        times: Times,
        known: Rc<KnownConfig>,
        meters: Rc<Meters>,
    ) -> Self {
        let terms = ReportTiming {
            windows: Windows::new(Duration::from_secs(settings.window_s)),
            deadline: Duration::from_secs(settings.late_s),
            call_gap: duty.call_gap(),
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
            pool: ConnectionPool::new(),
            store_returned: Cell::new(None),
            reports: RefCell::default(),
        }
    }

    /// Records that the store answers again after an outage.
    pub(in crate::gateway) fn record_store_return(&self) {
        self.store_returned.set(Some(self.times.now()));
    }

    /// Returns whether there are client accounts, whose usage has to be reported.
    pub(in crate::gateway) fn is_needed(&self) -> bool {
        let catalog = self.known.catalog();
        catalog.is_some_and(|catalog| catalog.has_accounts())
    }

    /// Reports usage until the process ends.
    pub(in crate::gateway) async fn run(self: Rc<Self>) {
        loop {
            let Some(fence) = self.duty.fencing_token().filter(|_| self.is_needed()) else {
                self.duty.next_renewal().await;
                continue;
            };
            if !self.is_loaded(fence) && !self.load(fence).await {
                sleep(RETRY_DELAY).await;
                continue;
            }
            let now = self.times.now();
            let step =
                self.with_reports(|reports| reports.next_step(now, self.store_returned.get()));
            let done = match step {
                Some(Step::Make(window)) => self.make_report(window).await,
                Some(Step::Send(window)) => self.send_report(window, fence).await,
                Some(Step::GiveUp(window)) => self.close_report(window, "given-up").await,
                Some(Step::Wait(until)) => {
                    sleep(until.saturating_sub(now).min(MAX_SLEEP)).await;
                    true
                }
                None => false,
            };
            if !done {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Calls `f` with the reports, if they were read.
    fn with_reports<T>(&self, f: impl FnOnce(&mut Reports) -> T) -> Option<T> {
        let mut reports = self.reports.borrow_mut();
        reports.as_mut().map(|(_, reports)| f(reports))
    }

    fn is_loaded(&self, fence: u64) -> bool {
        let reports = self.reports.borrow();
        reports
            .as_ref()
            .is_some_and(|(loaded_fence, _)| *loaded_fence == fence)
    }

    /// Reads the reports that earlier holders of the lease stored, and the oldest counts.
    async fn load(&self, fence: u64) -> bool {
        let reports = Range::part(usage::REPORTS_TABLE, "");
        let oldest = self.read_counts(None, Some(1));
        let read = join(self.store.read_whole(&reports), oldest).await;
        let (page, oldest) = match read {
            (Ok(page), Ok(oldest)) => (page, oldest),
            (Err(failure), _) | (_, Err(failure)) => {
                log::info!(target: USAGE, error = failure.to_string().as_str();
                    "Reports of usage can't be read yet.");
                return false;
            }
        };
        self.duty.record_rows(&page.rows);
        let mut reports = Reports::new(self.terms, self.times.now());
        for row in &oldest {
            reports.start_from(&row.id.key);
        }
        for row in &page.rows {
            match serde_json::from_slice(&row.value) {
                Ok(report) => reports.load(&row.id.key, report),
                Err(error) => log::error!(target: USAGE, report = row.id.key.as_str(),
                    error = error.to_string().as_str();
                    "A stored report can't be decoded and is ignored."),
            }
        }
        log::info!(target: USAGE, fence = fence, reports = page.rows.len();
            "This process reports usage.");
        self.reports.replace(Some((fence, reports)));
        true
    }

    /// Adds up the counts of a window and stores its report.
    async fn make_report(&self, window: Window) -> bool {
        let (start, end) = usage::key_range(window);
        let rows = match self.read_counts(Some((&start, &end)), None).await {
            Ok(rows) => rows,
            Err(failure) => {
                log::info!(target: USAGE, window = window.0, error = failure.to_string().as_str();
                    "The counts of a window can't be read yet.");
                return false;
            }
        };
        let values = rows.iter().map(|row| row.value.as_slice());
        let (counts, broken) = usage::sum_counts(values);
        let requests: u64 = counts.values().sum();
        let Some(now) = self.store.now() else {
            log::info!(target: USAGE, window = window.0; "The store's clock is not known yet.");
            return false;
        };
        let report = StoredReport::new(
            duty::encode_usage(window.0, &counts),
            self.duty.holder(),
            now,
        );
        let row = usage::report_row(window);
        let change = Change::new()
            .expect(row.clone(), 0)
            .put(row, encode_report(&report));
        match self.duty.transact(change).await {
            Some(Commit::Done { .. }) => {
                log::info!(target: USAGE, window = window.0, rows = rows.len(),
                    broken = broken, accounts = counts.len(), requests = requests;
                    "The report of a window is kept.");
                self.with_reports(|reports| reports.record(window, report));
                true
            }
            Some(Commit::Conflict(_)) => {
                // Stored already, by a write of this process whose answer was lost.
                self.reports.replace(None);
                false
            }
            commit @ (Some(Commit::Refused | Commit::Unknown) | None) => {
                log::info!(target: USAGE, window = window.0, done:? = commit;
                    "The report of a window can't be stored yet.");
                false
            }
        }
    }

    /// Reads counts in all parts: those with keys in a range, or the first `limit` of each part.
    async fn read_counts(
        &self,
        keys: Option<(&str, &str)>,
        limit: Option<usize>,
    ) -> Result<Vec<Row>, Failure> {
        let parts: Vec<String> = usage::usage_parts().collect();
        let reads = parts.iter().map(async |part| {
            let range = Range {
                start: keys.map(|(start, _)| start),
                end: keys.map(|(_, end)| end),
                limit,
                ..Range::part(usage::USAGE_TABLE, part)
            };
            match limit {
                Some(_) => self.store.read(&range).await,
                None => self.store.read_whole(&range).await,
            }
        });
        let pages = try_join_all(reads).await?;
        Ok(pages.into_iter().flat_map(|page| page.rows).collect())
    }

    /// Sends a report, once no call of an earlier holder of the lease can still arrive.
    async fn send_report(&self, window: Window, fence: u64) -> bool {
        let report = self
            .with_reports(|reports| reports.get(window).cloned())
            .flatten();
        let Some((report, now)) = report.zip(self.store.now()) else {
            return false;
        };
        let blocked_until = self.with_reports(|reports| reports.blocked_until(self.duty.holder()));
        let delay = blocked_until
            .flatten()
            .map(|until| until.saturating_sub(now));
        if let Some(delay) = delay.filter(|delay| !delay.is_zero()) {
            log::info!(target: USAGE, window = window.0, pause_ms = millis(delay);
                "A report waits until no call of the previous holder can still arrive.");
            sleep(delay.min(MAX_SLEEP)).await;
            return true;
        }
        let valid_until = self.duty.now() + ORDER_TTL;
        if !self.record_attempt(window, report.clone()).await {
            return false;
        }
        // Checked last: there is no await between this and the call.
        let in_time = self.duty.now() < valid_until;
        if !in_time || self.duty.fencing_token() != Some(fence) {
            return false;
        }
        let start = Instant::now();
        let answer = self.call_platform(fence, &report.body).await;
        log::info!(target: USAGE, window = window.0, fence = fence, answer:? = answer,
            took_ms = millis(start.elapsed()),
            late_ms = millis(self.times.now().saturating_sub(self.terms.windows.end(window)));
            "A report of usage is sent.");
        match answer {
            ReportOutcome::Done => self.close_report(window, "accepted").await,
            ReportOutcome::Fenced => {
                self.count_outcome("fenced");
                self.duty.record_conflict();
                false
            }
            ReportOutcome::Refused | ReportOutcome::Unknown => {
                self.count_outcome("failed");
                false
            }
        }
    }

    /// Records in the store that this process is about to send a report.
    async fn record_attempt(&self, window: Window, report: StoredReport) -> bool {
        let Some(now) = self.store.now() else {
            return false;
        };
        let is_recent = now.saturating_sub(Duration::from_millis(report.written_at)) < ORDER_TTL;
        if is_recent && report.holder == self.duty.holder() {
            return true;
        }
        let report = StoredReport::new(report.body, self.duty.holder(), now);
        self.store_report(window, report).await
    }

    /// Records that a report needs no further attempt.
    async fn close_report(&self, window: Window, outcome: &str) -> bool {
        self.count_outcome(outcome);
        let Some(report) = self
            .with_reports(|reports| reports.get(window).cloned())
            .flatten()
        else {
            return false;
        };
        let report = StoredReport {
            closed: true,
            ..report
        };
        self.with_reports(|reports| reports.record(window, report.clone()));
        // If this write fails the next holder sends the same report again, which is harmless.
        self.store_report(window, report).await;
        if window.0.is_multiple_of(CLEANUP_WINDOWS) {
            self.remove_old_rows(window).await;
        }
        true
    }

    async fn store_report(&self, window: Window, report: StoredReport) -> bool {
        let change = Change::new().put(usage::report_row(window), encode_report(&report));
        let commit = self.duty.transact(change).await;
        let stored = matches!(commit, Some(Commit::Done { .. }));
        if stored {
            self.with_reports(|reports| reports.record(window, report));
        }
        stored
    }

    /// Removes rows of windows that are no longer needed, as many as one write may have.
    async fn remove_old_rows(&self, window: Window) {
        let Some(oldest) = self.with_reports(|reports| reports.first_retained(window)) else {
            return;
        };
        let (end, _) = usage::key_range(oldest);
        let counts = usage::usage_parts().map(|part| (usage::USAGE_TABLE, part));
        for (table, part) in counts.chain([(usage::REPORTS_TABLE, String::new())]) {
            let range = Range {
                end: Some(&end),
                limit: Some(MAX_ENTRIES - 1),
                ..Range::part(table, &part)
            };
            let Ok(page) = self.store.read(&range).await else {
                return;
            };
            if page.rows.is_empty() {
                continue;
            }
            self.duty.forget_rows(page.rows.iter().map(|row| &row.id));
            let removed = page.rows.into_iter().map(|row| row.id);
            let change = removed.fold(Change::new(), Change::remove);
            let commit = self.store.transact(&change).await;
            log::debug!(target: USAGE, table = table, done = matches!(commit, Commit::Done { .. });
                "The removal of old usage rows ended.");
        }
    }

    fn count_outcome(&self, outcome: &str) {
        self.meters.reports.with_label_values(&[outcome]).inc();
    }

    async fn call_platform(&self, fence: u64, report: &str) -> ReportOutcome {
        match timeout(CALL_TIMEOUT, self.exchange(fence, report)).await {
            Ok(Ok(status)) => duty::report_outcome(status),
            Ok(Err(error)) => {
                log::info!(target: USAGE, error = error.as_str(); "The platform did not answer.");
                ReportOutcome::Unknown
            }
            Err(_elapsed) => ReportOutcome::Unknown,
        }
    }

    async fn exchange(&self, fence: u64, report: &str) -> Result<u16, String> {
        let wire = duty::report_request(&self.name, fence, report);
        let request = encode(&wire, self.address).map_err(|error| error.to_string())?;
        let sent = self.pool.send(self.address, request).await;
        let (response, connection) = sent.map_err(|fault| fault.to_string())?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        body.map_err(|error| error.to_string())?;
        self.pool.return_to_pool(connection, None);
        Ok(status)
    }
}

fn encode_report(report: &StoredReport) -> Vec<u8> {
    serde_json::to_vec(report).unwrap_or_default()
}
