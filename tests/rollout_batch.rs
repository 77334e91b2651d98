//! Tests the state of one batch at its owner.

use hibiscusroad::rollout::{
    Item, Outcome, Submission,
    batch::{Batch, Interruption},
    row::{self, PieceKey},
    shares::GroupDemand,
    text::{Piece, SavedPieces, Tenure, Text},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

fn item(group: usize, n: usize, hint: u32) -> Item {
    Item {
        id: format!("{group}-{n}"),
        path: "/lm/x".to_owned(),
        headers: BTreeMap::new(),
        body: Vec::new(),
        tokens: 100,
        hint: Some(hint),
        group: format!("g{group}"),
        scorer: None,
    }
}

/// Builds groups of two items; the hints are those of the first items.
fn submission(hints: &[u32]) -> Submission {
    let groups = hints.iter().enumerate();
    let items = groups.flat_map(|(group, hint)| [item(group, 0, *hint), item(group, 1, 1)]);
    Submission {
        step: Some(1),
        model: Some("guide".to_owned()),
        min_version: 3,
        target: Some(hints.len()),
        items: items.collect(),
    }
}

/// Starts all items and returns them in their start order.
fn start_all(batch: &mut Batch, now: Instant) -> Vec<usize> {
    let mut started = Vec::new();
    while let Some(idx) = batch.next_start(now) {
        batch.start(idx);
        started.push(idx);
    }
    started
}

// Guards against an item that runs or is scored for ever because the task of that is gone.
#[test]
fn restarted_item_runs_again_unless_it_has_ended() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 0);
    start_all(&mut batch, now);
    assert!(batch.append_event(0, 1, "a", Some(3)));
    assert!(batch.complete_text(now, 0));
    batch.restart(now, 0);
    batch.restart(now, 1);
    let later = now + Duration::from_secs(1);
    assert_eq!(batch.next_start(now), None);
    assert_eq!(start_all(&mut batch, later), [0, 1]);
    assert_eq!(batch.last_event(0), Some(1));
    batch.give_up();
    batch.restart(later, 0);
    assert_eq!(batch.waiting_count(), 0);
}

// A carried-over group or a long item that starts late ends the step late.
#[test]
fn carried_over_groups_start_first_and_long_ones_next() {
    let now = Instant::now();
    let step = submission(&[10, 20, 900, 50]);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    assert_eq!(start_all(&mut batch, now), [4, 5, 6, 7, 2, 3, 0, 1]);
    let mut batch = Batch::new(now, &step, 3, false, 2);
    assert_eq!(start_all(&mut batch, now), [0, 1, 2, 3, 4, 5, 6, 7]);
}

// Guards against a long item that waits behind the short ones of another group. Short
// items still start by groups, so that groups are completed one by one.
#[test]
fn long_items_start_before_short_ones_of_other_groups() {
    let now = Instant::now();
    let step = submission(&[10, 800, 900, 50]);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    assert_eq!(start_all(&mut batch, now), [4, 2, 5, 3, 6, 7, 0, 1]);
    let mut batch = Batch::new(now, &step, 3, false, 2);
    assert_eq!(start_all(&mut batch, now), [0, 1, 2, 3, 4, 5, 6, 7]);
}

#[test]
fn text_grows_across_runs_and_only_in_order() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 0);
    assert_eq!(batch.start(0), None);
    assert!(batch.append_event(0, 0, "a", Some(3)));
    assert!(batch.append_event(0, 1, "b", Some(3)));
    assert!(
        !batch.append_event(0, 3, "d", Some(3)),
        "event 2 is missing"
    );
    assert!(
        !batch.append_event(0, 1, "b", Some(3)),
        "event 1 is a repeat"
    );
    batch.record_interruption(now, 0, None, Interruption::Lost);
    assert_eq!(batch.start(0), Some(1));
    assert!(batch.append_event(0, 2, "c", Some(4)));
    assert!(batch.complete_text(now, 0));
    batch.complete_scoring(0, Some("s".to_owned()));
    let ready = batch.ready_results(&submission(&[1]), 10);
    let expected = Outcome::Completed {
        text: "a\nb\nc".to_owned(),
        versions: vec![3, 4],
        score: Some("s".to_owned()),
    };
    assert_eq!(ready[0].1.outcome, expected);
}

// Guards against texts from weights that the step doesn't allow, or from two versions
// where one must generate all of the text.
#[test]
fn text_of_wrong_versions_is_restarted() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 0);
    batch.start(0);
    batch.append_event(0, 0, "a", Some(2));
    assert!(
        !batch.complete_text(now, 0),
        "version 2 is below the minimum"
    );
    assert_eq!(batch.last_event(0), None);
    let mut single = Batch::new(now, &submission(&[1]), 3, true, 0);
    single.start(0);
    single.append_event(0, 0, "a", Some(3));
    assert_eq!(single.required_version(0), Some(3));
    single.append_event(0, 1, "b", Some(4));
    single.record_interruption(now, 0, None, Interruption::Moved);
    assert_eq!(single.last_event(0), None);
}

#[test]
fn failures_are_counted_and_refusals_are_not() {
    let now = Instant::now();
    let step = submission(&[1]);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    for _ in 0..20 {
        batch.start(0);
        batch.record_interruption(now, 0, None, Interruption::NotRun);
        batch.record_interruption(now, 0, None, Interruption::Lost);
    }
    assert!(batch.ready_results(&step, 9).is_empty());
    for _ in 0..3 {
        batch.start(0);
        batch.record_interruption(now, 0, None, Interruption::Failed);
    }
    assert_eq!(batch.ready_results(&step, 9)[0].1.outcome, Outcome::Errored);
    batch.start(1);
    batch.record_interruption(now, 1, None, Interruption::Never);
    assert_eq!(batch.ready_results(&step, 9).len(), 2);
}

#[test]
fn retry_delay_grows_with_each_interruption() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 0);
    let mut last_delay = Duration::ZERO;
    batch.start(1);
    for _ in 0..4 {
        batch.start(0);
        batch.record_interruption(now, 0, None, Interruption::NotRun);
        let delay = batch.next_retry(now).unwrap() - now;
        assert!(delay > last_delay);
        last_delay = delay;
    }
    batch.start(0);
    batch.record_interruption(now, 0, None, Interruption::Moved);
    assert_eq!(
        batch.next_start(now),
        Some(0),
        "a moved item starts at once"
    );
}

/// The owners of one item, one after the other, and the rows that they saved.
struct Owners {
    now: Instant,
    step: Submission,
    batch: Batch,
    tenure: Tenure,
    round: u32,
    rows: BTreeMap<String, (Tenure, Piece)>,
    /// Writes without an answer, which may still be executed.
    late: Vec<Vec<(Tenure, Piece)>>,
    /// All texts that owners had in memory, the present one last.
    texts: Vec<Vec<String>>,
    /// Number of events so far, which makes each event differ from all others.
    events: usize,
}

impl Owners {
    fn new() -> Self {
        let now = Instant::now();
        let step = submission(&[1]);
        let mut batch = Batch::new(now, &step, 3, false, 0);
        batch.start(0);
        Self {
            now,
            step,
            batch,
            tenure: Tenure::new(7, 1),
            round: 0,
            rows: BTreeMap::new(),
            late: Vec::new(),
            texts: vec![Vec::new()],
            events: 0,
        }
    }

    fn append_events(&mut self, count: usize) {
        for _ in 0..count {
            let data = format!("e{}", self.events);
            self.events += 1;
            let text = self.texts.last_mut().unwrap();
            text.push(data.clone());
            let number = text.len() as u64;
            assert!(self.batch.append_event(0, number, &data, Some(3)));
        }
    }

    /// Saves the text; the write may get no answer.
    fn save(&mut self, is_answered: bool) {
        let pieces = self.batch.unsaved_pieces(9);
        let change = pieces.iter().map(|(_, piece)| (self.tenure, piece.clone()));
        let change = change.collect();
        if !is_answered {
            return self.late.push(change);
        }
        for (idx, piece) in &pieces {
            self.batch.mark_saved(*idx, piece);
        }
        self.write(change);
    }

    fn write(&mut self, pieces: Vec<(Tenure, Piece)>) {
        for (tenure, piece) in pieces {
            let key = row::piece("b", "0-0", tenure, &piece).key;
            let previous = self.rows.insert(key, (tenure, piece.clone()));
            assert!(previous.is_none_or(|(_, it)| it == piece), "a row changes");
        }
    }

    /// Starts the text from the beginning.
    fn discard(&mut self) {
        self.batch.discard_text(0);
        self.round += 1;
        self.texts.push(Vec::new());
    }

    /// Lets another owner restore the text, and checks it.
    fn take_over(&mut self, load: u64) {
        let mut saved = SavedPieces::new();
        for (key, (_, piece)) in &self.rows {
            let key = PieceKey::parse("b", key).unwrap();
            saved.add(key.tenure, piece.clone());
        }
        self.batch = Batch::new(self.now, &self.step, 3, false, 0);
        self.batch.restore_text("0-0", saved.texts());
        self.tenure = Tenure::new(7, load);
        let last = self.batch.start(0).unwrap_or(0);
        let events = usize::try_from(last).unwrap();
        let restored = saved.texts().into_iter().next();
        self.round = restored.as_ref().map_or(0, |saved| saved.round);
        let restored = restored.map_or(String::new(), |it| it.text.into_parts().0);
        let origin = self.texts.iter().find(|text| {
            text.get(..events)
                .is_some_and(|text| text.join("\n") == restored)
        });
        let origin = origin.expect("the text is the beginning of one that an owner had");
        self.texts.push(origin[..events].to_vec());
    }
}

// Guards against texts joined from those of several owners, and against lost ones, whenever
// writes get no answer and are executed late, beside interruptions and takeovers.
proptest! {
    #[test]
    fn restored_texts_are_beginnings_of_former_ones(
        steps in prop::collection::vec((0usize..9, 1usize..5), 1..60),
    ) {
        let mut owners = Owners::new();
        for (load, (action, amount)) in (2..).zip(steps) {
            match action {
                0..=2 => owners.append_events(amount),
                3 => owners.save(true),
                4 => owners.save(false),
                5 if !owners.late.is_empty() => {
                    let write = owners.late.remove(amount % owners.late.len());
                    owners.write(write);
                }
                6 => {
                    owners.batch.record_interruption(owners.now, 0, None, Interruption::Moved);
                    owners.batch.start(0);
                }
                7 if amount == 1 => owners.discard(),
                8 => {
                    owners.save(true);
                    let saved = owners.texts.last().unwrap().len();
                    let rounds = owners.rows.values().map(|(_, piece)| piece.round);
                    // A late write of a former owner may have begun a later round.
                    let is_last_round = rounds.max() <= Some(owners.round);
                    owners.take_over(load);
                    let restored = owners.texts.last().unwrap().len();
                    prop_assert!(!is_last_round || restored >= saved);
                }
                _ => owners.take_over(load),
            }
        }
    }
}

// Guards against items that are listed twice, also after a change of owners.
#[test]
fn every_item_is_listed_once() {
    let now = Instant::now();
    let step = submission(&[1, 2, 3]);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    batch.restore_result("1-0");
    assert_eq!(batch.listed_count(), 1);
    let mut listed = HashSet::new();
    for n in start_all(&mut batch, now) {
        assert_ne!(n, 2, "already listed");
        batch.complete_text(now, n);
        batch.complete_scoring(n, None);
        let ready = batch.ready_results(&step, 1);
        for (n, _) in &ready {
            assert!(listed.insert(*n));
        }
        batch.mark_listed(ready.iter().map(|(n, _)| *n));
    }
    assert!(batch.is_complete());
    batch.give_up();
    assert!(batch.ready_results(&step, 9).is_empty());
}

fn text(events: u64, version: u64) -> Text {
    let mut text = Text::default();
    for number in 1..=events {
        assert!(text.append_event(number, "e", Some(version)));
    }
    text
}

// Of the texts of an earlier batch, the longest with allowed versions is continued. All
// of it is saved again, because its rows are removed with the earlier batch.
#[test]
fn carried_over_text_is_continued_if_its_versions_are_allowed() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 1);
    assert!(
        !batch.carry_over("0-0", text(9, 2)),
        "older than the minimum version"
    );
    assert!(!batch.carry_over("1-0", text(9, 3)), "unknown item");
    assert!(batch.carry_over("0-0", text(5, 3)));
    assert!(
        !batch.carry_over("0-0", text(4, 4)),
        "shorter than the present text"
    );
    assert_eq!(batch.start(0), Some(5));
    assert!(!batch.carry_over("0-0", text(8, 4)), "the item is running");
    let pieces = batch.unsaved_pieces(9);
    assert_eq!((pieces[0].1.after, pieces[0].1.last), (None, 5));
}

#[test]
fn texts_of_several_versions_are_not_carried_over_in_single_version_batches() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, true, 1);
    let mut mixed = text(3, 3);
    assert!(mixed.append_event(4, "e", Some(4)));
    assert!(!batch.carry_over("0-0", mixed));
    assert!(batch.carry_over("0-0", text(2, 4)));
    assert_eq!(batch.required_version(0), Some(4));
}

// Drafts are only for the last items of a step, and only if a later step could not use
// their texts.
#[test]
fn stragglers_are_the_last_items_with_outdated_texts() {
    let now = Instant::now();
    let mut step = submission(&[1, 1, 1, 1]);
    step.target = Some(3);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    let order = start_all(&mut batch, now);
    for n in &order {
        for number in 1..=(*n as u64 + 1) {
            assert!(batch.append_event(*n, number, "e", Some(3)));
        }
    }
    assert!(batch.stragglers(4).is_empty(), "all are running");
    for n in 0..6 {
        batch.complete_text(now, n);
    }
    assert_eq!(batch.stragglers(4), [7, 6], "longest first");
    assert!(batch.stragglers(3).is_empty(), "their texts are usable");
    batch.record_interruption(now, 7, None, Interruption::Lost);
    assert!(
        batch.stragglers(4).is_empty(),
        "one of them waits for an engine"
    );
}

// Guards against drafts of items that no later batch will contain, because the trainer
// waits for their groups.
#[test]
fn items_that_the_trainer_waits_for_are_not_stragglers() {
    let now = Instant::now();
    for (target, carried) in [(4, 0), (3, 4)] {
        let mut step = submission(&[1, 1, 1, 1]);
        step.target = Some(target);
        let mut batch = Batch::new(now, &step, 3, false, carried);
        for n in start_all(&mut batch, now) {
            assert!(batch.append_event(n, 1, "e", Some(3)));
        }
        for n in 0..6 {
            batch.complete_text(now, n);
        }
        assert!(batch.stragglers(4).is_empty());
    }
}

fn piece(after: Option<u64>, last: u64, data: &str) -> Piece {
    let first = after.map_or(1, |after| after + 1);
    let events: Vec<String> = (first..=last).map(|n| format!("{data}{n}")).collect();
    Piece {
        round: 0,
        base: None,
        after,
        last,
        versions: vec![3],
        text: events.join("\n"),
    }
}

fn texts(pieces: impl IntoIterator<Item = (Tenure, Piece)>) -> Vec<String> {
    let mut saved = SavedPieces::new();
    for (tenure, piece) in pieces {
        saved.add(tenure, piece);
    }
    let texts = saved.texts().into_iter();
    texts.map(|saved| saved.text.into_parts().0).collect()
}

// Guards against a text joined from the drafts of two owners, when a piece of one happens
// to end where a piece of the other begins.
#[test]
fn drafts_of_two_owners_are_not_joined() {
    let first = [
        piece(None, 2, "a"),
        piece(Some(2), 4, "a"),
        piece(Some(4), 6, "a"),
    ];
    let second = [piece(None, 3, "b"), piece(Some(3), 4, "b")];
    let rows = first.map(|piece| (Tenure::new(1, 1), piece)).into_iter();
    let rows = rows.chain(second.map(|piece| (Tenure::new(2, 1), piece)));
    assert_eq!(texts(rows), ["a1\na2\na3\na4\na5\na6", "b1\nb2\nb3\nb4"]);
}

// Guards against texts joined from rows of a version that did not name the tenure, beside those
// of this one.
#[test]
fn pieces_without_a_tenure_continue_no_text() {
    let continued = Piece {
        base: Some(Tenure::UNKNOWN),
        ..piece(Some(2), 4, "b")
    };
    let rows = [
        (Tenure::UNKNOWN, piece(None, 2, "a")),
        (Tenure::UNKNOWN, piece(Some(2), 6, "a")),
        (Tenure::new(1, 1), continued),
        (Tenure::new(2, 1), piece(Some(2), 8, "c")),
    ];
    assert_eq!(texts(rows), ["a1\na2\nb3\nb4", "a1\na2"]);
}

// Guards against reading the keys of rows of the version before differently than it did.
#[test]
fn keys_of_pieces_are_parsed_in_all_forms() {
    let parse = |key| PieceKey::parse("b", key).map(|it| (it.item, it.tenure, it.is_draft));
    let draft = Tenure::from_bits(0x1f);
    assert_eq!(
        parse("b/item/1/0000/00000005"),
        Some(("item/1", Tenure::UNKNOWN, false))
    );
    assert_eq!(
        parse("b/item/1/draft-000000000000001f/0000/00000005"),
        Some(("item/1", draft, true))
    );
    let new = row::draft_piece("b", "item/1", draft, &piece(Some(4), 9, "a")).key;
    assert_eq!(parse(&new), Some(("item/1", draft, true)));
    let new = row::piece("b", "item/1", draft, &piece(Some(4), 9, "a")).key;
    assert_eq!(parse(&new), Some(("item/1", draft, false)));
    assert_eq!(parse("b/item"), None);
    assert_eq!(parse("c/item/1/0000/00000005"), None);
}

// Guards against an interrupted item that waits behind items that have not begun, which
// would end the step late.
#[test]
fn interrupted_items_start_before_new_ones() {
    let now = Instant::now();
    let submission = submission(&[50, 10, 10, 10, 10, 10]);
    let mut batch = Batch::new(now, &submission, 3, false, 0);
    let first = batch.next_start(now).unwrap();
    batch.start(first);
    let second = batch.next_start(now).unwrap();
    batch.start(second);
    assert!(
        batch.append_event(first, 1, "a", Some(3)) && batch.append_event(first, 2, "b", Some(3))
    );
    for number in 1..=40 {
        assert!(batch.append_event(second, number, "c", Some(3)));
    }
    batch.record_interruption(now, first, None, Interruption::Moved);
    batch.record_interruption(now, second, None, Interruption::Moved);
    assert_eq!(batch.next_start(now), Some(second));
    batch.start(second);
    assert_eq!(batch.next_start(now), Some(first));
    batch.start(first);
    assert!(
        batch
            .next_start(now)
            .is_some_and(|n| batch.last_event(n).is_none())
    );
}

// Guards against a step whose state follows from items that are done, or from the whole
// length of texts that have begun.
#[test]
fn group_demands_count_what_is_left() {
    let now = Instant::now();
    let step = submission(&[10, 20, 30]);
    let mut batch = Batch::new(now, &step, 3, false, 1);
    let hint = |idx: usize, last: Option<u64>| {
        let hint = u64::from(step.items[idx].hint.unwrap());
        Duration::from_secs(hint.saturating_sub(last.unwrap_or(0)))
    };
    let demand = |is_carried, waiting, running, seconds| GroupDemand {
        is_carried,
        waiting,
        running,
        remaining: Duration::from_secs(seconds),
    };
    batch.start(0);
    assert!(batch.append_event(0, 1, "a", Some(3)));
    batch.start(3);
    let (complete, groups) = batch.group_demands(hint);
    assert_eq!(complete, 0);
    assert_eq!(
        groups,
        [
            demand(true, 1, 1, 9),
            demand(false, 1, 1, 20),
            demand(false, 2, 0, 30)
        ]
    );
    // A group is complete when its results are ready; until then, its scorer is waited for.
    for idx in [0, 1, 2, 3] {
        batch.start(idx);
        assert!(batch.complete_text(now, idx));
    }
    batch.complete_scoring(0, None);
    batch.complete_scoring(1, None);
    let (complete, groups) = batch.group_demands(hint);
    assert_eq!(complete, 1);
    assert_eq!(groups, [demand(false, 0, 0, 0), demand(false, 2, 0, 30)]);
    // Skipped items leave the start order of the others as it is.
    assert_eq!(batch.next_start(now), Some(4));
    assert_eq!(batch.next_start_where(now, |idx| idx != 4), Some(5));
    assert_eq!(batch.next_start_where(now, |idx| idx < 4), None);
}
