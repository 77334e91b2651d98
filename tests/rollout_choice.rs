//! Which process a trainer's next step goes to.

use hibiscusroad::rollout::{
    choice::{Candidate, choose},
    row::Presence,
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);

/// A process that renewed its row so many milliseconds ago.
fn candidate(name: &str, age_ms: u64, memory: u32) -> Candidate {
    Candidate {
        presence: Presence {
            offset: None,
            life: format!("{name}/aa"),
            peer: None,
            renewed: 10_000 - age_ms,
            memory,
        },
        items: 200,
        last: Duration::from_secs(8),
    }
}

/// Returns who gets a batch of 200 items that a process with 512 MB accepts.
fn chosen(candidates: &[Candidate]) -> Option<&str> {
    let found = choose(candidates, 200, 512, NOW)?;
    Some(&found.presence.life)
}

// The owner of the last step renewed its row just now, and has as much memory as the
// process that the next step comes to: it runs that one, too.
#[test]
fn living_owner_keeps_its_trainer() {
    assert_eq!(chosen(&[candidate("a", 100, 512)]), Some("a/aa"));
    assert_eq!(chosen(&[]), None);
}

// The clock of the store, as the accepting process knows it, is a little behind.
#[test]
fn owner_that_renews_ahead_of_the_clock_lives() {
    let mut ahead = candidate("a", 0, 512);
    ahead.presence.renewed += 40;
    assert_eq!(chosen(&[ahead]), Some("a/aa"));
}

// Its process was killed, frozen or cut off: what is given to it would lie there until
// it is missed, a second of the 7.5 that a step has.
#[test]
fn owner_that_was_not_seen_lately_gets_nothing() {
    assert_eq!(chosen(&[candidate("a", 1_200, 512)]), None);
    // The row of an older program doesn't tell when it was renewed.
    assert_eq!(chosen(&[candidate("a", 10_000, 512)]), None);
}

// A small host got the first step, as the balancer drew it. The step after comes to a
// larger one, which keeps it, and all that follow.
#[test]
fn trainer_moves_to_a_larger_host_and_stays_there() {
    assert_eq!(chosen(&[candidate("small", 10, 160)]), None);
    let both = [candidate("small", 10, 300), candidate("large", 900, 512)];
    assert_eq!(chosen(&both), Some("large/aa"));
    let large = [candidate("large", 10, 512)];
    assert!(choose(&large, 200, 160, NOW).is_some());
}

// Two trainers began at two processes that are alike. The next step of either goes to
// the one that got a step last, and from then on all go there: it alone sees what runs
// at the engines.
#[test]
fn trainers_come_to_one_process() {
    let mut owners = [candidate("a", 10, 512), candidate("b", 10, 512)];
    owners[1].last += Duration::from_secs(1);
    assert_eq!(chosen(&owners), Some("b/aa"));
}

// Two trainers have 1,024 samples a step and two steps open: one process would hold
// 4,096 texts of up to 64 KB and their results. It is left at half of its memory, and
// the next process takes what comes.
#[test]
fn owner_without_room_gets_nothing_more() {
    let mut full = candidate("a", 10, 512);
    full.items = 1_025;
    assert!(choose(std::slice::from_ref(&full), 1_024, 512, NOW).is_none());
    full.items = 1_024;
    assert!(choose(&[full], 1_024, 512, NOW).is_some());
}
