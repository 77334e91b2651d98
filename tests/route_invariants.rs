//! Every call gets exactly one final outcome, whatever happens to attempts.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, Repeat, RequestId,
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, Router, ServiceKey, ServiceSpec, Step,
    },
};
use proptest::prelude::*;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

const ENDPOINTS: usize = 4;

fn id(seq: u64) -> RequestId {
    RequestId {
        origin: Incarnation(1),
        seq,
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive {
        class: usize,
        once: bool,
        wait: u64,
        tokens: u32,
    },
    Finish {
        pick: usize,
        outcome: u8,
    },
    Progress {
        pick: usize,
    },
    Cancel {
        pick: usize,
    },
    Commit {
        pick: usize,
    },
    Open {
        endpoint: usize,
        open: bool,
    },
    Report {
        endpoint: usize,
        running: u32,
        queued: u32,
    },
    Remove {
        endpoint: usize,
    },
    Pass {
        millis: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..3usize, any::<bool>(), 1..2000u64, 0..2000u32)
            .prop_map(|(class, once, wait, tokens)| Event::Arrive { class, once, wait, tokens }),
        5 => (any::<usize>(), 0..6u8).prop_map(|(pick, outcome)| Event::Finish { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Event::Progress { pick }),
        1 => any::<usize>().prop_map(|pick| Event::Cancel { pick }),
        1 => any::<usize>().prop_map(|pick| Event::Commit { pick }),
        1 => (0..ENDPOINTS, any::<bool>())
            .prop_map(|(endpoint, open)| Event::Open { endpoint, open }),
        1 => (0..ENDPOINTS, 0..9u32, 0..9u32)
            .prop_map(|(endpoint, running, queued)| Event::Report { endpoint, running, queued }),
        1 => (0..ENDPOINTS * 8).prop_map(|endpoint| Event::Remove { endpoint }),
        4 => (0..400u64).prop_map(|millis| Event::Pass { millis }),
    ]
}

#[derive(Default)]
struct Caller {
    once: bool,
    /// Attempts that may have run: all but those of which the side said that
    /// they didn't.
    ran: u32,
    finals: u32,
    /// It has part of an answer, which no other attempt can go on with.
    committed: bool,
    gone: bool,
}

struct World {
    now: Instant,
    router: Router,
    service: ServiceKey,
    endpoints: Vec<EndpointKey>,
    callers: HashMap<RequestId, Caller>,
    running: Vec<(RequestId, EndpointKey)>,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", 3);
        let service = router.set_service(now, "guide-lm", ServiceSpec::new().depth(8));
        let places = ["senec", "senec", "trnava", "piestany"];
        let endpoints = (0..ENDPOINTS)
            .map(|n| {
                EndpointSpec::new(&format!("e{n}"), places[n])
                    .limit(3)
                    .tokens(3000)
            })
            .map(|spec| router.add_endpoint(now, service, spec))
            .collect();
        Self {
            now,
            router,
            service,
            endpoints,
            callers: HashMap::new(),
            running: Vec::new(),
        }
    }

    fn apply(&mut self, seq: u64, event: &Event) {
        let now = self.now;
        match *event {
            Event::Arrive {
                class,
                once,
                wait,
                tokens,
            } => {
                let repeat = if once {
                    Repeat::Once
                } else {
                    Repeat::Idempotent
                };
                let deadline = now + Duration::from_millis(wait);
                let mut call = Call::new(id(seq), self.service, Class::ALL[class], deadline)
                    .repeat(repeat)
                    .tokens(tokens);
                if tokens > 0 {
                    call = call.prefix(u64::from(tokens % 5));
                }
                let caller = Caller {
                    once,
                    ..Caller::default()
                };
                self.callers.insert(call.id, caller);
                self.router.arrive(now, call);
            }
            Event::Finish { pick, outcome } => self.finish(pick, outcome),
            Event::Progress { pick } => {
                if let Some((id, endpoint)) = self.some(pick) {
                    self.router.progress(now, id, endpoint, 1);
                }
            }
            Event::Cancel { pick } => {
                if let Some((id, _)) = self.some(pick) {
                    let caller = self.callers.get_mut(&id).expect("it arrived");
                    caller.gone = true;
                    self.router.cancel(now, id);
                }
            }
            Event::Commit { pick } => {
                if let Some((id, endpoint)) = self.some(pick) {
                    let caller = self.callers.get_mut(&id).expect("it arrived");
                    caller.committed = true;
                    self.router.commit(now, id, endpoint);
                }
            }
            Event::Open { endpoint, open } => {
                self.router.set_open(now, self.endpoints[endpoint], open);
            }
            Event::Report {
                endpoint,
                running,
                queued,
            } => {
                let report = LoadReport {
                    running,
                    queued,
                    ..LoadReport::default()
                };
                self.router.report(now, self.endpoints[endpoint], report);
            }
            Event::Remove { endpoint } => {
                if let Some(key) = self.endpoints.get(endpoint) {
                    self.router.remove_endpoint(now, *key);
                }
            }
            Event::Pass { millis } => self.pass(Duration::from_millis(millis)),
        }
        self.drain();
    }

    fn some(&self, pick: usize) -> Option<(RequestId, EndpointKey)> {
        let len = self.running.len();
        (len > 0).then(|| self.running[pick % len])
    }

    fn finish(&mut self, pick: usize, outcome: u8) {
        let Some((id, endpoint)) = self.some(pick) else {
            return;
        };
        self.running.retain(|other| *other != (id, endpoint));
        let outcome = match outcome {
            0 => Outcome::NotRun(ErrorKind::Saturated),
            1 => Outcome::NotRun(ErrorKind::EndpointDown),
            2 => Outcome::Failed(ErrorKind::EndpointBroken),
            _ => Outcome::Answered,
        };
        let caller = self.callers.get_mut(&id).expect("it arrived");
        match outcome {
            Outcome::Answered => caller.finals += 1,
            Outcome::NotRun(_) if caller.committed => {}
            Outcome::NotRun(_) => caller.ran -= 1,
            Outcome::Failed(_) => {}
        }
        self.router.finish(self.now, id, endpoint, outcome);
    }

    /// Lets time pass as the entry does, which sleeps until the next timer.
    fn pass(&mut self, by: Duration) {
        let end = self.now + by;
        while let Some(due) = self.router.next_due().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            self.router.tick(self.now);
            self.drain();
        }
        self.now = end;
    }

    fn drain(&mut self) {
        while let Some(step) = self.router.next_step() {
            match step {
                Step::Start {
                    id,
                    endpoint,
                    hedge,
                } => {
                    let caller = self.callers.get_mut(&id).expect("it arrived");
                    assert!(!(caller.once && caller.ran > 0), "{id} ran twice");
                    assert!(
                        caller.finals == 0 && !caller.gone,
                        "{id} started after its end"
                    );
                    assert!(!caller.committed, "{id} started after its answer began");
                    caller.ran += 1;
                    let elsewhere = self.running.iter().any(|(other, _)| *other == id);
                    assert_eq!(hedge, elsewhere);
                    self.running.push((id, endpoint));
                }
                Step::Cancel { id, endpoint } => {
                    let before = self.running.len();
                    self.running.retain(|other| *other != (id, endpoint));
                    assert_eq!(self.running.len(), before - 1);
                }
                Step::Refuse { id, kind, .. } => {
                    let caller = self.callers.get_mut(&id).expect("it arrived");
                    caller.finals += 1;
                    let ran = caller.ran > 0;
                    assert!(
                        !(ran && kind.answer().not_run),
                        "{id} ran, but was told {kind:?}"
                    );
                }
            }
        }
    }
}

proptest! {
    /// Attempts end in every way, endpoints close and vanish, callers leave.
    /// Each caller that stays gets exactly one final outcome, none is told
    /// "not run" of a call that may have run, no call that runs at most once is
    /// started again after it may have run, and nothing is left counted.
    #[test]
    fn one_final_outcome(events in prop::collection::vec(event(), 1..200)) {
        let mut world = World::new();
        for (seq, event) in (0..).zip(&events) {
            world.apply(seq, event);
        }
        world.pass(Duration::from_secs(10));
        for (id, caller) in &world.callers {
            prop_assert_eq!(caller.finals, u32::from(!caller.gone), "{}", id);
        }
        prop_assert!(world.running.is_empty());
        for class in Class::ALL {
            prop_assert_eq!(world.router.running(world.service, class), 0);
            prop_assert_eq!(world.router.waiting(world.service, class), 0);
        }
        for key in &world.endpoints {
            prop_assert_eq!(world.router.load(*key).map_or(0, |load| load.0), 0);
        }
    }
}
