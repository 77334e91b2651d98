//! The metrics of a gateway, served in the Prometheus text format.
//!
//! The role entry pushes its metrics with `cadence`. A gateway's are scraped from an
//! address in the settings, so they need a registry instead.

use hibiscusroad::topology::Distance;
use hyper::StatusCode;
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
    core::{Atomic, GenericGaugeVec},
};
use std::time::Duration;

/// Upper bounds of the buckets of latencies, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Upper bounds of the buckets of slowness, as multiples of the usual time.
const SLOWNESS_BUCKETS: &[f64] = &[1.0, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0];

/// All metrics: name, kind, label and help text, as the operations page lists them.
pub const NAMES: &[(&str, &str, &str, &str)] = &[
    (
        "gateway_answers_total",
        "counter",
        "outcome",
        "callers' requests by how they ended: a status class, or the problem that was told",
    ),
    (
        "gateway_answer_seconds",
        "histogram",
        "",
        "seconds from a request's head to its answer's head",
    ),
    (
        "gateway_attempts_total",
        "counter",
        "outcome",
        "attempts at endpoints: answered, not-run, failed",
    ),
    (
        "gateway_batches_total",
        "counter",
        "event",
        "batches: accepted, refused, taken-over, given-back, ended, swept",
    ),
    (
        "gateway_runs_total",
        "counter",
        "outcome",
        "runs of items: whole, moved, not-run, lost, failed, never",
    ),
    (
        "gateway_run_seconds",
        "histogram",
        "",
        "seconds of a run that made a text whole",
    ),
    (
        "gateway_results_total",
        "counter",
        "",
        "results that were listed",
    ),
    (
        "gateway_batches_running",
        "gauge",
        "",
        "batches that run here",
    ),
    (
        "gateway_loads_total",
        "counter",
        "outcome",
        "loads of weights that were ordered: done, failed",
    ),
    (
        "gateway_load_seconds",
        "histogram",
        "",
        "seconds from an order to the weights' registration",
    ),
    (
        "gateway_store_calls_total",
        "counter",
        "outcome",
        "calls to the store: answered, refused, lost",
    ),
    (
        "gateway_connections_total",
        "counter",
        "",
        "connections that were opened to endpoints",
    ),
    (
        "gateway_config_version",
        "gauge",
        "",
        "version of the configuration in force",
    ),
    (
        "gateway_lines_dropped_total",
        "counter",
        "",
        "log lines left out for want of room",
    ),
    (
        "gateway_detours_total",
        "counter",
        "outcome",
        "calls to the store that a peer was asked to carry: answered, refused, lost",
    ),
    (
        "gateway_broken_entries_total",
        "counter",
        "",
        "changes of endpoints' entries that name no endpoint",
    ),
    (
        "gateway_usage_reports_total",
        "counter",
        "outcome",
        "tries to report usage: accepted, failed, fenced, given-up",
    ),
    (
        "gateway_crashes_total",
        "counter",
        "outcome",
        "requests in flight at endpoints that ended: noted, cleared, void",
    ),
    ("gateway_quarantined", "gauge", "", "requests in quarantine"),
    (
        "gateway_engines_held",
        "gauge",
        "",
        "engines that get no item of a model because they are assumed to load its weights",
    ),
    (
        "gateway_items_withheld_total",
        "counter",
        "",
        "items that waited because only engines that are held for a load had room",
    ),
    (
        "gateway_refusals_total",
        "counter",
        "reason",
        "items that engines did not run, by the probable reason: loading, full, other",
    ),
    (
        "gateway_moves_total",
        "counter",
        "reason",
        "runs that left an engine for another: queue, stall, pace, outgrown, late",
    ),
    (
        "gateway_engine_slowness",
        "histogram",
        "",
        "slowness of their hosts as engines reported it, 1 is as usual",
    ),
    (
        "gateway_endpoints",
        "gauge",
        "slowness",
        "endpoints that take calls by the current pace of their hosts: usual, slow, unknown",
    ),
    (
        "gateway_steps",
        "gauge",
        "state",
        "open steps here that share slots, where trainers compete: needed, lost, surplus",
    ),
    (
        "gateway_slots",
        "gauge",
        "priority",
        "slots that items of these steps use, by priority; 9 is 9 and below",
    ),
    (
        "gateway_waiting_calls",
        "gauge",
        "priority",
        "waiting calls of services for which callers compete, by account priority",
    ),
    (
        "gateway_account_refusals_total",
        "counter",
        "priority",
        "calls refused as `saturated` where callers compete, by account priority",
    ),
    (
        "gateway_account_share_refusals_total",
        "counter",
        "priority",
        "calls refused as `account-share`, by account priority",
    ),
    (
        "gateway_account_work_seconds",
        "gauge",
        "account",
        "work that waits, of the eight accounts with the most",
    ),
    (
        "gateway_evacuated_data_centres",
        "gauge",
        "",
        "data centres that are evacuated",
    ),
    (
        "gateway_evacuated_requests",
        "gauge",
        "place",
        "requests of this process that still run in evacuated data centres, the first eight by name",
    ),
    (
        "gateway_sent_total",
        "counter",
        "distance",
        "requests and items sent to endpoints: own-data-centre, own-region, other-region",
    ),
    (
        "gateway_region_refusals_total",
        "counter",
        "",
        "requests and batches refused because their regions have no endpoint that takes them",
    ),
    (
        "gateway_cold_endpoints",
        "gauge",
        "service",
        "endpoints that are cold, as far as is known here; services after the eighth are other",
    ),
    (
        "gateway_cold_requests_total",
        "counter",
        "service",
        "requests that were sent from here to endpoints that were known to be cold",
    ),
    (
        "gateway_cold_permits",
        "gauge",
        "service",
        "permits for the cold endpoints of a service that are held here",
    ),
    (
        "gateway_items_held_back_total",
        "counter",
        "service",
        "items that waited because only engines had room that are, were or may be cold",
    ),
    (
        "gateway_store_seconds",
        "histogram",
        "call",
        "seconds until the store answered a call: read, write, object",
    ),
    (
        "gateway_idle_waits_total",
        "counter",
        "obstacle",
        "looks at batches whose items wait although engines have room, by what keeps an item from most engines",
    ),
];

/// Returns the position of a metric in [`NAMES`].
///
/// # Panics
///
/// Panics if it is not listed.
fn position(name: &str) -> usize {
    let found = NAMES.iter().position(|(listed, ..)| *listed == name);
    found.expect("each metric is listed")
}

/// Registers gauges with the label that [`NAMES`] has for them.
fn labelled<P>(n: usize, registry: &Registry) -> prometheus::Result<GenericGaugeVec<P>>
where
    P: Atomic + 'static,
{
    let (name, _, label, help) = NAMES[n];
    let gauges = GenericGaugeVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

/// All metrics of a gateway.
#[derive(Debug)]
pub(super) struct Meters {
    registry: Registry,
    pub(super) answers: IntCounterVec,
    pub(super) answer_seconds: Histogram,
    pub(super) attempts: IntCounterVec,
    pub(super) batches: IntCounterVec,
    pub(super) runs: IntCounterVec,
    pub(super) run_seconds: Histogram,
    pub(super) results: IntCounter,
    pub(super) running: IntGauge,
    pub(super) loads: IntCounterVec,
    pub(super) load_seconds: Histogram,
    pub(super) store_calls: IntCounterVec,
    pub(super) store_seconds: HistogramVec,
    pub(super) detours: IntCounterVec,
    pub(super) broken_entries: IntCounter,
    pub(super) reports: IntCounterVec,
    pub(super) crashes: IntCounterVec,
    pub(super) quarantined: IntGauge,
    pub(super) engines_held: IntGauge,
    pub(super) withheld: IntCounter,
    pub(super) refusals: IntCounterVec,
    pub(super) moves: IntCounterVec,
    pub(super) idle_waits: IntCounterVec,
    pub(super) engine_slowness: Histogram,
    pub(super) endpoints: IntGaugeVec,
    pub(super) steps: IntGaugeVec,
    pub(super) slots: IntGaugeVec,
    pub(super) connections: IntGauge,
    pub(super) config: IntGauge,
    pub(super) dropped: IntGauge,
    pub(super) waiting_calls: IntGaugeVec,
    pub(super) account_refusals: IntCounterVec,
    pub(super) share_refusals: IntCounterVec,
    pub(super) account_work: GaugeVec,
    pub(super) evacuated: IntGauge,
    pub(super) evacuated_requests: IntGaugeVec,
    sent: IntCounterVec,
    pub(super) region_refusals: IntCounter,
    pub(super) cold_endpoints: IntGaugeVec,
    pub(super) cold_requests: IntCounterVec,
    pub(super) cold_permits: IntGaugeVec,
    pub(super) items_held_back: IntCounterVec,
}

impl Meters {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns the registry's error if two metrics have one name.
    pub(super) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter_vec = |n: usize| -> prometheus::Result<IntCounterVec> {
            let (name, _, label, help) = NAMES[n];
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let histogram = |n: usize, buckets: &[f64]| -> prometheus::Result<Histogram> {
            let (name, _, _, help) = NAMES[n];
            let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = Histogram::with_opts(opts)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let store_seconds = {
            let (name, _, label, help) = NAMES[position("gateway_store_seconds")];
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histograms = HistogramVec::new(opts, &[label])?;
            registry.register(Box::new(histograms.clone()))?;
            histograms
        };
        let gauge = |n: usize| -> prometheus::Result<IntGauge> {
            let (name, _, _, help) = NAMES[n];
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counter = |n: usize| -> prometheus::Result<IntCounter> {
            let (name, _, _, help) = NAMES[n];
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        Ok(Self {
            answers: counter_vec(0)?,
            answer_seconds: histogram(1, LATENCY_BUCKETS)?,
            attempts: counter_vec(2)?,
            batches: counter_vec(3)?,
            runs: counter_vec(4)?,
            run_seconds: histogram(5, LATENCY_BUCKETS)?,
            results: counter(6)?,
            running: gauge(7)?,
            loads: counter_vec(8)?,
            load_seconds: histogram(9, LATENCY_BUCKETS)?,
            store_calls: counter_vec(10)?,
            store_seconds,
            connections: gauge(11)?,
            config: gauge(12)?,
            dropped: gauge(13)?,
            detours: counter_vec(14)?,
            broken_entries: counter(15)?,
            reports: counter_vec(16)?,
            crashes: counter_vec(17)?,
            quarantined: gauge(18)?,
            engines_held: gauge(19)?,
            withheld: counter(20)?,
            refusals: counter_vec(21)?,
            moves: counter_vec(22)?,
            engine_slowness: histogram(23, SLOWNESS_BUCKETS)?,
            endpoints: labelled(24, &registry)?,
            steps: labelled(25, &registry)?,
            slots: labelled(26, &registry)?,
            waiting_calls: labelled(position("gateway_waiting_calls"), &registry)?,
            account_refusals: counter_vec(position("gateway_account_refusals_total"))?,
            share_refusals: counter_vec(position("gateway_account_share_refusals_total"))?,
            account_work: labelled(position("gateway_account_work_seconds"), &registry)?,
            evacuated: gauge(position("gateway_evacuated_data_centres"))?,
            evacuated_requests: labelled(position("gateway_evacuated_requests"), &registry)?,
            sent: counter_vec(position("gateway_sent_total"))?,
            region_refusals: counter(position("gateway_region_refusals_total"))?,
            cold_endpoints: labelled(position("gateway_cold_endpoints"), &registry)?,
            cold_requests: counter_vec(position("gateway_cold_requests_total"))?,
            cold_permits: labelled(position("gateway_cold_permits"), &registry)?,
            items_held_back: counter_vec(position("gateway_items_held_back_total"))?,
            idle_waits: counter_vec(position("gateway_idle_waits_total"))?,
            registry,
        })
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub(super) fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Removes the values of the steps that share slots.
    pub(super) fn reset_steps(&self) {
        self.steps.reset();
        self.slots.reset();
    }

    /// Counts a step that shares slots, and the slots that it uses.
    pub(super) fn record_step(&self, state: &str, priority: u8, slots: usize) {
        let slots = i64::try_from(slots).unwrap_or(i64::MAX);
        self.steps.with_label_values(&[state]).inc();
        self.slots
            .with_label_values(&[priority.to_string().as_str()])
            .add(slots);
    }

    /// Counts a request that is sent to an endpoint.
    pub(super) fn record_sent(&self, distance: Distance) {
        self.sent.with_label_values(&[distance.name()]).inc();
    }

    /// Counts a response to a caller and records its latency.
    pub(super) fn record_response(
        &self,
        status: StatusCode,
        problem: Option<&str>,
        elapsed: Duration,
    ) {
        let class = match status.as_u16() {
            200..=299 => "2xx",
            300..=399 => "3xx",
            400..=499 => "4xx",
            _ => "5xx",
        };
        self.answers
            .with_label_values(&[problem.unwrap_or(class)])
            .inc();
        self.answer_seconds.observe(elapsed.as_secs_f64());
    }
}
