//! Drawing the calls of the load from a seed.

use crate::{
    caller::{Call, Work},
    deployment::{Deployment, Kind},
    load,
};
use hibiscusroad::Class;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Delays in milliseconds after which an idempotency key is repeated: at once,
/// while the first call is likely in flight, and after it has likely ended.
const REPEAT_DELAYS_MS: [u64; 3] = [0, 300, 2000];

/// Draws the calls of a mixed load of the given duration and rate per second.
pub(super) fn draw_calls(
    deployment: &Deployment,
    duration: Duration,
    seed: u64,
    rate: f64,
) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let mut calls = Vec::new();
    for (number, at) in load::arrivals(rate, duration, seed).into_iter().enumerate() {
        let call = draw_call(deployment, number, at, &mut rng);
        if matches!(call.work, Work::Post { .. }) && rng.random_bool(0.4) {
            calls.push(repeat_call(deployment, &call, &mut rng));
        }
        calls.push(call);
    }
    calls
}

fn draw_call(deployment: &Deployment, number: usize, at: Duration, rng: &mut Pcg64Mcg) -> Call {
    let (kind, class, work, deadline_ms) = match rng.random_range(0..100) {
        0..40 => (Kind::Plain, Class::Interactive, Work::Get, 1500),
        40..75 => (Kind::Plain, Class::Interactive, post_work(number), 1500),
        75..85 => (Kind::Plain, Class::Partner, post_work(number), 3000),
        _ => (
            Kind::Model,
            Class::Interactive,
            completion_work(number, rng),
            5000,
        ),
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
        deadline: Duration::from_millis(deadline_ms),
        size: rng.random_range(0..4000),
    }
}

fn post_work(number: usize) -> Work {
    Work::Post {
        key: format!("key-{number}"),
    }
}

fn completion_work(number: usize, rng: &mut Pcg64Mcg) -> Work {
    Work::Complete {
        prompt: format!("guest {number} asks for a hut by the lake"),
        tokens: rng.random_range(5..60),
        stream: rng.random(),
    }
}

/// Returns a later call with the same request and key, through any entry.
fn repeat_call(deployment: &Deployment, call: &Call, rng: &mut Pcg64Mcg) -> Call {
    let entry = rng.random_range(0..deployment.entries.len());
    let service = deployment.spec.service(Kind::Plain).map_or("", |s| s.name);
    let delay =
        Duration::from_millis(REPEAT_DELAYS_MS[rng.random_range(0..REPEAT_DELAYS_MS.len())]);
    Call {
        at: call.at + delay,
        base: deployment.base(entry, service),
        ..call.clone()
    }
}
