//! Samples of open groups, and the versions that generated their tokens.

use crate::train::{
    GenerationKey,
    row::{Record, Slot, Span, oldest_version},
};
use std::time::Instant;

/// The state of a sample.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Phase {
    /// No generation is running; there may be a prefix.
    #[default]
    Waiting,
    /// The sample is being generated, with an optional hedge.
    Running {
        main: GenerationKey,
        hedge: Option<GenerationKey>,
    },
    /// The sample is finished and is being stored and scored.
    Scoring(GenerationKey),
    /// The record is being written to the table.
    Writing(Record),
    /// The record is in the table.
    Recorded(Record),
}

/// One sample of an open group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    pub(crate) phase: Phase,
    /// The text of generations that failed.
    pub(crate) prefix: Text,
}

impl Sample {
    pub(crate) const fn is_recorded(&self) -> bool {
        matches!(self.phase, Phase::Recorded(_))
    }
}

/// The first tokens of a sample, with the versions that generated them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Text {
    pub(crate) tokens: u32,
    pub(crate) spans: Vec<Span>,
    /// The generation that holds the text.
    pub(crate) source: Option<GenerationKey>,
}

impl Text {
    pub(crate) fn oldest_version(&self) -> Option<u64> {
        oldest_version(&self.spans)
    }

    /// Returns this text extended by a report of its continuation, or `None` if the
    /// report leaves a token without a version.
    ///
    /// A missing version isn't inferred from the orders, since the engine may
    /// have run another one.
    pub(crate) fn extended(&self, tokens: u32, spans: &[Span]) -> Option<Self> {
        let increasing = spans.windows(2).all(|pair| pair[0].first < pair[1].first);
        let start = spans.first().map_or(self.tokens, |span| span.first);
        let in_range = spans.last().is_none_or(|span| span.first < tokens);
        let covered = !spans.is_empty() || tokens == self.tokens;
        if !increasing || start != self.tokens || !in_range || !covered {
            return None;
        }
        let mut merged = self.spans.clone();
        for span in spans {
            if merged
                .last()
                .is_none_or(|last| last.version != span.version)
            {
                merged.push(*span);
            }
        }
        Some(Self {
            tokens,
            spans: merged,
            source: self.source,
        })
    }
}

/// A generation of one sample on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    pub(crate) slot: Slot,
    pub(crate) serial: u64,
    pub(crate) urgent: bool,
    /// The text that the generation continues.
    pub(crate) base: Text,
    /// The last reported text, including `base`.
    pub(crate) text: Text,
    pub(crate) started: Instant,
    pub(crate) reports: Option<ReportTimes>,
    /// Whether the last token was reported.
    pub(crate) finished: bool,
}

/// When a generation was first and last reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportTimes {
    pub(crate) first: Instant,
    /// The number of tokens in the first report.
    pub(crate) first_tokens: u32,
    pub(crate) last: Instant,
}

impl Generation {
    pub(crate) fn record_report(&mut self, now: Instant, key: GenerationKey, text: Text) {
        match &mut self.reports {
            Some(reports) => reports.last = now,
            None => {
                self.reports = Some(ReportTimes {
                    first: now,
                    first_tokens: text.tokens,
                    last: now,
                });
            }
        }
        self.text = Text {
            source: Some(key),
            ..text
        };
    }

    /// Returns the tokens per second since the first report, or `None` before any
    /// time has passed since then.
    pub(crate) fn token_rate(&self, now: Instant) -> Option<f64> {
        let reports = self.reports?;
        let elapsed = now.saturating_duration_since(reports.first).as_secs_f64();
        let tokens = self.text.tokens.saturating_sub(reports.first_tokens);
        (elapsed > 0.0).then(|| f64::from(tokens) / elapsed)
    }
}
