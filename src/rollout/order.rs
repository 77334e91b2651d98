//! In which order the items of a batch start.

use crate::rollout::Submission;
use std::{cmp::Reverse, collections::HashMap};

/// So many times the mean of a batch's hints is long. One item in ten is five
/// times as long as usual, and hints are off by a factor of 1.6 either way.
const LONG: f64 = 2.5;

/// Orders items: those of groups that the trainer surely waits for, then all that
/// are expected to take long, then the others by groups.
///
/// Load: a step of 150 items before sixty slots, of which one item in ten takes
/// five times as long as the others and as long as the step may. Harm: started
/// with its group, a long item waits for a slot behind the short ones of the
/// groups before, and the step ends that much later: up to 3 s, as measured from
/// a step's acceptance to the start of its last item. Started by length alone,
/// on the other hand, all groups end together, and where the step is late nearly
/// none of them is in time.
pub(super) fn start_order(
    submission: &Submission,
    groups: &HashMap<&str, Group>,
    carried: usize,
) -> Vec<usize> {
    let items = &submission.items;
    let hint = |n: usize| items[n].hint.unwrap_or(0);
    let total: u64 = (0..items.len()).map(|n| u64::from(hint(n))).sum();
    let long = LONG * total as f64 / items.len().max(1) as f64;
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|n| {
        let group = &groups[items[*n].group.as_str()];
        let later = group.place >= carried;
        let first = later && f64::from(hint(*n)) > long;
        // Of groups that stand first all items keep their order.
        let length = if later { group.longest } else { 0 };
        (
            later,
            !first,
            Reverse(if first { hint(*n) } else { length }),
            group.place,
        )
    });
    order
}

/// Finds the groups of a submission, by their names.
pub(super) fn groups(submission: &Submission) -> HashMap<&str, Group> {
    let mut groups: HashMap<&str, Group> = HashMap::new();
    for item in &submission.items {
        let place = groups.len();
        let group = groups
            .entry(&item.group)
            .or_insert(Group { place, longest: 0 });
        group.longest = group.longest.max(item.hint.unwrap_or(0));
    }
    groups
}

pub(super) struct Group {
    /// Its place in the order of the submission.
    pub(super) place: usize,
    /// The longest of its items, by their hints.
    longest: u32,
}
