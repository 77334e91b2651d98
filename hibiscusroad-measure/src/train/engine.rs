//! Simulated engines: lanes of one speed that run urgent jobs first.

use hibiscusroad::train::{GenerationKey, Span};

/// The identity of a job within its run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JobId {
    Generation(GenerationKey),
    Plain(usize),
}

/// A generation on an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) run: usize,
    pub(super) id: JobId,
    pub(super) urgent: bool,
    /// Tokens that an earlier generation made of the sample.
    pub(super) prefix_tokens: f64,
    pub(super) tokens: f64,
    pub(super) length: f64,
    pub(super) spans: Vec<Span>,
    /// The value of `tokens` in the last report.
    pub(super) reported_tokens: f64,
    /// When the job began to generate, if it has.
    pub(super) started_at: Option<f64>,
}

/// The state of one engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) speed: f64,
    pub(super) alive: bool,
    pub(super) versions: [u64; 2],
    /// For each run, when the swap of its weights ends and the version after it.
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

    /// Advances the engine by `step` seconds to `now` and returns the number of
    /// generated tokens.
    pub(super) fn advance(&mut self, now: f64, step: f64, lanes: usize) -> f64 {
        for run in 0..2 {
            if let Some((until, version)) = self.swaps[run]
                && until <= now
            {
                self.versions[run] = version;
                self.swaps[run] = None;
            }
        }
        // The sort is stable: jobs of one priority stay in arrival order.
        self.jobs
            .sort_by_key(|job| (!job.urgent, job.started_at.is_none()));
        let mut generated = 0.0;
        for job in self.jobs.iter_mut().take(lanes) {
            if self.swaps[job.run].is_some() {
                continue;
            }
            job.started_at.get_or_insert(now);
            let version = self.versions[job.run];
            if job.spans.last().is_none_or(|span| span.version != version) {
                let first = whole_tokens(job.tokens.max(job.prefix_tokens));
                job.spans.retain(|span| span.first < first);
                job.spans.push(Span { version, first });
            }
            let added = (self.speed * step).min(job.length - job.tokens);
            job.tokens += added;
            generated += added;
        }
        generated
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens of a sample are few and not negative"
)]
pub(super) const fn whole_tokens(tokens: f64) -> u32 {
    tokens as u32
}
