//! Counting and reporting of usage, without a store or a platform.

use hibiscusroad::{
    rollout::row::buckets,
    table::RowId,
    usage::{
        Offset, ReportTiming, Reports, Step, StoredReport, Tally, Window, Windows, agreed_time,
        key_range, sum_counts, usage_parts, write_interval,
    },
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const WINDOW_LENGTH: Duration = Duration::from_secs(5);
const REPORT_DEADLINE: Duration = Duration::from_secs(10);
const MIN_CALL_GAP: Duration = Duration::from_secs(3);
/// The latency of writes to a store at its usual speed.
const LATENCY: Duration = Duration::from_millis(4);

fn timing() -> ReportTiming {
    ReportTiming {
        windows: Windows::new(WINDOW_LENGTH),
        deadline: REPORT_DEADLINE,
        call_gap: MIN_CALL_GAP,
    }
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Writes the pending counts of a tally to a store.
fn write_counts(tally: &mut Tally, incarnation: &str, store: &mut BTreeMap<RowId, Vec<u8>>) {
    for counts in tally.next_write(false) {
        store.insert(counts.row(incarnation), counts.encode());
    }
}

fn window_counts(store: &BTreeMap<RowId, Vec<u8>>, window: u64) -> BTreeMap<String, u64> {
    let (from, end) = key_range(Window(window));
    let rows = store
        .iter()
        .filter(|(id, _)| id.key >= from && id.key < end);
    let (counts, broken) = sum_counts(rows.map(|(_, value)| value.as_slice()));
    assert_eq!(broken, 0);
    counts
}

#[test]
fn each_time_is_in_one_window() {
    let windows = Windows::new(WINDOW_LENGTH);
    for (time, window) in [
        (0.0, 0),
        (4.999, 0),
        (5.0, 1),
        (1_767_225_600.0, 353_445_120),
    ] {
        assert_eq!(windows.at(secs(time)), Window(window));
    }
    assert_eq!(windows.end(Window(353_445_120)), secs(1_767_225_605.0));
}

#[test]
fn key_range_covers_one_window() {
    let (from, end) = key_range(Window(9));
    let mut tally = Tally::new();
    for window in [8, 9, 10, 90] {
        tally.record(Window(window), "a");
    }
    let rows: Vec<RowId> = tally
        .next_write(false)
        .iter()
        .map(|counts| counts.row("g/1"))
        .collect();
    let inside = rows.iter().filter(|id| id.key >= from && id.key < end);
    assert_eq!(inside.count(), 1);
}

// A write that takes effect without an answer is repeated, and arrives again after newer
// rows: no request may be counted twice.
#[test]
fn repeated_and_late_writes_count_once() {
    let mut store = BTreeMap::new();
    let mut tally = Tally::new();
    tally.record(Window(1), "a");
    let delayed: Vec<_> = tally.next_write(false).to_vec();
    write_counts(&mut tally, "g/1", &mut store);
    // Counted before the write is confirmed.
    tally.record(Window(1), "a");
    write_counts(&mut tally, "g/1", &mut store);
    tally.confirm_write();
    write_counts(&mut tally, "g/1", &mut store);
    tally.confirm_write();
    for counts in delayed {
        store.insert(counts.row("g/1"), counts.encode());
    }
    assert_eq!(window_counts(&store, 1)["a"], 2);
    assert!(tally.is_empty());
}

// Guards against counts that a process writes in one part, without an answer, and again in
// another one when it learns that all processes read the latter.
#[test]
fn repeated_write_stays_in_its_part() {
    let mut store = BTreeMap::new();
    let mut tally = Tally::new();
    tally.record(Window(1), "a");
    write_counts(&mut tally, "g/1", &mut store);
    for counts in tally.next_write(true) {
        store.insert(counts.row("g/1"), counts.encode());
    }
    tally.confirm_write();
    assert_eq!(window_counts(&store, 1)["a"], 1);
}

// Guards against counts that delay leases and heartbeats, and against parts that the reporter
// doesn't read.
#[test]
fn counts_are_spread_over_parts_of_their_own() {
    let known: Vec<String> = usage_parts().collect();
    let mut used = BTreeSet::new();
    for n in 0..40 {
        let incarnation = format!("g-{n}/1");
        let mut tally = Tally::new();
        tally.record(Window(1), "a");
        let part = tally.next_write(true)[0].row(&incarnation).part;
        assert!(known.contains(&part), "{part}");
        assert!(!buckets().any(|bucket| bucket == part) && !part.is_empty());
        used.insert(part);
        tally.confirm_write();
        tally.record(Window(1), "a");
        assert_eq!(tally.next_write(false)[0].row(&incarnation).part, "");
    }
    assert_eq!(used.len(), 8);
}

#[test]
fn processes_and_incarnations_do_not_overwrite_each_other() {
    let mut store = BTreeMap::new();
    for incarnation in ["g-1/1", "g-1/2", "g-2/1"] {
        let mut tally = Tally::new();
        tally.record(Window(1), "a");
        write_counts(&mut tally, incarnation, &mut store);
    }
    assert_eq!(window_counts(&store, 1)["a"], 3);
}

// The total rate of usage writes must stay a small part of the store's capacity.
#[test]
fn more_processes_write_less_often() {
    assert!(write_interval(8, LATENCY) <= Duration::from_millis(200));
    for processes in [8_usize, 39, 88, 360] {
        let writes = processes as f64 / write_interval(processes, LATENCY).as_secs_f64();
        assert!(writes <= 200.0, "{processes}: {writes} writes a second");
    }
    assert!(write_interval(360, LATENCY) <= Duration::from_secs(3));
}

#[test]
fn window_is_reported_after_its_counts_are_written() {
    let mut reports = Reports::new(timing(), secs(1_003.0));
    let Step::Wait(until) = reports.next_step(secs(1_003.0), None) else {
        panic!("reported too early");
    };
    assert!(until > secs(1_005.0) && until < secs(1_010.0));
    assert_eq!(reports.next_step(until, None), Step::Make(Window(200)));
    reports.record(
        Window(200),
        StoredReport::new("{}".into(), "g/1", secs(1.0)),
    );
    assert_eq!(reports.next_step(until, None), Step::Send(Window(200)));
    let sent = StoredReport {
        closed: true,
        ..reports.get(Window(200)).unwrap().clone()
    };
    reports.record(Window(200), sent);
    assert!(matches!(reports.next_step(until, None), Step::Wait(_)));
}

// After a store outage the report waits for the pending counts of all processes, but not
// beyond its deadline.
#[test]
fn report_waits_for_pending_counts_after_a_store_outage() {
    let reports = Reports::new(timing(), secs(1_003.0));
    let recovered_at = secs(1_009.0);
    assert!(matches!(
        reports.next_step(secs(1_009.1), Some(recovered_at)),
        Step::Wait(_)
    ));
    assert_eq!(
        reports.next_step(secs(1_010.5), Some(recovered_at)),
        Step::Make(Window(200))
    );
    let recovered_at = secs(1_013.5);
    assert_eq!(
        reports.next_step(secs(1_013.6), Some(recovered_at)),
        Step::Make(Window(200))
    );
}

// Requests are counted before a process first holds the duty.
#[test]
fn counts_from_before_the_first_holder_are_reported() {
    let mut reports = Reports::new(timing(), secs(1_022.0));
    reports.start_from(&key_range(Window(202)).0);
    assert_eq!(
        reports.next_step(secs(1_022.0), None),
        Step::Make(Window(202))
    );
}

// The count of a request at the end of a window is written after the first holder has read
// the store, in the next window.
#[test]
fn counts_written_after_the_first_holder_has_read_are_reported() {
    let reports = Reports::new(timing(), secs(1_005.05));
    assert_eq!(
        reports.next_step(secs(1_008.0), None),
        Step::Make(Window(200))
    );
}

// A holder is lost after it stored a report and before it sent it: the next holder must
// send the same bytes.
#[test]
fn next_holder_sends_the_stored_report() {
    let mut reports = Reports::new(timing(), secs(1_020.0));
    let kept = StoredReport::new("the report".into(), "g-1/1", secs(50.0));
    reports.load("00000000000000000200/", kept);
    assert_eq!(
        reports.next_step(secs(1_008.0), None),
        Step::Send(Window(200))
    );
    assert_eq!(reports.get(Window(200)).unwrap().body, "the report");
    // The former holder's calls may still arrive until then.
    let until = reports.blocked_until("g-2/1").unwrap();
    assert!(until >= secs(50.0) + MIN_CALL_GAP);
    assert_eq!(reports.blocked_until("g-1/1"), None);
}

#[test]
fn windows_past_the_maximum_delay_are_skipped() {
    let mut reports = Reports::new(timing(), secs(1_003.0));
    let kept = StoredReport::new("{}".into(), "g-1/1", secs(1.0));
    reports.load("00000000000000000200/", kept.clone());
    assert_eq!(
        reports.next_step(secs(1_100.0), None),
        Step::GiveUp(Window(200))
    );
    reports.record(
        Window(200),
        StoredReport {
            closed: true,
            ..kept
        },
    );
    let Step::Make(next) = reports.next_step(secs(1_100.0), None) else {
        panic!("no report is due");
    };
    // At most one minute late.
    assert!(next.0 >= 207, "{next:?}");
}

// Processes on hosts whose clocks are wrong use the median time of day; the others use
// their own clock.
#[test]
fn wrong_clocks_are_replaced_by_the_median() {
    let (store, time) = (secs(70.0), secs(1_767_225_600.0));
    let offset = |ahead: f64| Offset::between(time + secs(ahead), store);
    let others = [0.0, 0.0, 0.001, 0.001, 0.002, 5.0, 5.0].map(offset);
    assert_eq!(agreed_time(time, store, &others), time);
    let near = time + secs(0.04);
    assert_eq!(agreed_time(near, store, &others), near);
    for wrong in [time + secs(5.0), time.saturating_sub(secs(5.0))] {
        let corrected = agreed_time(wrong, store, &others);
        assert!(corrected.abs_diff(time) <= secs(0.002), "{corrected:?}");
    }
    assert_eq!(agreed_time(time, store, &[]), time);
}

/// One action of one of two holders that both may believe to hold the duty.
#[derive(Clone, Copy, Debug)]
struct Action {
    holder: usize,
    /// Seconds before the action.
    delay: f64,
    /// Whether it takes the duty over, and reads all reports.
    takes_over: bool,
    /// Whether its write takes effect.
    write_succeeds: bool,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = (0..2_usize, 0.0..2.5_f64, any::<bool>(), any::<bool>());
    let action = action.prop_map(|(holder, delay, takes_over, write_succeeds)| Action {
        holder,
        delay,
        takes_over,
        write_succeeds,
    });
    prop::collection::vec(action, 1..60)
}

proptest! {
    // Two holders take the duty from each other, and some writes fail: no window is sent
    // with two contents, and calls of the two holders are at least `MIN_CALL_GAP` apart.
    #[test]
    fn changing_holders_send_one_report_per_window(actions in actions()) {
        let mut store: BTreeMap<Window, StoredReport> = BTreeMap::new();
        let mut views = [None::<Reports>, None];
        let mut lease_holder = None;
        let mut sent: Vec<(usize, Window, String, Duration)> = Vec::new();
        let mut now = secs(1_000.0);
        for (n, action) in actions.into_iter().enumerate() {
            now += secs(action.delay);
            let holder = format!("g-{}/1", action.holder);
            if action.takes_over || lease_holder != Some(action.holder) {
                lease_holder = Some(action.holder);
                let mut view = Reports::new(timing(), now);
                for (window, kept) in &store {
                    view.load(&key_range(*window).0, kept.clone());
                }
                views[action.holder] = Some(view);
            }
            let view = views[action.holder].as_mut().unwrap();
            match view.next_step(now, None) {
                Step::Make(window) if action.write_succeeds => {
                    // The condition of the write: no report of the window is stored.
                    prop_assert!(!store.contains_key(&window));
                    let kept = StoredReport::new(format!("report {n}"), &holder, now);
                    store.insert(window, kept.clone());
                    view.record(window, kept);
                }
                Step::Send(window) if action.write_succeeds => {
                    if view.blocked_until(&holder).is_some_and(|until| now < until) {
                        continue;
                    }
                    let body = view.get(window).unwrap().body.clone();
                    let kept = StoredReport::new(body.clone(), &holder, now);
                    store.insert(window, kept.clone());
                    view.record(window, StoredReport { closed: true, ..kept.clone() });
                    store.insert(window, StoredReport { closed: true, ..kept });
                    sent.push((action.holder, window, body, now));
                }
                _ => {}
            }
        }
        for (n, (holder, window, body, at)) in sent.iter().enumerate() {
            let earlier = &sent[..n];
            let same_window = earlier.iter().filter(|(_, w, ..)| w == window);
            prop_assert!(same_window.clone().all(|(_, _, b, _)| b == body));
            let recent = earlier.iter().filter(|(.., t)| at.saturating_sub(*t) < MIN_CALL_GAP);
            let others: Vec<_> = recent.filter(|(h, ..)| h != holder).collect();
            prop_assert!(others.is_empty(), "two holders within {MIN_CALL_GAP:?}: {sent:?}");
        }
    }
}
