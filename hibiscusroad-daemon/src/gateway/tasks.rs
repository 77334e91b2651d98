//! Starts the background tasks of a gateway, and those again that panic.

use super::{
    Gateway, batches,
    batches::Batches,
    crashes, pauses,
    sync::{self, Sink},
};
use crate::logs::PROCESS;
use std::{rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// Delay before a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Starts the gateway's background tasks.
pub(super) fn spawn(gateway: &Rc<Gateway>) {
    let Gateway {
        context,
        store,
        batches,
        weights,
        duty,
        usage,
        reporter,
        members,
        ..
    } = &**gateway;
    store.on_recovery({
        let members = Rc::clone(members);
        move || members.record_recovery()
    });
    for sink in sinks(gateway) {
        let (store, sink) = (Rc::clone(store), Rc::new(sink));
        spawn_supervised(sink.table, move || {
            sync::follow(Rc::clone(&store), Rc::clone(&sink))
        });
    }
    let prober = Rc::clone(store);
    spawn_supervised("probes", move || {
        let prober = Rc::clone(&prober);
        async move { prober.run_probes().await }
    });
    let cold = Rc::clone(&context.cold);
    let (router, engines) = (Rc::clone(&context.calls), Rc::clone(batches));
    spawn_local(cold.run(move |admissions| {
        engines.set_admissions(admissions);
        router.set_admissions(admissions);
    }));
    let calls = Rc::clone(&context.calls);
    spawn_supervised("calls", move || {
        let calls = Rc::clone(&calls);
        async move { calls.run().await }
    });
    let expiring = Rc::clone(members);
    spawn_supervised("roster", move || {
        let expiring = Rc::clone(&expiring);
        async move { expiring.run_expiry().await }
    });
    spawn_supervised("pauses", pauses::watch);
    spawn_batch_tasks(batches);
    let loading = Rc::clone(weights);
    spawn_supervised("weights", move || Rc::clone(&loading).run());
    let counting = Rc::clone(usage);
    spawn_supervised("usage", move || Rc::clone(&counting).run_writer());
    let crashes = Rc::clone(&context.crashes);
    spawn_supervised("crash writer", move || Rc::clone(&crashes).run_writer());
    let crashes = Rc::clone(&context.crashes);
    spawn_supervised("crash expiry", move || Rc::clone(&crashes).run_expiry());
    if let Some(reporter) = reporter {
        let recovered = Rc::clone(reporter);
        store.on_recovery(move || recovered.record_store_return());
        let reporting = Rc::clone(reporter);
        spawn_supervised("reports", move || Rc::clone(&reporting).run());
    }
    let (duty, weights, reporter) = (Rc::clone(duty), Rc::clone(weights), reporter.clone());
    spawn_supervised("duty", move || {
        let (weights, reporter) = (Rc::clone(&weights), reporter.clone());
        let needed = move || {
            let is_reporting = reporter.as_ref().is_some_and(|it| it.is_needed());
            weights.is_needed() || is_reporting
        };
        Rc::clone(&duty).run(needed)
    });
}

/// Builds the sinks of the tables that a gateway follows.
fn sinks(gateway: &Gateway) -> [Sink; 4] {
    let Gateway {
        known,
        refresher,
        context,
        batches,
        weights,
        members,
        ..
    } = gateway;
    let wake = {
        let (weights, batches) = (Rc::clone(weights), Rc::clone(batches));
        move || {
            weights.wake();
            batches.wake_dispatcher();
        }
    };
    [
        sync::operator_sink(
            Rc::clone(known),
            Rc::clone(&context.calls),
            Rc::clone(members),
            refresher.position(),
            wake,
        ),
        sync::endpoints_sink(
            Rc::clone(members),
            {
                let crashes = Rc::clone(&context.crashes);
                let (cold, members) = (Rc::clone(&context.cold), Rc::clone(members));
                move || {
                    crashes.confirm_roster();
                    // Endpoints that are reported later would count as just started.
                    if members.is_reporting() {
                        cold.confirm_roster();
                    }
                }
            },
            {
                let batches = Rc::clone(batches);
                move || batches.needs_heartbeat()
            },
        ),
        batches::sink(Rc::clone(batches)),
        crashes::sink(Rc::clone(&context.crashes)),
    ]
}

/// Starts the tasks without which batches stand still while their owner seems to be alive.
fn spawn_batch_tasks(batches: &Rc<Batches>) {
    let all = Rc::clone(batches);
    spawn_supervised("announce", move || Rc::clone(&all).announce());
    let all = Rc::clone(batches);
    spawn_supervised("heartbeat", move || Rc::clone(&all).renew_heartbeat());
    let all = Rc::clone(batches);
    spawn_supervised("owners", move || Rc::clone(&all).watch_owners());
    let all = Rc::clone(batches);
    spawn_supervised("dispatch", move || Rc::clone(&all).dispatch());
    let all = Rc::clone(batches);
    spawn_supervised("idle", move || Rc::clone(&all).report_idle());
    let all = Rc::clone(batches);
    spawn_supervised("sweep", move || Rc::clone(&all).sweep());
    let all = Rc::clone(batches);
    spawn_supervised("paces", move || Rc::clone(&all).share_paces());
    let all = Rc::clone(batches);
    spawn_supervised("orders", move || Rc::clone(&all).follow_orders());
}

/// Runs a task, and starts it again if it panics.
///
/// The process could also end, and others would take its batches over, but a batch that causes
/// the panic would then end one process after the other.
fn spawn_supervised<F>(name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        while let Err(error) = spawn_local(start()).await {
            if !error.is_panic() {
                return;
            }
            log::error!(target: PROCESS, task = name; "A task is started again after a panic.");
            sleep(RESTART_DELAY).await;
        }
    });
}
