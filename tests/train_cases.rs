//! Single scenarios of a run: refused requests, and the replacement of a generation by
//! its hedge.

use hibiscusroad::{
    ErrorKind,
    train::{Action, Answer, Event, GenerationKey, Run, Span, Spec, Ticket},
};
use std::time::{Duration, Instant};

const OWNER: u64 = 3;

struct Harness {
    run: Run,
    now: Instant,
    /// The version of the head row.
    row_version: u64,
    started: Vec<GenerationKey>,
    cancelled: Vec<GenerationKey>,
    scored: Vec<GenerationKey>,
    answers: Vec<Answer>,
}

impl Harness {
    /// Creates a run with an empty table that answers every call.
    fn new(spec: Spec) -> Self {
        let mut harness = Self {
            run: Run::new(spec, OWNER, 0, 1),
            now: Instant::now(),
            row_version: 0,
            started: Vec::new(),
            cancelled: Vec::new(),
            scored: Vec::new(),
            answers: Vec::new(),
        };
        harness.run_actions();
        harness
    }

    fn handle(&mut self, event: Event) {
        self.run.handle(self.now, event);
        self.run_actions();
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.run.next_action() {
            let event = match action {
                Action::ReadHead => Event::Head(None),
                Action::ReadRows => Event::Rows(Vec::new()),
                Action::Write(write) => {
                    assert_eq!(write.expected_version, self.row_version);
                    self.row_version += 1;
                    Event::Committed
                }
                Action::Start { generation, .. } => {
                    self.started.push(generation);
                    continue;
                }
                Action::Cancel(generation) => {
                    self.cancelled.push(generation);
                    continue;
                }
                Action::Score { generation, .. } => {
                    self.scored.push(generation);
                    continue;
                }
                Action::Answer(_, answer) => {
                    self.answers.push(answer);
                    continue;
                }
                Action::Prioritize(_) | Action::DiscardTexts(_) => continue,
            };
            self.run.handle(self.now, event);
        }
    }

    fn report(&mut self, generation: GenerationKey, first: u32, tokens: u32) {
        let version = 0;
        let spans = vec![Span { version, first }];
        self.handle(Event::Progress {
            generation,
            tokens,
            spans,
        });
    }

    fn pull(&mut self, owner: u64, cursor: u64) {
        let ticket = Ticket(0);
        self.handle(Event::Pulled {
            ticket,
            owner,
            cursor,
        });
    }

    fn done(&mut self, cursor: u64, version: u64) {
        self.handle(Event::Done {
            ticket: Ticket(0),
            owner: OWNER,
            cursor,
            version,
        });
    }

    /// Reports 100 tokens of the first generation and waits until it is hedged. Returns
    /// the generation and its hedge.
    fn start_hedge(&mut self) -> (GenerationKey, GenerationKey) {
        let main = self.started[0];
        self.report(main, 0, 100);
        self.now += Duration::from_secs(11);
        self.handle(Event::Tick);
        (main, *self.started.last().unwrap())
    }
}

fn single_sample_spec() -> Spec {
    Spec::new().group_size(1).step_groups(1)
}

// A hedge that ends earlier than its original must not replace it, or all hedged samples
// would be short.
#[test]
fn hedge_that_ends_early_is_discarded() {
    let mut harness = Harness::new(single_sample_spec());
    let (main, hedge) = harness.start_hedge();
    assert_ne!(main, hedge);
    harness.report(main, 0, 150);
    harness.report(hedge, 100, 120);
    harness.handle(Event::Finished(hedge));
    assert_eq!(harness.scored, []);
    harness.report(main, 0, 160);
    harness.handle(Event::Finished(main));
    assert_eq!(harness.scored, [main]);
}

// A hedge that is longer than its running original replaces it.
#[test]
fn longer_hedge_replaces_its_original() {
    let mut harness = Harness::new(single_sample_spec());
    let (main, hedge) = harness.start_hedge();
    harness.report(hedge, 100, 130);
    assert_eq!(harness.cancelled, [main]);
    harness.handle(Event::Finished(hedge));
    assert_eq!(harness.scored, [hedge]);
}

// Requests with a wrong owner or cursor, or before the previous step is done, are refused
// and don't change the batch.
#[test]
fn invalid_requests_are_refused_without_effect() {
    let mut harness = Harness::new(single_sample_spec());
    harness.pull(OWNER + 1, 0);
    harness.pull(OWNER, 7);
    harness.done(0, 1);
    let main = harness.started[0];
    harness.report(main, 0, 10);
    harness.handle(Event::Finished(main));
    harness.handle(Event::Scored {
        generation: main,
        score: 1.0,
    });
    harness.pull(OWNER, 0);
    harness.pull(OWNER, 1);
    harness.done(0, 3);
    harness.done(0, 3);
    harness.pull(OWNER, 0);
    let [
        wrong_owner,
        cursor_ahead,
        done_without_batch,
        Answer::Batch(first),
        step_open,
        done,
        repeated_done,
        Answer::Batch(repeated),
    ] = &*harness.answers
    else {
        panic!("{:?}", harness.answers);
    };
    assert_eq!(*wrong_owner, Answer::Refused(ErrorKind::RunTaken));
    assert_eq!(*cursor_ahead, Answer::Refused(ErrorKind::BadCursor));
    assert_eq!(*done_without_batch, Answer::Refused(ErrorKind::BadCursor));
    assert_eq!(*step_open, Answer::Refused(ErrorKind::StepOpen));
    assert_eq!(
        [done, repeated_done],
        [&Answer::Recorded, &Answer::Recorded]
    );
    assert_eq!(first, repeated);
}
