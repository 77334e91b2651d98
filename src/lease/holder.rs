//! The lease of a duty, as one process sees it.

use crate::lease::LeaseTimes;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// The table's row of a duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
// Operators read this in the error of a malformed row.
#[serde(expecting = "struct Row")]
pub struct LeaseRow {
    /// The name of the holding process, with its incarnation; empty if free.
    pub holder: String,
    /// The fencing token, which increases with each change of holder.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Increases with each renewal, so that every write changes the row.
    pub renewals: u64,
}

/// An uninterrupted period in which a process holds a duty.
///
/// A process that takes the duty again holds it under another fencing token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The name of the holding process, with its incarnation.
    pub holder: String,
    /// Its fencing token.
    pub fencing_token: u64,
}

impl LeaseRow {
    /// Returns the holding that the row records.
    #[must_use]
    pub fn holding(&self) -> Holding {
        Holding {
            holder: self.holder.clone(),
            fencing_token: self.fencing_token,
        }
    }
}

/// The next action for a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextAction {
    /// Read the row and report it by [`Lease::record_read`].
    Read,
    /// Write the row if it still has this version (0: if it is absent), and
    /// report the result by [`Lease::record_write`], [`Lease::record_failure`] or
    /// [`Lease::record_conflict`].
    Write {
        /// The version that the row must have.
        version: u64,
        /// The row to write.
        row: LeaseRow,
    },
    /// Do nothing until then.
    Sleep(Instant),
}

#[derive(Clone, Debug)]
enum State {
    /// The row is unknown.
    Unknown,
    /// The row names a holder, and was first seen with this version at `since`.
    Watching {
        version: u64,
        row: LeaseRow,
        since: Instant,
    },
    /// The row is absent or was released.
    Free { version: u64, fencing_token: u64 },
    /// This process holds the duty, from before the last renewal was sent.
    Held {
        version: u64,
        row: LeaseRow,
        since: Instant,
    },
}

/// A write that may still take effect, and when it was first sent.
///
/// A repetition does not change that time: the first copy may have taken effect
/// long before, and a candidate measures from then.
#[derive(Clone, Debug)]
struct PendingWrite {
    version: u64,
    row: LeaseRow,
    first_sent: Instant,
}

/// The lease of a duty, as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    name: String,
    times: LeaseTimes,
    state: State,
    last_read: Option<Instant>,
    pending: Option<PendingWrite>,
    /// A holding that may be taken over before its lease expires.
    ///
    /// It is identified by holder and fencing token. A suspicion of the holder's
    /// name would last beyond this holding: two processes that once suspected
    /// each other would take the duty from each other forever.
    suspected: Option<Holding>,
    releasing: bool,
}

impl Lease {
    /// Creates the lease of a process that has not read the row.
    ///
    /// `name` must be different for each incarnation of a process, since a new
    /// one doesn't know the orders of its predecessor.
    #[must_use]
    pub fn new(name: &str, times: LeaseTimes) -> Self {
        Self {
            name: name.to_owned(),
            times,
            state: State::Unknown,
            last_read: None,
            pending: None,
            suspected: None,
            releasing: false,
        }
    }

    /// Returns the holding in the row that was last read, if it is another
    /// process's.
    #[must_use]
    pub fn other_holding(&self) -> Option<Holding> {
        match &self.state {
            State::Watching { row, .. } if row.holder != self.name => Some(row.holding()),
            _ => None,
        }
    }

    /// Returns the version of the row while this process holds the duty: the
    /// condition for writes that only the holder may do.
    #[must_use]
    pub fn held_version(&self, now: Instant) -> Option<u64> {
        match &self.state {
            State::Held { version, .. } if self.fencing_token(now).is_some() => Some(*version),
            _ => None,
        }
    }

    /// Allows the duty of a holding to be taken over before its lease expires.
    ///
    /// The holder may be alive and still believe that it holds the duty, so this
    /// is only safe if each of its actions is written on the condition of the
    /// row's version.
    pub fn suspect(&mut self, holding: Holding) {
        self.suspected = Some(holding);
    }

    /// Returns the fencing token while this process holds the duty.
    #[must_use]
    pub fn fencing_token(&self, now: Instant) -> Option<u64> {
        match &self.state {
            State::Held { row, since, .. } if now < self.expires_at(*since) => {
                Some(row.fencing_token)
            }
            _ => None,
        }
    }

    /// Returns when the lease ends if it is not renewed, while this process holds the duty.
    #[must_use]
    pub fn held_until(&self, now: Instant) -> Option<Instant> {
        match &self.state {
            State::Held { since, .. } => Some(self.expires_at(*since)).filter(|end| now < *end),
            _ => None,
        }
    }

    /// Releases the duty with the next write, so that another process need not
    /// wait for the lease to expire.
    pub const fn release(&mut self) {
        self.releasing = true;
    }

    /// Returns whether a release is complete.
    #[must_use]
    pub const fn is_released(&self) -> bool {
        self.releasing && !matches!(self.state, State::Held { .. }) && self.pending.is_none()
    }

    /// Decides the action at `now`.
    pub fn next_action(&mut self, now: Instant) -> NextAction {
        let next = match &self.state {
            State::Unknown => NextAction::Read,
            State::Free { .. } if self.releasing => NextAction::Sleep(now + self.times.ttl),
            State::Free {
                version,
                fencing_token,
            } => NextAction::Write {
                version: *version,
                row: self.acquiring_row(*fencing_token + 1),
            },
            State::Watching {
                version,
                row,
                since,
            } => {
                let next_read = self.last_read.unwrap_or(now) + self.times.renewal_interval;
                // A holder whose lease expired during an outage finds its own row
                // and need not wait: no one has taken the duty since.
                let is_own = row.holder == self.name;
                let is_suspected = self.suspected == Some(row.holding());
                let is_available = is_own || is_suspected || now >= *since + self.times.ttl;
                if !self.releasing && is_available && self.is_recently_read(now) {
                    NextAction::Write {
                        version: *version,
                        row: self.acquiring_row(row.fencing_token + 1),
                    }
                } else if now >= next_read {
                    NextAction::Read
                } else {
                    NextAction::Sleep(next_read)
                }
            }
            State::Held {
                version,
                row,
                since,
            } => {
                let renewal_due = *since + self.times.renewal_interval;
                if self.releasing || now >= renewal_due {
                    NextAction::Write {
                        version: *version,
                        row: self.renewed_row(row),
                    }
                } else {
                    NextAction::Sleep(renewal_due)
                }
            }
        };
        if let NextAction::Write { version, row } = &next {
            self.track_write(now, *version, row);
        }
        next
    }

    /// Handles the result of a read that ended at `now`: version and row.
    pub fn record_read(&mut self, now: Instant, found: Option<(u64, LeaseRow)>) {
        self.last_read = Some(now);
        let Some((version, row)) = found else {
            self.state = State::Free {
                version: 0,
                fencing_token: 0,
            };
            return;
        };
        if row.holder.is_empty() {
            let fencing_token = row.fencing_token;
            self.state = State::Free {
                version,
                fencing_token,
            };
            return;
        }
        if let Some(pending) = self.pending.take() {
            // The write took effect, and its answer was lost.
            if pending.row == row {
                self.apply_write(version, pending);
                return;
            }
            // The write may still take effect while the row has its version.
            if pending.version == version {
                self.pending = Some(pending);
            }
        }
        let is_unchanged = match &self.state {
            State::Watching { version: v, .. } => *v == version,
            _ => false,
        };
        if !is_unchanged {
            self.state = State::Watching {
                version,
                row,
                since: now,
            };
        }
    }

    /// Handles that the last write took effect and created `version`.
    pub fn record_write(&mut self, version: u64) {
        if let Some(pending) = self.pending.take() {
            self.apply_write(version, pending);
        }
    }

    /// Handles that a read or a write failed, or that its answer was lost.
    ///
    /// The holder keeps the duty until its lease expires: while the table is
    /// down, no one else can take over either. Afterwards it reads the row before
    /// it writes again.
    pub fn record_failure(&mut self, now: Instant) {
        if self.fencing_token(now).is_none() {
            self.state = State::Unknown;
        }
    }

    /// Handles that the row has another version than a write requires.
    ///
    /// The version may come from an earlier copy of the write whose answer was
    /// lost, so the row is read again.
    pub fn record_conflict(&mut self) {
        self.state = State::Unknown;
    }

    fn track_write(&mut self, now: Instant, version: u64, row: &LeaseRow) {
        let is_repeated = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.version == version && pending.row == *row);
        if !is_repeated {
            self.pending = Some(PendingWrite {
                version,
                row: row.clone(),
                first_sent: now,
            });
        }
    }

    fn apply_write(&mut self, version: u64, write: PendingWrite) {
        self.state = if write.row.holder.is_empty() {
            State::Free {
                version,
                fencing_token: write.row.fencing_token,
            }
        } else {
            State::Held {
                version,
                row: write.row,
                since: write.first_sent,
            }
        };
    }

    fn expires_at(&self, since: Instant) -> Instant {
        since + self.times.ttl.saturating_sub(self.times.clock_margin)
    }

    /// Returns whether the row was read recently enough to act on it; not so in
    /// a candidate that was paused since.
    fn is_recently_read(&self, now: Instant) -> bool {
        let age = self.last_read.map_or(Duration::MAX, |read| now - read);
        age < self.times.renewal_interval
    }

    fn acquiring_row(&self, fencing_token: u64) -> LeaseRow {
        LeaseRow {
            holder: self.name.clone(),
            fencing_token,
            renewals: 0,
        }
    }

    fn renewed_row(&self, row: &LeaseRow) -> LeaseRow {
        LeaseRow {
            holder: if self.releasing {
                String::new()
            } else {
                row.holder.clone()
            },
            fencing_token: row.fencing_token,
            renewals: row.renewals + 1,
        }
    }
}
