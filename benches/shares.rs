//! Benchmarks of sharing slots between 64 open steps of 96 items at 600 engines: one decision
//! with its share of the bookkeeping, the start of a pass, and a plan of loads.

#![expect(missing_docs, reason = "criterion_group! generates a public function")]

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hibiscusroad::rollout::{
    Item, Submission,
    batch::Batch,
    load_plan::{EngineStatus, ModelGoal, plan},
    shares::{Shares, StepDemand},
};
use std::{
    collections::{BTreeMap, HashMap},
    hint::black_box,
    time::{Duration, Instant},
};

const STEPS: usize = 64;
const GROUPS: usize = 12;
const GROUP_SIZE: usize = 8;
const ENGINES: usize = 600;
const ENGINE_SLOTS: usize = 8;
const MODELS: usize = 8;
const FLOOR_PERCENT: u32 = 50;

fn submission() -> Submission {
    let item = |n: usize| Item {
        id: format!("item-{n}"),
        path: "/lm/x".to_owned(),
        headers: BTreeMap::new(),
        body: Vec::new(),
        tokens: 400,
        hint: u32::try_from(20 + n * 37 % 300).ok(),
        group: format!("group-{}", n / GROUP_SIZE),
        scorer: None,
    };
    Submission {
        step: Some(1),
        model: Some("guide".to_owned()),
        min_version: 1,
        target: Some(GROUPS - 2),
        items: (0..GROUPS * GROUP_SIZE).map(item).collect(),
    }
}

fn demand(now: Instant, n: usize, batch: &Batch) -> StepDemand {
    let remaining = |idx: usize, _last| Duration::from_millis(20 * idx as u64);
    let (complete, groups) = batch.group_demands(remaining);
    StepDemand {
        priority: [0, 1, 2][n % 3],
        due_at: Some(now + Duration::from_secs(8)),
        allowance: Duration::from_secs(8),
        target: Some(GROUPS - 2),
        complete,
        groups,
    }
}

fn bench_pass(criterion: &mut Criterion) {
    let now = Instant::now();
    let step = submission();
    let batches = || -> Vec<Batch> {
        let new_batch = |_| Batch::new(now, &step, 3, false, 2);
        (0..STEPS).map(new_batch).collect()
    };
    let demands = |batches: &[Batch]| -> Vec<StepDemand> {
        let steps = batches.iter().enumerate();
        steps.map(|(n, batch)| demand(now, n, batch)).collect()
    };
    let start_pass = |batches: &[Batch]| {
        Shares::new(
            now,
            ENGINES * ENGINE_SLOTS,
            FLOOR_PERCENT,
            &demands(batches),
        )
    };
    criterion.bench_function("shares/start of a pass", |bencher| {
        let batches = batches();
        bencher.iter(|| black_box(start_pass(&batches)));
    });
    criterion.bench_function("shares/1000 decisions", |bencher| {
        let setup = || {
            let batches = batches();
            (start_pass(&batches), batches)
        };
        let run = |(mut shares, mut batches): (Shares, Vec<Batch>)| {
            for _ in 0..1000 {
                let Some(idx) = shares.next_step() else { break };
                let batch = &mut batches[idx];
                let Some(item) = batch.next_start(now) else {
                    shares.skip(idx);
                    continue;
                };
                batch.start(item);
                shares.update(now, idx, &demand(now, idx, batch));
            }
            (shares, batches)
        };
        bencher.iter_batched(setup, run, BatchSize::LargeInput);
    });
}

fn bench_plan(criterion: &mut Criterion) {
    let status = |n: usize| EngineStatus {
        id: format!("engine-{n}"),
        weights: HashMap::from([(format!("model-{}", n % MODELS), 4)]),
        loading: false,
        blocked: false,
        slow: false,
        unanswered: 0,
        running_requests: 3,
        pace: Some(Duration::from_millis(if n.is_multiple_of(4) {
            26
        } else {
            58
        })),
    };
    let goal = |n: usize| ModelGoal {
        model: format!("model-{n}"),
        newest: 5,
        lag: 1,
        work: 1000.0 + n as f64,
        items: None,
        priority: 0,
    };
    let engines: Vec<EngineStatus> = (0..ENGINES).map(status).collect();
    let goals: Vec<ModelGoal> = (0..MODELS).map(goal).collect();
    criterion.bench_function("shares/plan of loads", |bencher| {
        bencher.iter(|| black_box(plan(&engines, &goals, 75)));
    });
}

criterion_group!(benches, bench_pass, bench_plan);
criterion_main!(benches);
