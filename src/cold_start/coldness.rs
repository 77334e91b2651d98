//! Until when an endpoint is cold, as far as a process knows.

use std::time::{Duration, Instant};

/// How the coldness of an endpoint is known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Source {
    /// Its entry tells the time that remains.
    #[default]
    Entry,
    /// It is new or has restarted, and may not have reported its coldness yet.
    Start,
    /// The evacuation of its data centre has ended.
    Evacuation,
}

impl Source {
    /// Returns the name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Start => "start",
            Self::Evacuation => "evacuation",
        }
    }
}

/// The coldness of one endpoint.
///
/// An entry without remaining time doesn't end an assumed coldness, because an endpoint is cold
/// before it reports so.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coldness {
    /// When an entry was last read that told of coldness, and the remaining time in it.
    reported: Option<(Instant, Duration)>,
    /// When the endpoint may have become cold, for the duration that its service declares.
    assumed: Option<(Instant, Source)>,
}

impl Coldness {
    /// Records that the endpoint may have become cold at `now`.
    pub(super) const fn assume(&mut self, now: Instant, source: Source) {
        self.assumed = Some((now, source));
    }

    /// Records the remaining time in an entry that was read at `now`.
    ///
    /// The entry was written earlier, so the time is too long by its age. A report that has
    /// ended is kept, because the load grows after it.
    pub(super) fn report(&mut self, now: Instant, remaining: Duration) {
        if !remaining.is_zero() {
            self.reported = Some((now, remaining));
        } else if let Some((read, remaining)) = &mut self.reported {
            *remaining = (*remaining).min(now.saturating_duration_since(*read));
        }
    }

    /// Returns when the last known coldness ends or has ended.
    pub(super) fn until(&self, duration: Duration) -> Option<Instant> {
        let reported = self.reported.and_then(|(at, it)| at.checked_add(it));
        let assumed = self.assumed.map(|(at, _)| at + duration);
        reported.max(assumed)
    }

    pub(super) fn is_cold(&self, now: Instant, duration: Duration) -> bool {
        self.until(duration).is_some_and(|until| now < until)
    }

    /// Returns how much longer the endpoint is cold.
    pub(super) fn remaining(&self, now: Instant, duration: Duration) -> Duration {
        let until = self.until(duration).unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Returns how the last coldness was learned.
    pub(super) fn source(&self) -> Source {
        self.latest().map(|(_, source)| source).unwrap_or_default()
    }

    /// Returns the time since the last coldness was learned.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let since = self.latest().map_or(now, |(at, _)| at);
        now.saturating_duration_since(since)
    }

    fn latest(&self) -> Option<(Instant, Source)> {
        let reported = self.reported.map(|(at, _)| (at, Source::Entry));
        // A start that was reported at the same time is the cause.
        [reported, self.assumed]
            .into_iter()
            .flatten()
            .max_by_key(|(at, _)| *at)
    }
}
