//! Samples on their way, and what truly generated them.

use crate::train::{
    GenKey,
    row::{Record, Slot, Span, oldest_version},
};
use std::time::Instant;

/// Where a sample stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Phase {
    /// Nothing runs for it; a prefix may be there.
    #[default]
    Waiting,
    /// It is being generated.
    Running { main: GenKey, hedge: Option<GenKey> },
    /// It is finished, and is being kept and scored.
    Scoring(GenKey),
    /// Its record is on the way to the table.
    Writing(Record),
    /// Its record is in the table.
    Recorded(Record),
}

/// One sample of an open group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    pub(crate) phase: Phase,
    /// What generations that broke off left.
    pub(crate) prefix: Text,
}

impl Sample {
    pub(crate) const fn is_recorded(&self) -> bool {
        matches!(self.phase, Phase::Recorded(_))
    }
}

/// Some first tokens of a sample, by what generated them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Text {
    pub(crate) tokens: u32,
    pub(crate) spans: Vec<Span>,
    /// The generation whose text begins so.
    pub(crate) from: Option<GenKey>,
}

impl Text {
    pub(crate) fn oldest(&self) -> Option<u64> {
        oldest_version(&self.spans)
    }

    /// Returns this text with what was reported of its continuation; none if
    /// the report leaves a token without a version.
    ///
    /// Such a report can't be made whole by a guess: what was ordered may not
    /// be what ran.
    pub(crate) fn with(&self, tokens: u32, spans: &[Span]) -> Option<Self> {
        let rising = spans.windows(2).all(|pair| pair[0].first < pair[1].first);
        let starts = spans.first().map_or(self.tokens, |span| span.first);
        let inside = spans.last().is_none_or(|span| span.first < tokens);
        let covered = !spans.is_empty() || tokens == self.tokens;
        if !rising || starts != self.tokens || !inside || !covered {
            return None;
        }
        let mut all = self.spans.clone();
        for span in spans {
            if all.last().is_none_or(|last| last.version != span.version) {
                all.push(*span);
            }
        }
        Some(Self {
            tokens,
            spans: all,
            from: self.from,
        })
    }
}

/// One run of an engine for one sample.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    pub(crate) slot: Slot,
    pub(crate) serial: u64,
    pub(crate) urgent: bool,
    /// The text that it continues.
    pub(crate) base: Text,
    /// The text as last reported.
    pub(crate) text: Text,
    pub(crate) started: Instant,
    /// When the first and the last report came, with the tokens of the first.
    pub(crate) heard: Option<Heard>,
    /// Whether its last token was reported.
    pub(crate) ended: bool,
}

/// The reports of a generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    pub(crate) first: Instant,
    pub(crate) tokens: u32,
    pub(crate) last: Instant,
}

impl Generation {
    pub(crate) fn hear(&mut self, now: Instant, key: GenKey, text: Text) {
        match &mut self.heard {
            Some(heard) => heard.last = now,
            None => {
                self.heard = Some(Heard {
                    first: now,
                    tokens: text.tokens,
                    last: now,
                });
            }
        }
        self.text = Text {
            from: Some(key),
            ..text
        };
    }

    /// Returns tokens a second since its first report; none before there is
    /// enough to tell.
    pub(crate) fn rate(&self, now: Instant) -> Option<f64> {
        let heard = self.heard?;
        let took = now.saturating_duration_since(heard.first).as_secs_f64();
        let tokens = self.text.tokens.saturating_sub(heard.tokens);
        (took > 0.0).then(|| f64::from(tokens) / took)
    }
}
