//! Counts of usage on their way to reports, without a store or a platform.

use hibiscusroad::{
    table::RowId,
    usage::{
        Kept, Offset, Reports, Step, Tally, Terms, Window, Windows, agreed, keys, merge, pause,
    },
};
use proptest::prelude::*;
use std::{collections::BTreeMap, time::Duration};

const LENGTH: Duration = Duration::from_secs(5);
const LATE: Duration = Duration::from_secs(10);
const APART: Duration = Duration::from_secs(3);

fn terms() -> Terms {
    Terms {
        windows: Windows::new(LENGTH),
        late: LATE,
        apart: APART,
    }
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Writes what a tally has into a store.
fn write(tally: &mut Tally, life: &str, store: &mut BTreeMap<RowId, Vec<u8>>) {
    for share in tally.next_write() {
        store.insert(share.row(life), share.encode());
    }
}

fn sums(store: &BTreeMap<RowId, Vec<u8>>, window: u64) -> BTreeMap<String, u64> {
    let (from, end) = keys(Window(window));
    let rows = store
        .iter()
        .filter(|(id, _)| id.key >= from && id.key < end);
    let (counts, broken) = merge(rows.map(|(_, value)| value.as_slice()));
    assert_eq!(broken, 0);
    counts
}

#[test]
fn a_time_is_in_one_window_alone() {
    let windows = Windows::new(LENGTH);
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
fn keys_of_a_window_are_its_own() {
    let (from, end) = keys(Window(9));
    let mut tally = Tally::new();
    for window in [8, 9, 10, 90] {
        tally.note(Window(window), "a");
    }
    let rows: Vec<RowId> = tally.next_write().iter().map(|s| s.row("g/1")).collect();
    let inside = rows.iter().filter(|id| id.key >= from && id.key < end);
    assert_eq!(inside.count(), 1);
}

// The store carries a write out and its answer is lost. The same rows are written again,
// and once more seconds later, when newer ones are there: nothing counts twice.
#[test]
fn repeated_and_late_writes_count_once() {
    let mut store = BTreeMap::new();
    let mut tally = Tally::new();
    tally.note(Window(1), "a");
    let late: Vec<_> = tally.next_write().to_vec();
    write(&mut tally, "g/1", &mut store);
    // Counted while the outcome is open.
    tally.note(Window(1), "a");
    write(&mut tally, "g/1", &mut store);
    tally.kept();
    write(&mut tally, "g/1", &mut store);
    tally.kept();
    for share in late {
        store.insert(share.row("g/1"), share.encode());
    }
    assert_eq!(sums(&store, 1)["a"], 2);
    assert!(tally.is_empty());
}

#[test]
fn processes_and_lives_don_t_overwrite_each_other() {
    let mut store = BTreeMap::new();
    for life in ["g-1/1", "g-1/2", "g-2/1"] {
        let mut tally = Tally::new();
        tally.note(Window(1), "a");
        write(&mut tally, life, &mut store);
    }
    assert_eq!(sums(&store, 1)["a"], 3);
}

// Load: every process has callers all the time, 360 of them. The store takes 800 writes
// a second on the smallest deployments; usage may take a small part of that.
#[test]
fn more_processes_write_less_often() {
    assert!(pause(8) <= Duration::from_millis(200));
    for processes in [8_usize, 39, 88, 360] {
        let writes = processes as f64 / pause(processes).as_secs_f64();
        assert!(writes <= 200.0, "{processes}: {writes} writes a second");
    }
    assert!(pause(360) <= Duration::from_secs(3));
}

#[test]
fn a_window_is_reported_once_its_counts_can_be_there() {
    let mut reports = Reports::new(terms(), secs(1_003.0));
    let Step::Wait(until) = reports.next(secs(1_003.0), None) else {
        panic!("too early");
    };
    assert!(until > secs(1_005.0) && until < secs(1_010.0));
    assert_eq!(reports.next(until, None), Step::Make(Window(200)));
    reports.note(Window(200), Kept::new("{}".into(), "g/1", secs(1.0)));
    assert_eq!(reports.next(until, None), Step::Send(Window(200)));
    let sent = Kept {
        sent: true,
        ..reports.get(Window(200)).unwrap().clone()
    };
    reports.note(Window(200), sent);
    assert!(matches!(reports.next(until, None), Step::Wait(_)));
}

// The store comes back some seconds after a window's end. All processes then keep what
// they counted meanwhile; the report waits for that, but not beyond its time.
#[test]
fn a_report_waits_for_counts_after_the_store_was_away() {
    let reports = Reports::new(terms(), secs(1_003.0));
    let back = secs(1_009.0);
    assert!(matches!(
        reports.next(secs(1_009.1), Some(back)),
        Step::Wait(_)
    ));
    assert_eq!(
        reports.next(secs(1_010.5), Some(back)),
        Step::Make(Window(200))
    );
    let back = secs(1_013.5);
    assert_eq!(
        reports.next(secs(1_013.6), Some(back)),
        Step::Make(Window(200))
    );
}

// The first process to hold the duty ever: others have counted before it came.
#[test]
fn counts_from_before_the_first_holder_are_reported() {
    let mut reports = Reports::new(terms(), secs(1_022.0));
    reports.begin_with(&keys(Window(202)).0);
    assert_eq!(reports.next(secs(1_022.0), None), Step::Make(Window(202)));
}

// A request begins at the very end of a window. The first holder ever reads what is kept
// a moment later, in the next window, and the count is kept only after that.
#[test]
fn a_count_that_is_kept_after_the_first_holder_has_read_is_reported() {
    let reports = Reports::new(terms(), secs(1_005.05));
    assert_eq!(reports.next(secs(1_008.0), None), Step::Make(Window(200)));
}

// A holder is lost between keeping a report and sending it. The next one finds it, and
// sends the same bytes, whatever counts have come since.
#[test]
fn the_next_holder_sends_what_was_kept() {
    let mut reports = Reports::new(terms(), secs(1_020.0));
    let kept = Kept::new("the report".into(), "g-1/1", secs(50.0));
    reports.read("00000000000000000200/", kept);
    assert_eq!(reports.next(secs(1_008.0), None), Step::Send(Window(200)));
    assert_eq!(reports.get(Window(200)).unwrap().body, "the report");
    // Not before calls of the former one can no longer come.
    let until = reports.barred("g-2/1").unwrap();
    assert!(until >= secs(50.0) + APART);
    assert_eq!(reports.barred("g-1/1"), None);
}

#[test]
fn what_nobody_reported_in_time_is_passed_over() {
    let mut reports = Reports::new(terms(), secs(1_003.0));
    let kept = Kept::new("{}".into(), "g-1/1", secs(1.0));
    reports.read("00000000000000000200/", kept.clone());
    assert_eq!(reports.next(secs(1_100.0), None), Step::GiveUp(Window(200)));
    reports.note(Window(200), Kept { sent: true, ..kept });
    let Step::Make(next) = reports.next(secs(1_100.0), None) else {
        panic!("nothing to do");
    };
    // One that is a minute late at the most.
    assert!(next.0 >= 207, "{next:?}");
}

// The clocks of some hosts are set by seconds, back and ahead. Processes there count by
// the time that the others have, and those whose clocks are right go by their own.
#[test]
fn clocks_that_were_set_don_t_count() {
    let (store, time) = (secs(70.0), secs(1_767_225_600.0));
    let offset = |off: f64| Offset::between(time + secs(off), store);
    let others = [0.0, 0.0, 0.001, 0.001, 0.002, 5.0, 5.0].map(offset);
    assert_eq!(agreed(time, store, &others), time);
    let near = time + secs(0.04);
    assert_eq!(agreed(near, store, &others), near);
    for set in [time + secs(5.0), time.saturating_sub(secs(5.0))] {
        let found = agreed(set, store, &others);
        assert!(found.abs_diff(time) <= secs(0.002), "{found:?}");
    }
    assert_eq!(agreed(time, store, &[]), time);
}

/// What happens to one of two holders that both may believe in their duty.
#[derive(Clone, Copy, Debug)]
struct Move {
    holder: usize,
    /// Seconds that go by first.
    pause: f64,
    /// Whether it reads all reports anew, as whoever takes the duty does.
    takes: bool,
    /// Whether its write is carried out.
    written: bool,
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = (0..2_usize, 0.0..2.5_f64, any::<bool>(), any::<bool>());
    let one = one.prop_map(|(holder, pause, takes, written)| Move {
        holder,
        pause,
        takes,
        written,
    });
    prop::collection::vec(one, 1..60)
}

proptest! {
    // Two holders take the duty from each other, with writes that fail. Each acts only
    // by what it has written down under the lease, which the other's taking ends. No
    // window is sent with two contents, and nobody takes a turn again within the time
    // by which holders must be apart.
    #[test]
    fn holders_that_change_send_one_report_a_window(moves in moves()) {
        let mut store: BTreeMap<Window, Kept> = BTreeMap::new();
        let mut views = [None::<Reports>, None];
        let mut leased = None;
        let mut sent: Vec<(usize, Window, String, Duration)> = Vec::new();
        let mut now = secs(1_000.0);
        for (n, step) in moves.into_iter().enumerate() {
            now += secs(step.pause);
            let life = format!("g-{}/1", step.holder);
            if step.takes || leased != Some(step.holder) {
                leased = Some(step.holder);
                let mut view = Reports::new(terms(), now);
                for (window, kept) in &store {
                    view.read(&keys(*window).0, kept.clone());
                }
                views[step.holder] = Some(view);
            }
            let view = views[step.holder].as_mut().unwrap();
            match view.next(now, None) {
                Step::Make(window) if step.written => {
                    // The condition of the write: nobody has kept one before.
                    prop_assert!(!store.contains_key(&window));
                    let kept = Kept::new(format!("report {n}"), &life, now);
                    store.insert(window, kept.clone());
                    view.note(window, kept);
                }
                Step::Send(window) if step.written => {
                    if view.barred(&life).is_some_and(|until| now < until) {
                        continue;
                    }
                    let body = view.get(window).unwrap().body.clone();
                    let kept = Kept::new(body.clone(), &life, now);
                    store.insert(window, kept.clone());
                    view.note(window, Kept { sent: true, ..kept.clone() });
                    store.insert(window, Kept { sent: true, ..kept });
                    sent.push((step.holder, window, body, now));
                }
                _ => {}
            }
        }
        for (n, (holder, window, body, at)) in sent.iter().enumerate() {
            let before = &sent[..n];
            let same = before.iter().filter(|(_, w, ..)| w == window);
            prop_assert!(same.clone().all(|(_, _, b, _)| b == body));
            let near = before.iter().filter(|(.., t)| at.saturating_sub(*t) < APART);
            let others: Vec<_> = near.filter(|(h, ..)| h != holder).collect();
            prop_assert!(others.is_empty(), "two holders within {APART:?}: {sent:?}");
        }
    }
}
