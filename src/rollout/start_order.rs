//! The order in which the items of a batch start.

use crate::rollout::Submission;
use std::{cmp::Reverse, collections::HashMap};

/// An item is long if its hint exceeds the mean of its batch by this factor. One item in ten
/// has five times the usual length, and hints are off by a factor of up to 1.6 either way.
const LONG_HINT_FACTOR: f64 = 2.5;

/// Sorts items by start order: first the carried-over groups, which the trainer always
/// waits for, then all long items, then the other items by group.
///
/// A long item that starts together with its group waits for a slot behind the short
/// items of earlier groups, and ends the step late. Sorting by length alone would end
/// all groups together, so that a late step has hardly any complete group in time.
pub(super) fn start_order(
    submission: &Submission,
    groups: &HashMap<&str, Group>,
    carried_groups: usize,
) -> Vec<usize> {
    let items = &submission.items;
    let hint = |idx: usize| items[idx].hint.unwrap_or(0);
    let total: u64 = (0..items.len()).map(|idx| u64::from(hint(idx))).sum();
    let long = LONG_HINT_FACTOR * total as f64 / items.len().max(1) as f64;
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|idx| {
        let group = &groups[items[*idx].group.as_str()];
        let new = group.position >= carried_groups;
        let is_long = new && f64::from(hint(*idx)) > long;
        // Items of carried-over groups keep the order of the submission.
        let max_hint = if new { group.max_hint } else { 0 };
        (
            new,
            !is_long,
            Reverse(if is_long { hint(*idx) } else { max_hint }),
            group.position,
        )
    });
    order
}

/// Collects the groups of a submission by name.
pub(super) fn groups(submission: &Submission) -> HashMap<&str, Group> {
    let mut groups: HashMap<&str, Group> = HashMap::new();
    for item in &submission.items {
        let position = groups.len();
        let group = groups.entry(&item.group).or_insert(Group {
            position,
            max_hint: 0,
        });
        group.max_hint = group.max_hint.max(item.hint.unwrap_or(0));
    }
    groups
}

pub(super) struct Group {
    /// Position of the group in the submission.
    pub(super) position: usize,
    /// The largest length hint of its items.
    max_hint: u32,
}
