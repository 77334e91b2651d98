//! Single situations of a run: refusals, and second copies that don't win by
//! being short.

use hibiscusroad::{
    ErrorKind,
    train::{Answer, Event, GenKey, Run, Span, Spec, Step, Ticket},
};
use std::time::{Duration, Instant};

const OWNER: u64 = 3;

struct Bench {
    run: Run,
    now: Instant,
    version: u64,
    starts: Vec<GenKey>,
    cancels: Vec<GenKey>,
    scores: Vec<GenKey>,
    answers: Vec<Answer>,
}

impl Bench {
    /// Creates a run whose table always answers.
    fn new(spec: Spec) -> Self {
        let mut bench = Self {
            run: Run::new(spec, OWNER, 0, 1),
            now: Instant::now(),
            version: 0,
            starts: Vec::new(),
            cancels: Vec::new(),
            scores: Vec::new(),
            answers: Vec::new(),
        };
        bench.carry_out();
        bench
    }

    fn tell(&mut self, event: Event) {
        self.run.handle(self.now, event);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        while let Some(step) = self.run.next_step() {
            let event = match step {
                Step::ReadHead => Event::Head(None),
                Step::ReadRows => Event::Rows(Vec::new()),
                Step::Write(write) => {
                    assert_eq!(write.expect, self.version);
                    self.version += 1;
                    Event::Committed
                }
                Step::Start { generation, .. } => {
                    self.starts.push(generation);
                    continue;
                }
                Step::Cancel(generation) => {
                    self.cancels.push(generation);
                    continue;
                }
                Step::Score { generation, .. } => {
                    self.scores.push(generation);
                    continue;
                }
                Step::Answer(_, answer) => {
                    self.answers.push(answer);
                    continue;
                }
                Step::Raise(_) | Step::Release(_) => continue,
            };
            self.run.handle(self.now, event);
        }
    }

    fn report(&mut self, generation: GenKey, first: u32, tokens: u32) {
        let version = 0;
        let spans = vec![Span { version, first }];
        self.tell(Event::Progress {
            generation,
            tokens,
            spans,
        });
    }

    fn pull(&mut self, owner: u64, cursor: u64) {
        let ticket = Ticket(0);
        self.tell(Event::Pulled {
            ticket,
            owner,
            cursor,
        });
    }

    fn done(&mut self, cursor: u64, version: u64) {
        self.tell(Event::Done {
            ticket: Ticket(0),
            owner: OWNER,
            cursor,
            version,
        });
    }

    /// Brings a generation to the point where it has a second copy.
    fn hedged(&mut self) -> (GenKey, GenKey) {
        let main = self.starts[0];
        self.report(main, 0, 100);
        self.now += Duration::from_secs(11);
        self.tell(Event::Tick);
        (main, *self.starts.last().unwrap())
    }
}

fn single() -> Spec {
    Spec::new().size(1).groups(1)
}

// A generation has gone silent at 100 tokens and a copy runs from there. The
// copy ends at 120 while the first one is at 150. Taking it would make every
// straggler that is moved a short one; the first one goes on.
#[test]
fn a_copy_that_ends_short_is_thrown_away() {
    let mut bench = Bench::new(single());
    let (main, copy) = bench.hedged();
    assert_ne!(main, copy);
    bench.report(main, 0, 150);
    bench.report(copy, 100, 120);
    bench.tell(Event::Finished(copy));
    assert_eq!(bench.scores, []);
    bench.report(main, 0, 160);
    bench.tell(Event::Finished(main));
    assert_eq!(bench.scores, [main]);
}

// The copy passes the first one while both run: both are longer than that, and
// the slow one is stopped.
#[test]
fn a_copy_that_passes_takes_over() {
    let mut bench = Bench::new(single());
    let (main, copy) = bench.hedged();
    bench.report(copy, 100, 130);
    assert_eq!(bench.cancels, [main]);
    bench.tell(Event::Finished(copy));
    assert_eq!(bench.scores, [copy]);
}

// Two trainers of one name, a cursor that is ahead, a step whose predecessor
// isn't done, and weights that go back: each is refused, and the batch is the
// same afterwards.
#[test]
fn bad_requests_change_nothing() {
    let mut bench = Bench::new(single());
    bench.pull(OWNER + 1, 0);
    bench.pull(OWNER, 7);
    bench.done(0, 1);
    let main = bench.starts[0];
    bench.report(main, 0, 10);
    bench.tell(Event::Finished(main));
    bench.tell(Event::Scored {
        generation: main,
        score: 1.0,
    });
    bench.pull(OWNER, 0);
    bench.pull(OWNER, 1);
    bench.done(0, 3);
    bench.done(0, 3);
    bench.pull(OWNER, 0);
    let [
        taken,
        ahead,
        early,
        Answer::Batch(first),
        open,
        done,
        again,
        Answer::Batch(last),
    ] = &*bench.answers
    else {
        panic!("{:?}", bench.answers);
    };
    assert_eq!(*taken, Answer::Refused(ErrorKind::RunTaken));
    assert_eq!(*ahead, Answer::Refused(ErrorKind::BadCursor));
    assert_eq!(*early, Answer::Refused(ErrorKind::BadCursor));
    assert_eq!(*open, Answer::Refused(ErrorKind::StepOpen));
    assert_eq!([done, again], [&Answer::Noted, &Answer::Noted]);
    assert_eq!(first, last);
}
