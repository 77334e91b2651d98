//! Tests the choice of the process that runs a new batch.

use hibiscusroad::rollout::{
    choice::{Candidate, Home, Preference, choose, choose_in_regions},
    row::{Presence, may_hold},
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);

/// Builds a process that renewed its row `age_ms` milliseconds ago.
fn candidate(name: &str, age_ms: u64, memory: u32) -> Candidate {
    Candidate {
        presence: Presence {
            offset: None,
            incarnation: format!("{name}/aa"),
            peer: None,
            renewed: 10_000 - age_ms,
            memory,
            region: None,
            row_form: 0,
            pause: 0,
        },
        open_items: 200,
        last_batch_at: Duration::from_secs(8),
    }
}

/// Returns the process for a batch of 200 items that a process with 512 MB accepts.
fn chosen(candidates: &[Candidate]) -> Option<&str> {
    let candidate = choose(candidates, 200, 512, NOW)?;
    Some(&candidate.presence.incarnation)
}

// Guards against the steps of a trainer being scattered over processes.
#[test]
fn live_owner_gets_the_next_batch() {
    assert_eq!(chosen(&[candidate("a", 100, 512)]), Some("a/aa"));
    assert_eq!(chosen(&[]), None);
}

// Guards against several owners where trainers start at the same time, and against a batch that
// leaves the owner of others for a process that only holds a duty.
#[test]
fn process_without_batches_is_chosen_only_if_there_is_no_owner() {
    let mut idle = candidate("idle", 100, 512);
    idle.last_batch_at = Duration::ZERO;
    idle.open_items = 0;
    assert_eq!(chosen(std::slice::from_ref(&idle)), Some("idle/aa"));
    let owner = candidate("owner", 100, 256);
    assert_eq!(chosen(&[idle, owner]), Some("owner/aa"));
}

// The accepting process's estimate of the store's clock may be behind the owner's.
#[test]
fn owner_with_a_renewal_in_the_future_counts_as_live() {
    let mut ahead = candidate("a", 0, 512);
    ahead.presence.renewed += 40;
    assert_eq!(chosen(&[ahead]), Some("a/aa"));
}

// Guards against a batch given to a dead process, where it would wait for a takeover.
#[test]
fn owner_without_recent_renewal_gets_nothing() {
    assert_eq!(chosen(&[candidate("a", 1_200, 512)]), None);
    // A row without a renewal time, as former releases wrote it.
    assert_eq!(chosen(&[candidate("a", 10_000, 512)]), None);
}

// Guards against batches that stay at a small host, or alternate between hosts.
#[test]
fn batches_move_to_a_larger_host_and_stay_there() {
    assert_eq!(chosen(&[candidate("small", 10, 160)]), None);
    let both = [candidate("small", 10, 300), candidate("large", 900, 512)];
    assert_eq!(chosen(&both), Some("large/aa"));
    let large = [candidate("large", 10, 512)];
    assert!(choose(&large, 200, 160, NOW).is_some());
}

// Of two equal processes, the one that was given a batch last gets those of all trainers.
#[test]
fn batches_of_all_trainers_go_to_one_process() {
    let mut owners = [candidate("a", 10, 512), candidate("b", 10, 512)];
    owners[1].last_batch_at += Duration::from_secs(1);
    assert_eq!(chosen(&owners), Some("b/aa"));
}

// Guards against one process that holds more texts and results than its memory allows.
#[test]
fn owner_without_capacity_gets_nothing_more() {
    let mut full = candidate("a", 10, 512);
    full.open_items = 1_025;
    assert!(choose(std::slice::from_ref(&full), 1_024, 512, NOW).is_none());
    full.open_items = 1_024;
    assert!(choose(&[full], 1_024, 512, NOW).is_some());
}

/// Returns the process for a batch that a process in `zapad` accepts.
fn chosen_in(
    owners: &[(&str, Option<&str>)],
    allowed: Option<&[&str]>,
    preference: Preference,
) -> Option<String> {
    let candidates = owners.iter().map(|(name, region)| {
        let mut owner = candidate(name, 10, 512);
        owner.presence.region = region.map(str::to_owned);
        owner
    });
    let candidates: Vec<Candidate> = candidates.collect();
    let allowed = allowed.map(|names| names.iter().map(|it| (*it).to_owned()).collect::<Vec<_>>());
    let home = Home {
        region: "zapad",
        allowed: allowed.as_deref(),
        preference,
    };
    let chosen = choose_in_regions(&candidates, 200, 512, NOW, &home)?;
    Some(chosen.presence.incarnation.clone())
}

// Guards against a submission that is sent to a region that must not have it.
#[test]
fn owner_is_in_an_allowed_region_or_that_of_the_acceptance() {
    let one = Preference::OneOwner;
    let east = [("a", Some("vychod"))];
    assert_eq!(chosen_in(&east, None, one).as_deref(), Some("a/aa"));
    assert_eq!(chosen_in(&east, Some(&["zapad"]), one), None);
    assert_eq!(chosen_in(&east, Some(&[]), one), None);
    let allowed = chosen_in(&east, Some(&["vychod"]), one);
    assert_eq!(allowed.as_deref(), Some("a/aa"));
    let home = chosen_in(&[("a", Some("zapad"))], Some(&["vychod"]), one);
    assert_eq!(home.as_deref(), Some("a/aa"));
    // A row of an earlier version.
    assert_eq!(chosen_in(&[("a", None)], Some(&["zapad"]), one), None);
    let unlimited = chosen_in(&[("a", None)], None, one);
    assert_eq!(unlimited.as_deref(), Some("a/aa"));
}

// Guards against a near owner that is preferred although it can't take the batch.
#[test]
fn near_owner_is_preferred_only_if_it_can_take_the_batch() {
    let owners = [("a", Some("vychod")), ("b", Some("zapad"))];
    let near = chosen_in(&owners, None, Preference::NearOwner);
    assert_eq!(near.as_deref(), Some("b/aa"));
    let far = chosen_in(&owners[..1], None, Preference::NearOwner);
    assert_eq!(far.as_deref(), Some("a/aa"));
}

#[test]
fn data_without_limits_may_be_held_anywhere() {
    assert!(may_hold(None, None, None));
    assert!(!may_hold(Some(&[]), Some("zapad"), None));
    assert!(may_hold(Some(&[]), Some("zapad"), Some("zapad")));
    assert!(!may_hold(Some(&[]), Some("zapad"), Some("vychod")));
}
