//! One batch in the hands of its owner, without input or output.

use hibiscusroad::rollout::{
    Item, Outcome, Submission,
    batch::{Batch, Break},
    text::{Piece, Text, assemble},
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

/// Groups of two, with the hint of their first item.
fn submission(hints: &[u32]) -> Submission {
    let groups = hints.iter().enumerate();
    let items = groups.flat_map(|(group, hint)| [item(group, 0, *hint), item(group, 1, 1)]);
    Submission {
        step: Some(1),
        model: Some("guide".to_owned()),
        floor: 3,
        target: Some(hints.len()),
        items: items.collect(),
    }
}

fn starts(batch: &mut Batch, now: Instant) -> Vec<usize> {
    let mut found = Vec::new();
    while let Some(n) = batch.next_start(now) {
        batch.start(n);
        found.push(n);
    }
    found
}

// The trainer waits for carried groups in any case, and for the longest item of
// the others: whichever starts late ends late.
#[test]
fn carried_groups_start_first_and_long_ones_next() {
    let now = Instant::now();
    let step = submission(&[10, 20, 900, 50]);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    assert_eq!(starts(&mut batch, now), [4, 5, 6, 7, 2, 3, 0, 1]);
    let mut batch = Batch::new(now, &step, 3, false, 2);
    assert_eq!(starts(&mut batch, now), [0, 1, 2, 3, 4, 5, 6, 7]);
}

// A step has more items than there are slots. A long item that waits behind the
// short ones of another group ends late, and the trainer waits for its group; the
// short items still start by groups, so that groups are whole one by one.
#[test]
fn long_items_start_before_short_ones_of_other_groups() {
    let now = Instant::now();
    let step = submission(&[10, 800, 900, 50]);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    assert_eq!(starts(&mut batch, now), [4, 2, 5, 3, 6, 7, 0, 1]);
    let mut batch = Batch::new(now, &step, 3, false, 2);
    assert_eq!(starts(&mut batch, now), [0, 1, 2, 3, 4, 5, 6, 7]);
}

#[test]
fn text_grows_over_runs_and_only_in_order() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 0);
    assert_eq!(batch.start(0), None);
    assert!(batch.extend(0, 0, "a", Some(3)));
    assert!(batch.extend(0, 1, "b", Some(3)));
    assert!(!batch.extend(0, 3, "d", Some(3)), "event 2 is missing");
    assert!(!batch.extend(0, 1, "b", Some(3)), "event 1 came before");
    batch.broke(now, 0, None, Break::Lost);
    assert_eq!(batch.start(0), Some(1));
    assert!(batch.extend(0, 2, "c", Some(4)));
    assert!(batch.generated(now, 0));
    batch.scored(0, Some("s".to_owned()));
    let ready = batch.ready(&submission(&[1]), 10);
    let expected = Outcome::Completed {
        text: "a\nb\nc".to_owned(),
        versions: vec![3, 4],
        score: Some("s".to_owned()),
    };
    assert_eq!(ready[0].1.outcome, expected);
}

// A text of weights that the step doesn't allow, or of two versions where one
// is asked for, is not handed to the trainer: it is made anew.
#[test]
fn text_of_wrong_versions_begins_anew() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 0);
    batch.start(0);
    batch.extend(0, 0, "a", Some(2));
    assert!(!batch.generated(now, 0), "version 2 is under the floor");
    assert_eq!(batch.last(0), None);
    let mut single = Batch::new(now, &submission(&[1]), 3, true, 0);
    single.start(0);
    single.extend(0, 0, "a", Some(3));
    assert_eq!(single.pinned(0), Some(3));
    single.extend(0, 1, "b", Some(4));
    single.broke(now, 0, None, Break::Moved);
    assert_eq!(single.last(0), None);
}

#[test]
fn failures_are_counted_and_refusals_are_not() {
    let now = Instant::now();
    let step = submission(&[1]);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    for _ in 0..20 {
        batch.start(0);
        batch.broke(now, 0, None, Break::NotRun);
        batch.broke(now, 0, None, Break::Lost);
    }
    assert!(batch.ready(&step, 9).is_empty());
    for _ in 0..3 {
        batch.start(0);
        batch.broke(now, 0, None, Break::Failed);
    }
    assert_eq!(batch.ready(&step, 9)[0].1.outcome, Outcome::Errored);
    batch.start(1);
    batch.broke(now, 1, None, Break::Never);
    assert_eq!(batch.ready(&step, 9).len(), 2);
}

#[test]
fn broken_item_pauses_longer_each_time() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 0);
    let mut last = Duration::ZERO;
    batch.start(1);
    for _ in 0..4 {
        batch.start(0);
        batch.broke(now, 0, None, Break::NotRun);
        let pause = batch.next_due(now).unwrap() - now;
        assert!(pause > last);
        last = pause;
    }
    batch.start(0);
    batch.broke(now, 0, None, Break::Moved);
    assert_eq!(batch.next_start(now), Some(0), "a move starts at once");
}

// Whatever order events come in, and wherever owners change: the pieces that
// were kept give the next owner the beginning of the same text.
proptest! {
    #[test]
    fn kept_pieces_give_the_text_back(
        steps in prop::collection::vec((0usize..3, 1usize..5), 1..30),
        lost in prop::collection::vec(any::<bool>(), 30),
    ) {
        let now = Instant::now();
        let step = submission(&[1]);
        let mut batch = Batch::new(now, &step, 3, false, 0);
        let mut store = Vec::new();
        let mut next = 0;
        batch.start(0);
        for (turn, (what, events)) in steps.into_iter().enumerate() {
            match what {
                0 | 1 => for _ in 0..events {
                    let data = format!("e{next}");
                    prop_assert!(batch.extend(0, next, &data, Some(3)));
                    next += 1;
                },
                _ => {
                    batch.broke(now, 0, None, Break::Moved);
                    batch.start(0);
                }
            }
            for (n, piece) in batch.unkept(9) {
                // A write whose answer is lost is repeated later, longer.
                if !lost[turn] {
                    batch.keep(n, &piece);
                    store.push(piece);
                }
            }
        }
        let mut heir = Batch::new(now, &step, 3, false, 0);
        let kept = store.last().map(|piece| piece.last);
        for piece in store {
            heir.resume("0-0", piece);
        }
        prop_assert_eq!(heir.last(0), kept);
        heir.start(0);
        for number in kept.map_or(0, |last| last + 1)..next.max(1) {
            let data = format!("e{number}");
            prop_assert!(heir.extend(0, number, &data, Some(3)));
        }
        prop_assert!(heir.generated(now, 0));
        heir.scored(0, None);
        let whole: Vec<String> = (0..next.max(1)).map(|n| format!("e{n}")).collect();
        match &heir.ready(&step, 9)[0].1.outcome {
            Outcome::Completed { text, .. } => prop_assert_eq!(text, &whole.join("\n")),
            Outcome::Errored => prop_assert!(false),
        }
    }
}

// Each item is listed once and in the order of the positions, whatever is
// ready when, and what an earlier owner listed is not listed again.
#[test]
fn every_item_is_listed_once() {
    let now = Instant::now();
    let step = submission(&[1, 2, 3]);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    batch.restore("1-0");
    assert_eq!(batch.listed(), 1);
    let mut listed = HashSet::new();
    for n in starts(&mut batch, now) {
        assert_ne!(n, 2, "it is listed already");
        batch.generated(now, n);
        batch.scored(n, None);
        let ready = batch.ready(&step, 1);
        for (n, _) in &ready {
            assert!(listed.insert(*n));
        }
        batch.list(ready.iter().map(|(n, _)| *n));
    }
    assert!(batch.complete());
    batch.give_up();
    assert!(batch.ready(&step, 9).is_empty());
}

fn text(events: u64, version: u64) -> Text {
    let mut text = Text::default();
    for number in 1..=events {
        assert!(text.extend(number, "e", Some(version)));
    }
    text
}

// A group comes again in a later step, whose floor is 3. Of the texts that there
// are, the longest that the floor allows is gone on with, and kept anew: its rows
// belong to the batch before and are swept with it.
#[test]
fn carried_text_is_gone_on_with_if_its_versions_do() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, false, 1);
    assert!(!batch.carry("0-0", text(9, 2)), "older than the floor");
    assert!(!batch.carry("1-0", text(9, 3)), "of no item here");
    assert!(batch.carry("0-0", text(5, 3)));
    assert!(
        !batch.carry("0-0", text(4, 4)),
        "shorter than what is there"
    );
    assert_eq!(batch.start(0), Some(5));
    assert!(!batch.carry("0-0", text(8, 4)), "a run goes on already");
    let pieces = batch.unkept(9);
    assert_eq!((pieces[0].1.after, pieces[0].1.last), (None, 5));
}

#[test]
fn texts_of_several_versions_are_not_carried_where_one_is_asked_for() {
    let now = Instant::now();
    let mut batch = Batch::new(now, &submission(&[1]), 3, true, 1);
    let mut mixed = text(3, 3);
    assert!(mixed.extend(4, "e", Some(4)));
    assert!(!batch.carry("0-0", mixed));
    assert!(batch.carry("0-0", text(2, 4)));
    assert_eq!(batch.pinned(0), Some(4));
}

// Drafts take engines from nobody: only when nearly all of a step is done, and only
// of items whose texts a later step could not use anyway.
#[test]
fn stragglers_are_the_few_last_items_with_texts_too_old() {
    let now = Instant::now();
    let mut step = submission(&[1, 1, 1, 1]);
    step.target = Some(3);
    let mut batch = Batch::new(now, &step, 3, false, 0);
    let order = starts(&mut batch, now);
    for n in &order {
        for number in 1..=(*n as u64 + 1) {
            assert!(batch.extend(*n, number, "e", Some(3)));
        }
    }
    assert!(batch.stragglers(4).is_empty(), "all are under way");
    for n in 0..6 {
        batch.generated(now, n);
    }
    assert_eq!(batch.stragglers(4), [7, 6], "the longest first");
    assert!(batch.stragglers(3).is_empty(), "their texts will do");
    batch.broke(now, 7, None, Break::Lost);
    assert!(
        batch.stragglers(4).is_empty(),
        "one waits for an engine itself"
    );
}

// A trainer that waits for all groups, or for a group that it asks for again, never
// asks for its items a second time: a draft would be work for nothing.
#[test]
fn items_that_the_trainer_waits_for_are_no_stragglers() {
    let now = Instant::now();
    for (target, carried) in [(4, 0), (3, 4)] {
        let mut step = submission(&[1, 1, 1, 1]);
        step.target = Some(target);
        let mut batch = Batch::new(now, &step, 3, false, carried);
        for n in starts(&mut batch, now) {
            assert!(batch.extend(n, 1, "e", Some(3)));
        }
        for n in 0..6 {
            batch.generated(now, n);
        }
        assert!(batch.stragglers(4).is_empty());
    }
}

fn piece(after: Option<u64>, last: u64, data: &str) -> Piece {
    let first = after.map_or(1, |after| after + 1);
    let events: Vec<String> = (first..=last).map(|n| format!("{data}{n}")).collect();
    Piece {
        round: 0,
        after,
        last,
        versions: vec![3],
        text: events.join("\n"),
    }
}

// An owner drafts an item and is killed; the next owner drafts it anew, and a part of
// its draft happens to end where one of the first owner's goes on. The trainer would
// get a text of two runs, of which the second was never asked to go on there.
#[test]
fn drafts_of_two_owners_are_not_joined() {
    let first = [
        piece(None, 2, "a"),
        piece(Some(2), 4, "a"),
        piece(Some(4), 6, "a"),
    ];
    let second = [piece(None, 3, "b"), piece(Some(3), 4, "b")];
    let rows = first.into_iter().map(|piece| ("1", piece));
    let rows = rows.chain(second.into_iter().map(|piece| ("2", piece)));
    let texts: Vec<String> = assemble(rows)
        .into_iter()
        .map(|t| t.into_parts().0)
        .collect();
    assert_eq!(texts, ["a1\na2\na3\na4\na5\na6", "b1\nb2\nb3\nb4"]);
}

// Two items run, and four wait for engines that are full. The engine of the second one
// turns slow after 40 events and it is moved; the first one breaks off after 2. Both had
// their places already: the one that has come furthest gets the next, and nothing that
// has not begun goes before them, or the step would end that much later.
#[test]
fn a_text_that_has_begun_starts_again_before_those_that_have_not() {
    let now = Instant::now();
    let submission = submission(&[50, 10, 10, 10, 10, 10]);
    let mut batch = Batch::new(now, &submission, 3, false, 0);
    let first = batch.next_start(now).unwrap();
    batch.start(first);
    let second = batch.next_start(now).unwrap();
    batch.start(second);
    assert!(batch.extend(first, 1, "a", Some(3)) && batch.extend(first, 2, "b", Some(3)));
    for number in 1..=40 {
        assert!(batch.extend(second, number, "c", Some(3)));
    }
    batch.broke(now, first, None, Break::Moved);
    batch.broke(now, second, None, Break::Moved);
    assert_eq!(batch.next_start(now), Some(second));
    batch.start(second);
    assert_eq!(batch.next_start(now), Some(first));
    batch.start(first);
    assert!(
        batch
            .next_start(now)
            .is_some_and(|n| batch.last(n).is_none())
    );
}
