//! Drawing the load.

use crate::{
    caller::{Call, Work},
    deployment::{Deployment, Kind},
    load,
};
use hibiscusroad::Class;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// When a key is repeated after its first call: at once, soon, and later than
/// most faults find the first.
const REPEATS: [u64; 3] = [0, 300, 2000];

/// Draws the calls of a mixed load.
pub(super) fn draw(deployment: &Deployment, time: Duration, seed: u64, rate: f64) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let mut calls = Vec::new();
    for (number, at) in load::arrivals(rate, time, seed).into_iter().enumerate() {
        let call = one(deployment, number, at, &mut rng);
        if matches!(call.work, Work::Post { .. }) && rng.random_bool(0.4) {
            calls.push(repeat(deployment, &call, &mut rng));
        }
        calls.push(call);
    }
    calls
}

fn one(deployment: &Deployment, number: usize, at: Duration, rng: &mut Pcg64Mcg) -> Call {
    let (kind, class, work, wait) = match rng.random_range(0..100) {
        0..40 => (Kind::Plain, Class::Interactive, Work::Get, 1500),
        40..75 => (Kind::Plain, Class::Interactive, post(number), 1500),
        75..85 => (Kind::Plain, Class::Partner, post(number), 3000),
        _ => (Kind::Model, Class::Interactive, complete(number, rng), 5000),
    };
    let path = match kind {
        Kind::Plain => format!("/items/{number}"),
        Kind::Model => "/v1/completions".to_owned(),
    };
    let service = deployment.spec.service(kind).map_or("", |s| s.name);
    let entry = rng.random_range(0..deployment.entries.len());
    Call {
        at,
        base: deployment.base(entry, service),
        path,
        work,
        request: format!("r{number}"),
        class,
        deadline: Duration::from_millis(wait),
        size: rng.random_range(0..4000),
    }
}

fn post(number: usize) -> Work {
    Work::Post {
        key: format!("key-{number}"),
    }
}

fn complete(number: usize, rng: &mut Pcg64Mcg) -> Work {
    Work::Complete {
        prompt: format!("guest {number} asks for a hut by the lake"),
        tokens: rng.random_range(5..60),
        stream: rng.random(),
    }
}

/// The same request with the same key once more, through any entry.
fn repeat(deployment: &Deployment, call: &Call, rng: &mut Pcg64Mcg) -> Call {
    let entry = rng.random_range(0..deployment.entries.len());
    let service = deployment.spec.service(Kind::Plain).map_or("", |s| s.name);
    let later = Duration::from_millis(REPEATS[rng.random_range(0..REPEATS.len())]);
    Call {
        at: call.at + later,
        base: deployment.base(entry, service),
        ..call.clone()
    }
}
