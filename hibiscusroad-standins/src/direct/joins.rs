//! Checks which runs of an item made the events of a text.

use super::ExecutedRequest;
use std::collections::HashMap;

/// Separates the name of a run from the rest of an event.
pub(super) const RUN_SEPARATOR: char = '@';

/// The runs of all endpoints, by name.
#[derive(Clone, Debug, Default)]
pub struct TextRuns {
    runs: HashMap<String, (String, u64)>,
}

impl TextRuns {
    /// Collects runs.
    #[must_use]
    pub fn new(runs: impl IntoIterator<Item = ExecutedRequest>) -> Self {
        let runs = runs.into_iter().map(|it| {
            let last_event = it.last_event_id.unwrap_or(0);
            (it.run, (it.id, last_event))
        });
        Self {
            runs: runs.collect(),
        }
    }

    /// Checks that each run in the text of an item was asked to continue where it does, and
    /// returns the number of runs.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the first event at which the text isn't one of the item's runs.
    pub fn check(&self, item: &str, text: &str) -> Result<usize, String> {
        let mut previous = "";
        let mut count = 0;
        for (after, line) in (0..).zip(text.lines()) {
            let run = line.rsplit_once(RUN_SEPARATOR).map_or("", |(_, run)| run);
            if run == previous {
                continue;
            }
            let is_continued = self
                .runs
                .get(run)
                .is_some_and(|(id, last_event)| id == item && *last_event == after);
            if !is_continued {
                return Err(format!(
                    "the text of {item} goes on after event {after} of run {previous:?} with run \
                     {run:?}, which was asked for {:?}",
                    self.runs.get(run)
                ));
            }
            previous = run;
            count += 1;
        }
        Ok(count)
    }

    /// Returns a text without the names of runs.
    #[must_use]
    pub fn strip(text: &str) -> String {
        let events = text
            .lines()
            .map(|line| line.rsplit_once(RUN_SEPARATOR).map_or(line, |(it, _)| it));
        events.collect::<Vec<&str>>().join("\n")
    }
}
