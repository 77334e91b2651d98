//! One process's view of one duty.

use crate::lease::Terms;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// What the table holds of a duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The name of the holding process, with its incarnation; empty if free.
    pub holder: String,
    /// Counts up with each change of holder.
    pub fence: u64,
    /// Counts up with each renewal, so that every write changes the row.
    pub renewals: u64,
}

/// One span in which a process held a duty without a break: the same process that
/// takes the duty again holds it under another number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The name of the holding process, with its incarnation.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
}

impl Row {
    /// Returns the holding that the row tells of.
    #[must_use]
    pub fn holding(&self) -> Holding {
        Holding {
            holder: self.holder.clone(),
            fence: self.fence,
        }
    }
}

/// What to do next for a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Read the row and report it by [`Lease::seen`].
    Read,
    /// Write the row if it still has this version (0: if it is absent), and
    /// report by [`Lease::written`] or [`Lease::lost`].
    Write {
        /// The version that the row must have.
        version: u64,
        /// The row to write.
        row: Row,
    },
    /// Do nothing until then.
    Sleep(Instant),
}

#[derive(Clone, Debug)]
enum State {
    /// Nothing is known, or the last write's outcome isn't.
    Blank,
    /// Another holds it; its row was first seen so at this instant.
    Watching {
        version: u64,
        row: Row,
        since: Instant,
    },
    /// The row is absent or was given back.
    Free { version: u64, fence: u64 },
    /// This process holds it, counted from before the last renewal was sent.
    Held {
        version: u64,
        row: Row,
        since: Instant,
    },
}

/// A write that may still take effect, and when it was sent first.
///
/// A repeat doesn't count anew: the first copy may have taken effect long
/// before, and a candidate counts from then.
#[derive(Clone, Debug)]
struct Sent {
    version: u64,
    row: Row,
    since: Instant,
}

/// One process's view of one duty.
#[derive(Clone, Debug)]
pub struct Lease {
    name: String,
    terms: Terms,
    state: State,
    read: Option<Instant>,
    sent: Option<Sent>,
    /// A holding whose holder is taken to be gone before its time is over.
    ///
    /// Not the holder by its name: one that was suspected wrongly takes the duty again
    /// some day, and if that were enough to take it from that holder at once, two
    /// processes that had suspected each other would take it in turns for ever. Their
    /// engines would be ordered twice or not at all.
    suspect: Option<Holding>,
    giving: bool,
}

impl Lease {
    /// Creates the view of a process that knows nothing yet.
    ///
    /// `name` must differ between two lives of a process, since a new life
    /// doesn't know what the old one ordered.
    #[must_use]
    pub fn new(name: &str, terms: Terms) -> Self {
        Self {
            name: name.to_owned(),
            terms,
            state: State::Blank,
            read: None,
            sent: None,
            suspect: None,
            giving: false,
        }
    }

    /// Returns the holding that the row told of last, if it is another process's.
    #[must_use]
    pub fn other(&self) -> Option<Holding> {
        match &self.state {
            State::Watching { row, .. } if row.holder != self.name => Some(row.holding()),
            _ => None,
        }
    }

    /// Returns the version of the row that this process wrote last, while it holds
    /// the duty at `now`: the condition for writes that only a holder may do.
    #[must_use]
    pub fn version(&self, now: Instant) -> Option<u64> {
        match &self.state {
            State::Held { version, .. } if self.fence(now).is_some() => Some(*version),
            _ => None,
        }
    }

    /// Takes the holder of a holding to be gone, so that its duty may be taken before
    /// its time is over. It may live and still believe that it holds the duty: only
    /// for duties of which each act is written under the condition of the row's
    /// version.
    pub fn suspect(&mut self, holding: Holding) {
        self.suspect = Some(holding);
    }

    /// Returns the fencing number while this process holds the duty.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<u64> {
        match &self.state {
            State::Held { row, since, .. } if now < self.end(*since) => Some(row.fence),
            _ => None,
        }
    }

    /// Gives the duty back with the next write, so that another takes it at
    /// once instead of after a span.
    pub const fn give_back(&mut self) {
        self.giving = true;
    }

    /// Says whether nothing is left to give back.
    #[must_use]
    pub const fn is_given(&self) -> bool {
        self.giving && !matches!(self.state, State::Held { .. }) && self.sent.is_none()
    }

    /// Decides what to do at `now`.
    pub fn next(&mut self, now: Instant) -> Next {
        let next = match &self.state {
            State::Blank => Next::Read,
            State::Free { .. } if self.giving => Next::Sleep(now + self.terms.span),
            State::Free { version, fence } => Next::Write {
                version: *version,
                row: self.claim(*fence + 1),
            },
            State::Watching {
                version,
                row,
                since,
            } => {
                let look = self.read.unwrap_or(now) + self.terms.renewal;
                // A holder that lost its time in an outage finds its own row: nobody
                // has taken the duty since, and there is nobody to wait for. Without
                // this nobody would hold it for a span after each outage.
                let own = row.holder == self.name;
                let gone = self.suspect == Some(row.holding());
                let over = own || gone || now >= *since + self.terms.span;
                if !self.giving && over && self.fresh(now) {
                    Next::Write {
                        version: *version,
                        row: self.claim(row.fence + 1),
                    }
                } else if now >= look {
                    Next::Read
                } else {
                    Next::Sleep(look)
                }
            }
            State::Held {
                version,
                row,
                since,
            } => {
                let due = *since + self.terms.renewal;
                if self.giving || now >= due {
                    Next::Write {
                        version: *version,
                        row: self.renewed(row),
                    }
                } else {
                    Next::Sleep(due)
                }
            }
        };
        if let Next::Write { version, row } = &next {
            self.send(now, *version, row);
        }
        next
    }

    /// Takes in what a read that ended at `now` found: version and row.
    pub fn seen(&mut self, now: Instant, found: Option<(u64, Row)>) {
        self.read = Some(now);
        let Some((version, row)) = found else {
            self.state = State::Free {
                version: 0,
                fence: 0,
            };
            return;
        };
        if row.holder.is_empty() {
            let fence = row.fence;
            self.state = State::Free { version, fence };
            return;
        }
        if let Some(sent) = self.sent.take() {
            // A write whose answer was lost did take effect.
            if sent.row == row {
                self.hold(version, sent);
                return;
            }
            // It may still be under way while the row is as it needs it.
            if sent.version == version {
                self.sent = Some(sent);
            }
        }
        let same = match &self.state {
            State::Watching { version: v, .. } => *v == version,
            _ => false,
        };
        if !same {
            self.state = State::Watching {
                version,
                row,
                since: now,
            };
        }
    }

    /// Notes that the last write took effect and made `version`.
    pub fn written(&mut self, version: u64) {
        if let Some(sent) = self.sent.take() {
            self.hold(version, sent);
        }
    }

    /// Notes that a write failed, or that its answer was lost.
    ///
    /// A holder goes on believing until its time is over: the table may be down
    /// for everybody, and then nobody can take over either. It reads the row
    /// before it writes again.
    pub fn lost(&mut self, now: Instant) {
        if self.fence(now).is_none() {
            self.state = State::Blank;
        }
    }

    /// Notes that the row has another version than the write asked for.
    ///
    /// It may be its own doing: an earlier copy whose answer was lost. The read
    /// that follows tells.
    pub fn beaten(&mut self) {
        self.state = State::Blank;
    }

    fn send(&mut self, now: Instant, version: u64, row: &Row) {
        let again = self
            .sent
            .as_ref()
            .is_some_and(|sent| sent.version == version && sent.row == *row);
        if !again {
            self.sent = Some(Sent {
                version,
                row: row.clone(),
                since: now,
            });
        }
    }

    fn hold(&mut self, version: u64, sent: Sent) {
        self.state = if sent.row.holder.is_empty() {
            State::Free {
                version,
                fence: sent.row.fence,
            }
        } else {
            State::Held {
                version,
                row: sent.row,
                since: sent.since,
            }
        };
    }

    fn end(&self, since: Instant) -> Instant {
        since + self.terms.span.saturating_sub(self.terms.margin)
    }

    /// Says whether the row was read lately enough to act on it: a candidate
    /// that was paused may hold news of hours ago.
    fn fresh(&self, now: Instant) -> bool {
        let age = self.read.map_or(Duration::MAX, |read| now - read);
        age < self.terms.renewal
    }

    fn claim(&self, fence: u64) -> Row {
        Row {
            holder: self.name.clone(),
            fence,
            renewals: 0,
        }
    }

    fn renewed(&self, row: &Row) -> Row {
        Row {
            holder: if self.giving {
                String::new()
            } else {
                row.holder.clone()
            },
            fence: row.fence,
            renewals: row.renewals + 1,
        }
    }
}
