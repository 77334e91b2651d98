//! Benchmarks of the choice of an engine for an item among 600, of which none or a tenth is cold.

#![expect(missing_docs, reason = "criterion_group! generates a public function")]

use criterion::{Criterion, criterion_group, criterion_main};
use hibiscusroad::{
    cold_start::Admission,
    contention::{Contention, Mode},
    rollout::engines::{Engines, Requirements},
    roster::{Endpoint, Weights},
    topology::RegionSet,
};
use std::{
    hint::black_box,
    time::{Duration, Instant},
};

const ENGINES: usize = 600;

fn engines(mode: Mode, cold: usize) -> Engines {
    let mut engines = Engines::new().contention(Contention::new(mode, false));
    for n in 0..ENGINES {
        let id = format!("engine-{n}");
        engines.update(&engine(&id));
        if n < cold {
            let admission = Admission {
                is_cold: true,
                calls: Some(0),
                items: Some(0),
                opens_at: None,
            };
            engines.set_admission(&id, admission);
        }
    }
    engines
}

fn engine(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        started_ms: Some(1),
        service: "lm".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: "senec".to_owned(),
        slots: 6,
        leaving: false,
        cold_remaining: Duration::ZERO,
        evacuated: false,
        weights: vec![Weights {
            model: "guide".to_owned(),
            version: 3,
        }],
    }
}

fn choose(c: &mut Criterion) {
    let requirements = Requirements {
        service: "lm",
        model: Some("guide"),
        min_version: 3,
        regions: RegionSet::ALL,
        exact_version: None,
        group: "group-1",
        excluded: None,
        rest: None,
        due: None,
    };
    let now = Instant::now();
    for (name, mode) in [("off", Mode::Off), ("on", Mode::On)] {
        for cold in [0, ENGINES / 10] {
            let engines = engines(mode, cold);
            c.bench_function(&format!("choose: contention {name}, {cold} cold"), |b| {
                b.iter(|| black_box(engines.choose(now, black_box(&requirements))));
            });
        }
    }
}

criterion_group!(benches, choose);
criterion_main!(benches);
