//! The role gateway: callers on one side, endpoints on the other, and what must
//! last in the platform's store.
//!
//! A gateway is for deployments in which endpoints can be called directly and
//! say themselves whether a request ran. No side stands between then, and
//! several gateways share the endpoints without talking to each other: what
//! they have to agree on, who runs a batch and who orders weights, goes through
//! the store.
//!
//! # Threads
//!
//! One. A gateway has a small part of a core, where threads only take turns and
//! each hand-over costs a wake-up of its own. All tasks run on one tokio
//! runtime, which hyper needs in any case; state is plain tables in cells that
//! no task holds across a wait. Timers and feeds wake it, nothing polls.
//!
//! # Layout
//!
//! * [`front`], [`request`], [`forward`], [`attempt`], [`respond`], [`answer`]: a
//!   request's way, from its caller to an endpoint and back.
//! * [`subject`]: what is the same in all repeats of a request.
//! * [`crashes`]: requests that crash endpoints, and their quarantine.
//! * [`resume`]: streams that go on at another endpoint.
//! * [`calls`]: the router, and the requests that wait for it.
//! * [`batches`]: batches of trainers. [`weights`]: what engines load.
//! * [`usage`]: what accounts use, and its reports.
//! * [`duty`]: who acts for all gateways.
//! * [`store`], [`failure`], [`sync`], [`known`], [`looks`]: the store, and what is known
//!   from it.
//! * [`peers`]: calls to the store that gateways carry out for each other.
//! * [`http`]: connections to endpoints and to the store.
//! * [`stopping`], [`ready`], [`boot`], [`times`]: planned stops, readiness, clocks.
//! * [`meters`], [`exposition`]: counters and latencies, and who fetches them.

mod answer;
mod attempt;
mod batches;
mod boot;
mod calls;
mod crashes;
mod duty;
mod exposition;
mod failure;
mod forward;
mod front;
mod http;
mod known;
mod looks;
pub mod meters;
mod peers;
mod ready;
mod request;
mod respond;
mod resume;
mod stopping;
mod store;
mod subject;
mod sync;
mod times;
mod usage;
mod weights;

use self::{
    attempt::Line,
    batches::Batches,
    calls::Calls,
    crashes::Crashes,
    duty::Duty,
    http::Channels,
    known::Known,
    looks::Looks,
    meters::Meters,
    peers::Directory,
    stopping::Stop,
    store::Store,
    sync::Members,
    times::Times,
    usage::{Reporter, Usage},
    weights::{Dependencies, Weights},
};
use crate::{
    logs::{self, PROCESS},
    settings::{Gateway as GatewaySettings, Settings},
};
use hibiscusroad::{Incarnation, usage::Windows};
use std::{
    io,
    path::Path,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime,
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
    time::{interval, timeout},
};

/// How often the settings file is looked at for a change without a signal.
const LOOK: Duration = Duration::from_secs(5);
/// How long giving up duties may take of a planned stop.
const LEAVING: Duration = Duration::from_millis(1_500);

/// All parts of a gateway.
struct Gateway {
    known: Rc<Known>,
    looks: Looks,
    line: Line,
    store: Rc<Store>,
    batches: Rc<Batches>,
    weights: Rc<Weights>,
    duty: Rc<Duty>,
    usage: Rc<Usage>,
    reporter: Option<Rc<Reporter>>,
    members: Rc<Members>,
    meters: Rc<Meters>,
    stop: Stop,
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Returns the system's error if it can't listen or catch signals.
pub fn run(settings: &Settings, gateway: &GatewaySettings, file: &Path) -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(settings, gateway, file))
}

async fn serve(settings: &Settings, own: &GatewaySettings, file: &Path) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let callers = TcpListener::bind(own.callers).await?;
    let ready = TcpListener::bind(own.ready).await?;
    let meters = Rc::new(Meters::new().map_err(io::Error::other)?);
    let metrics = match own.metrics {
        Some(address) => Some(TcpListener::bind(address).await?),
        None => None,
    };
    let peers = match own.peers {
        Some(address) => Some(TcpListener::bind(address).await?),
        None => None,
    };
    let gateway = assemble(settings, own, meters);
    spawn_local(logs::write_loop());
    spawn_local(reload(
        file.to_owned(),
        settings.clone(),
        Rc::clone(&gateway),
    ));
    follow(&gateway);
    let accepting = spawn_local(front::accept(Rc::clone(&gateway), callers));
    spawn_local(ready::serve(ready, {
        let gateway = Rc::clone(&gateway);
        move || request::readiness(&gateway)
    }));
    if let Some(peers) = peers {
        let batches = Rc::clone(&gateway.batches);
        let receive = move |batch| batches.receive(batch);
        spawn_local(peers::serve(peers, Rc::clone(&gateway.store), receive));
        let store = Rc::clone(&gateway.store);
        spawn_local(peers::poll_peers(
            store,
            gateway.batches.directory().clone(),
        ));
    }
    if let Some(metrics) = metrics {
        let gateway = Rc::clone(&gateway);
        spawn_local(ready::serve(metrics, move || gateway.exposition()));
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(target: PROCESS, deadline_s = settings.stop.deadline_s; "A planned stop begins.");
    gateway.stop.begin();
    let leaving = async {
        gateway.batches.leave().await;
        gateway.duty.leave().await;
    };
    if timeout(LEAVING, leaving).await.is_err() {
        log::warn!(target: PROCESS, "Duties could not be given back; they lapse.");
    }
    let grace = Duration::from_secs(settings.stop.deadline_s);
    gateway.stop.carry_out(grace).await;
    accepting.abort();
    gateway.usage.flush().await;
    logs::flush_now();
    Ok(())
}

fn assemble(settings: &Settings, own: &GatewaySettings, counts: Rc<Meters>) -> Rc<Gateway> {
    let incarnation = Incarnation::draw();
    let holder = format!("{}/{incarnation}", settings.name);
    let known = Rc::new(Known::new(own.trust_ms.map(Duration::from_millis)));
    let store = Rc::new(Store::new(own.store, Rc::clone(&counts)));
    let calls = Rc::new(Calls::new(&settings.data_centre, incarnation));
    let channels = Rc::new(Channels::new());
    let windows = own.usage.as_ref().map(|usage| {
        let length = Duration::from_secs(usage.window_s);
        Windows::new(length)
    });
    let times = Times::new(Rc::clone(&store));
    let usage = Rc::new(Usage::new(
        &holder,
        windows,
        Rc::clone(&store),
        times.clone(),
    ));
    let crashes = Rc::new(Crashes::new(
        own.crash_limit,
        Duration::from_secs(own.quarantine_s),
        Rc::clone(&store),
        Rc::clone(&counts),
    ));
    let line = Line {
        crashes,
        calls: Rc::clone(&calls),
        channels: Rc::clone(&channels),
        meters: Rc::clone(&counts),
        usage: Rc::clone(&usage),
    };
    Rc::new_cyclic(|gateway: &Weak<Gateway>| {
        let hearer = Weak::clone(gateway);
        let members = Rc::new(Members::new(Rc::clone(&counts), move |news| {
            if let Some(gateway) = hearer.upgrade() {
                gateway.line.calls.roster(news);
                gateway.line.crashes.apply_roster(news);
                gateway.batches.roster(news);
                gateway.weights.apply_roster(news);
            }
        }));
        let directory = Directory {
            name: settings.name.clone(),
            address: own.peers,
            times: times.clone(),
        };
        let batches = Rc::new(Batches::new(
            directory,
            &holder,
            own,
            Rc::clone(&store),
            line.clone(),
            Rc::clone(&members),
            Rc::clone(&known),
        ));
        let duty = Duty::new(
            &holder,
            own.lease_ms,
            Rc::clone(&store),
            Rc::clone(&batches),
        );
        let duty = Rc::new(duty);
        let reporter = own.usage.as_ref().map(|usage| {
            Rc::new(Reporter::new(
                &settings.name,
                usage,
                Rc::clone(&duty),
                Rc::clone(&store),
                times.clone(),
                Rc::clone(&known),
                Rc::clone(&counts),
            ))
        });
        let dependencies = Dependencies {
            duty: Rc::clone(&duty),
            store: Rc::clone(&store),
            known: Rc::clone(&known),
            members: Rc::clone(&members),
            batches: Rc::clone(&batches),
            channels,
            meters: Rc::clone(&counts),
        };
        let weights = Rc::new(Weights::new(own.fences, dependencies));
        let looks = Looks::new(Rc::clone(&store), Rc::clone(&known), calls);
        Gateway {
            known,
            looks,
            line,
            store,
            batches,
            weights,
            duty,
            usage,
            reporter,
            members,
            meters: counts,
            stop: Stop::new(),
        }
    })
}

/// Starts the tasks that keep a gateway up to date and carry out its duties.
fn follow(gateway: &Rc<Gateway>) {
    let Gateway {
        known,
        line,
        store,
        batches,
        weights,
        duty,
        usage,
        reporter,
        members,
        ..
    } = &**gateway;
    store.on_return({
        let members = Rc::clone(members);
        move || members.store_back()
    });
    let wake = {
        let weights = Rc::clone(weights);
        move || weights.wake()
    };
    let sinks = [
        sync::operator(Rc::clone(known), Rc::clone(&line.calls), wake),
        sync::endpoints(Rc::clone(members), {
            let crashes = Rc::clone(&line.crashes);
            move || crashes.confirm_roster()
        }),
        batches::sink(Rc::clone(batches)),
        crashes::sink(Rc::clone(&line.crashes)),
    ];
    for sink in sinks {
        spawn_local(sync::follow(Rc::clone(store), sink));
    }
    let (calls, lapsing) = (Rc::clone(&line.calls), Rc::clone(members));
    let probing = Rc::clone(store);
    spawn_local(async move { probing.probe().await });
    spawn_local(async move { calls.run().await });
    spawn_local(async move { lapsing.run().await });
    spawn_local(Rc::clone(batches).renew_heartbeat());
    spawn_local(Rc::clone(batches).watch_owners());
    spawn_local(Rc::clone(batches).dispatch());
    spawn_local(Rc::clone(batches).sweep());
    spawn_local(Rc::clone(batches).share_paces());
    spawn_local(Rc::clone(weights).run());
    spawn_local(Rc::clone(usage).run_writer());
    spawn_local(Rc::clone(&line.crashes).run_writer());
    spawn_local(Rc::clone(&line.crashes).run_expiry());
    if let Some(reporter) = reporter {
        let back = Rc::clone(reporter);
        store.on_return(move || back.record_store_return());
        spawn_local(Rc::clone(reporter).run());
    }
    let (weights, reporter) = (Rc::clone(weights), reporter.clone());
    let needed = move || {
        weights.is_needed()
            || reporter
                .as_ref()
                .is_some_and(|reporter| reporter.is_needed())
    };
    spawn_local(Rc::clone(duty).run(needed));
}

/// Reads the settings again when a signal says that they changed, or they did.
async fn reload(file: std::path::PathBuf, mut settings: Settings, gateway: Rc<Gateway>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!(target: PROCESS, "Signals of changed settings can't be caught.");
        return;
    };
    let mut looks = interval(LOOK);
    loop {
        let told = tokio::select! {
            _ = hangup.recv() => true,
            _ = looks.tick() => false,
        };
        match Settings::load(&file) {
            Ok(new) if new != settings => {
                apply(&settings, &new, &gateway);
                settings = new;
            }
            Ok(_) if told => log::info!(target: PROCESS, "The settings are read again: no change."),
            Ok(_) => {}
            Err(error) => log::error!(target: PROCESS, error = error.to_string().as_str();
                "Changed settings are broken; those before stay in force."),
        }
    }
}

fn apply(old: &Settings, new: &Settings, gateway: &Gateway) {
    let (Some(before), Some(own)) = (&old.gateway, &new.gateway) else {
        log::error!(target: PROCESS, "The role can't change while the process runs.");
        return;
    };
    gateway.store.set_address(own.store);
    let bound = before.callers != own.callers || before.ready != own.ready;
    log::info!(target: PROCESS, store = own.store.to_string().as_str(), restart = bound;
        "Changed settings are in force; what listens changes with a restart.");
}
