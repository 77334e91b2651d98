//! Engines: lanes of one speed, urgent work first.

use hibiscusroad::train::{GenerationKey, Span};

/// Names a generation at its run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Id {
    Ours(GenerationKey),
    Plain(usize),
}

/// One generation on an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) run: usize,
    pub(super) id: Id,
    pub(super) urgent: bool,
    pub(super) first: f64,
    pub(super) tokens: f64,
    pub(super) length: f64,
    pub(super) spans: Vec<Span>,
    /// Tokens as last reported.
    pub(super) told: f64,
    /// Begun at; none while it waits for a lane.
    pub(super) begun: Option<f64>,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) speed: f64,
    pub(super) alive: bool,
    pub(super) versions: [u64; 2],
    /// Until when it changes a run's weights, and to which.
    pub(super) swaps: [Option<(f64, u64)>; 2],
    pub(super) jobs: Vec<Job>,
}

impl Engine {
    pub(super) const fn new(speed: f64) -> Self {
        Self {
            speed,
            alive: true,
            versions: [0; 2],
            swaps: [None; 2],
            jobs: Vec::new(),
        }
    }

    /// Lets `step` seconds pass up to `now`; returns the tokens made.
    pub(super) fn turn(&mut self, now: f64, step: f64, lanes: usize) -> f64 {
        for run in 0..2 {
            if let Some((until, version)) = self.swaps[run]
                && until <= now
            {
                self.versions[run] = version;
                self.swaps[run] = None;
            }
        }
        // Stable: within a priority, first come first served.
        self.jobs
            .sort_by_key(|job| (!job.urgent, job.begun.is_none()));
        let mut made = 0.0;
        for job in self.jobs.iter_mut().take(lanes) {
            if self.swaps[job.run].is_some() {
                continue;
            }
            job.begun.get_or_insert(now);
            let version = self.versions[job.run];
            if job.spans.last().is_none_or(|span| span.version != version) {
                let first = whole(job.tokens.max(job.first));
                job.spans.retain(|span| span.first < first);
                job.spans.push(Span { version, first });
            }
            let more = (self.speed * step).min(job.length - job.tokens);
            job.tokens += more;
            made += more;
        }
        made
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens of a sample are few and not negative"
)]
pub(super) const fn whole(tokens: f64) -> u32 {
    tokens as u32
}
