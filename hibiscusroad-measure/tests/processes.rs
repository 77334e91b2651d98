//! The whole path as processes: caller, entry, side, endpoint.
//!
//! The programs are those that `cargo test --workspace` builds.

use hibiscusroad::Class;
use hibiscusroad_measure::{
    caller::{Call, Caller, Ending, Work},
    deployment::{Deployment, Kind, Service, Spec},
    interrupt::Interrupt,
};
use std::{
    thread,
    time::{Duration, Instant},
};

const LIMIT: Duration = Duration::from_secs(20);
const WORK: Duration = Duration::from_millis(400);

fn small() -> Spec {
    let service = |name, kind, options: &[&str]| Service {
        name,
        kind,
        count: 2,
        limit: 16,
        options: options.iter().map(|&option| option.to_owned()).collect(),
        rule: "",
    };
    Spec {
        name: "small",
        region: "zapad",
        places: vec!["senec", "trnava"],
        entries: 2,
        services: vec![
            service("tokens", Kind::Model, &["--step-ms", "10"]),
            service("desk", Kind::Plain, &["--work-ms", "400"]),
        ],
        lag: Duration::from_millis(100),
        restarts: false,
        shared: false,
    }
}

fn start() -> Deployment {
    let deployment = Deployment::start(&small(), &Interrupt::default()).unwrap();
    deployment.set_up(LIMIT).unwrap();
    deployment
}

fn call(deployment: &Deployment, entry: usize, work: Work) -> Call {
    let (service, path) = match work {
        Work::Complete { .. } => ("tokens", "/v1/completions"),
        _ => ("desk", "/huts/7"),
    };
    Call {
        at: Duration::ZERO,
        base: deployment.base(entry, service),
        path: path.to_owned(),
        work,
        request: "r1".to_owned(),
        class: Class::Interactive,
        deadline: Duration::from_secs(5),
        size: 3000,
    }
}

fn run(call: &Call) -> Ending {
    Caller::default().run(call, Instant::now()).ending
}

fn kinds() -> [Work; 4] {
    let complete = |stream| Work::Complete {
        prompt: "a hut by the lake".to_owned(),
        tokens: 40,
        stream,
    };
    let post = Work::Post {
        key: "k1".to_owned(),
    };
    [Work::Get, post, complete(false), complete(true)]
}

#[test]
fn each_kind_of_call_is_answered_through_each_entry() {
    let deployment = start();
    for entry in 0..2 {
        for work in kinds() {
            let mut call = call(&deployment, entry, work);
            if let Work::Post { key } = &mut call.work {
                *key = format!("k{entry}");
            }
            assert_eq!(run(&call), Ending::Answered, "{call:?}");
        }
    }
    deployment.stop(LIMIT).unwrap();
}

/// A partner's system sends a reservation through one entry, hears nothing yet
/// and sends it again through the other. It runs once; the second copy is told
/// that the first is running, or gets the first one's answer. Later copies get
/// that answer too, through either entry.
#[test]
fn repeated_key_runs_once() {
    let deployment = start();
    let work = || Work::Post {
        key: "k1".to_owned(),
    };
    let calls = [0, 1].map(|entry| call(&deployment, entry, work()));
    let endings = thread::scope(|scope| {
        let made = calls.each_ref().map(|call| scope.spawn(|| run(call)));
        made.map(|made| made.join().unwrap())
    });
    assert!(endings.contains(&Ending::Answered), "{endings:?}");
    for call in &calls {
        assert_eq!(run(call), Ending::Answered);
    }
    let runs: usize = deployment.logs().unwrap().iter().map(Vec::len).sum();
    assert_eq!(runs, 1, "{endings:?}");
    deployment.stop(LIMIT).unwrap();
}

/// Calls of each kind are under way when all daemons are told to stop. Callers
/// see nothing of it: entries finish what they took, sides go on until the
/// entries have their answers, and each process ends with code 0.
#[test]
fn planned_stop_cuts_no_call_off() {
    let deployment = start();
    let calls = kinds().map(|work| call(&deployment, 0, work));
    thread::scope(|scope| {
        let made: Vec<_> = calls.iter().map(|call| scope.spawn(|| run(call))).collect();
        thread::sleep(WORK / 4);
        deployment.stop(LIMIT).unwrap();
        for (made, call) in made.into_iter().zip(&calls) {
            assert_eq!(made.join().unwrap(), Ending::Answered, "{call:?}");
        }
    });
}
