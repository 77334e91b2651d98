//! Each call gets exactly one final outcome, whatever happens to its attempts.

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
        timeout_ms: u64,
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
    Advance {
        millis: u64,
    },
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..3usize, any::<bool>(), 1..2000u64, 0..2000u32)
            .prop_map(|(class, once, timeout_ms, tokens)| Event::Arrive { class, once, timeout_ms, tokens }),
        5 => (any::<usize>(), 0..6u8).prop_map(|(pick, outcome)| Event::Finish { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Event::Progress { pick }),
        1 => any::<usize>().prop_map(|pick| Event::Cancel { pick }),
        1 => any::<usize>().prop_map(|pick| Event::Commit { pick }),
        1 => (0..ENDPOINTS, any::<bool>())
            .prop_map(|(endpoint, open)| Event::Open { endpoint, open }),
        1 => (0..ENDPOINTS, 0..9u32, 0..9u32)
            .prop_map(|(endpoint, running, queued)| Event::Report { endpoint, running, queued }),
        1 => (0..ENDPOINTS * 8).prop_map(|endpoint| Event::Remove { endpoint }),
        4 => (0..400u64).prop_map(|millis| Event::Advance { millis }),
    ]
}

#[derive(Default)]
struct Caller {
    once: bool,
    /// Attempts, without those that the sidecar reported as not run.
    may_have_run: u32,
    final_outcomes: u32,
    /// Whether it has received part of an answer.
    committed: bool,
    cancelled: bool,
}

struct Harness {
    now: Instant,
    router: Router,
    service: ServiceKey,
    endpoints: Vec<EndpointKey>,
    callers: HashMap<RequestId, Caller>,
    running: Vec<(RequestId, EndpointKey)>,
}

impl Harness {
    fn new() -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", 3);
        let service = router.set_service(now, "guide-lm", ServiceSpec::new().max_queued(8));
        let data_centres = ["senec", "senec", "trnava", "piestany"];
        let endpoints = (0..ENDPOINTS)
            .map(|n| {
                EndpointSpec::new(&format!("e{n}"), data_centres[n])
                    .limit(3)
                    .cache_tokens(3000)
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
                timeout_ms,
                tokens,
            } => {
                let repeat = if once {
                    Repeat::Once
                } else {
                    Repeat::Idempotent
                };
                let deadline = now + Duration::from_millis(timeout_ms);
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
                self.router.submit(now, call);
            }
            Event::Finish { pick, outcome } => self.finish(pick, outcome),
            Event::Progress { pick } => {
                if let Some((id, endpoint)) = self.pick_running(pick) {
                    self.router.record_progress(now, id, endpoint, 1);
                }
            }
            Event::Cancel { pick } => {
                if let Some((id, _)) = self.pick_running(pick) {
                    let caller = self.callers.get_mut(&id).expect("it arrived");
                    caller.cancelled = true;
                    self.router.cancel(now, id);
                }
            }
            Event::Commit { pick } => {
                if let Some((id, endpoint)) = self.pick_running(pick) {
                    let caller = self.callers.get_mut(&id).expect("it arrived");
                    caller.committed = true;
                    self.router.commit(now, id, endpoint);
                }
            }
            Event::Open { endpoint, open } => {
                self.router
                    .set_accepting(now, self.endpoints[endpoint], open);
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
                self.router
                    .record_load(now, self.endpoints[endpoint], report);
            }
            Event::Remove { endpoint } => {
                if let Some(key) = self.endpoints.get(endpoint) {
                    self.router.remove_endpoint(now, *key);
                }
            }
            Event::Advance { millis } => self.advance(Duration::from_millis(millis)),
        }
        self.check_steps();
    }

    fn pick_running(&self, pick: usize) -> Option<(RequestId, EndpointKey)> {
        let len = self.running.len();
        (len > 0).then(|| self.running[pick % len])
    }

    fn finish(&mut self, pick: usize, outcome: u8) {
        let Some((id, endpoint)) = self.pick_running(pick) else {
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
            Outcome::Answered => caller.final_outcomes += 1,
            Outcome::NotRun(_) if caller.committed => {}
            Outcome::NotRun(_) => caller.may_have_run -= 1,
            Outcome::Failed(_) => {}
        }
        self.router.finish(self.now, id, endpoint, outcome);
    }

    /// Advances the time and handles each timer when it is due.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(due) = self.router.next_due().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            self.router.tick(self.now);
            self.check_steps();
        }
        self.now = end;
    }

    fn check_steps(&mut self) {
        while let Some(step) = self.router.next_step() {
            match step {
                Step::Start {
                    id,
                    endpoint,
                    hedge,
                } => {
                    let caller = self.callers.get_mut(&id).expect("it arrived");
                    assert!(!(caller.once && caller.may_have_run > 0), "{id} ran twice");
                    assert!(
                        caller.final_outcomes == 0 && !caller.cancelled,
                        "{id} started after its final outcome"
                    );
                    assert!(!caller.committed, "{id} started after its answer began");
                    caller.may_have_run += 1;
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
                    caller.final_outcomes += 1;
                    let has_run = caller.may_have_run > 0;
                    assert!(
                        !(has_run && kind.answer().not_run),
                        "{id} ran, but was refused with {kind:?}"
                    );
                }
            }
        }
    }
}

proptest! {
    /// Guards against lost and double outcomes, "not run" reported of a call that may
    /// have run, repeated runs of non-repeatable calls, and leaks in the counters.
    #[test]
    fn each_call_gets_one_final_outcome(events in prop::collection::vec(any_event(), 1..200)) {
        let mut harness = Harness::new();
        for (seq, event) in (0..).zip(&events) {
            harness.apply(seq, event);
        }
        harness.advance(Duration::from_secs(10));
        for (id, caller) in &harness.callers {
            prop_assert_eq!(caller.final_outcomes, u32::from(!caller.cancelled), "{}", id);
        }
        prop_assert!(harness.running.is_empty());
        for class in Class::ALL {
            prop_assert_eq!(harness.router.running(harness.service, class), 0);
            prop_assert_eq!(harness.router.queued(harness.service, class), 0);
        }
        for key in &harness.endpoints {
            prop_assert_eq!(harness.router.load(*key).map_or(0, |load| load.0), 0);
        }
    }
}
