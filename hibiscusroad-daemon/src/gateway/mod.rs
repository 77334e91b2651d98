//! The gateway role: forwards callers' requests to endpoints and keeps durable state
//! in the platform's store.
//!
//! A gateway is for deployments whose endpoints can be called directly and report
//! whether a request ran, so there is no sidecar. Several gateways share the
//! endpoints. They agree on who runs a batch and who orders weights through the
//! store; directly, they only relay store calls and hand over batches.
//!
//! # Threads
//!
//! A gateway has a fraction of a core, so it uses a single thread: more would only
//! add context switches. All tasks run on one tokio runtime. State is in cells that
//! no task borrows across an await point.
//!
//! # Layout
//!
//! * [`front`], [`request`], [`forward`], [`attempt`], [`respond`], [`answer`]: the
//!   path of a request from its caller to an endpoint and back.
//! * [`message`]: the head and the content of a request.
//! * [`subject`]: the parts of a request that identify it across repeats.
//! * [`cold`]: limits on what is sent to cold endpoints.
//! * [`crashes`]: requests that crash endpoints, and their quarantine.
//! * [`resume`]: streams that are resumed at another endpoint.
//! * [`calls`]: the router and the requests that wait for it. [`accounts`]: client accounts in
//!   its queues. [`account_meters`]: their log lines and metrics. [`regions`]: those of regions.
//!   [`line_limit`]: limits of log lines.
//! * [`batches`]: batches of trainers. [`weights`]: the weights that engines load.
//! * [`usage`]: the usage of client accounts and its reports.
//! * [`evacuation`]: evacuations of data centres. [`data_centres`]: the requests that run in them.
//! * [`destinations`]: the endpoints that requests may be sent to.
//! * [`duty`]: the lease of the gateway that acts for all. [`lease_row`]: the rows of leases.
//! * [`store`], [`failure`], [`sync`], [`known_config`], [`refresh`]: the store's client and the
//!   state that follows its tables.
//! * [`peers`]: calls to the store that gateways relay for each other.
//! * [`http`]: connections to endpoints and to the store.
//! * [`stopping`], [`ready`], [`boot`], [`times`]: planned stops, readiness, clocks.
//! * [`meters`], [`exposition`]: metrics and their exposition.

mod account_meters;
mod accounts;
mod answer;
mod arriving_body;
mod attempt;
mod batches;
mod boot;
mod calls;
mod cold;
mod crashes;
mod data_centres;
mod destinations;
mod duty;
mod engine_calls;
mod evacuation;
mod exposition;
mod failure;
mod forward;
mod front;
mod http;
mod known_config;
mod lease_row;
mod line_limit;
mod message;
pub mod meters;
mod on_panic;
mod pauses;
mod peers;
mod ready;
mod refresh;
mod regions;
mod request;
mod respond;
mod resume;
mod stopping;
mod store;
mod subject;
mod sync;
mod tasks;
mod times;
mod usage;
mod weights;

use self::{
    attempt::AttemptContext,
    batches::Batches,
    calls::Calls,
    cold::Cold,
    crashes::Crashes,
    data_centres::DataCentres,
    destinations::Destinations,
    duty::Duty,
    http::ConnectionPool,
    known_config::KnownConfig,
    meters::Meters,
    peers::Directory,
    refresh::CatalogRefresher,
    stopping::Stop,
    store::Store,
    sync::EndpointRoster,
    times::Times,
    usage::{Reporter, Usage},
    weights::{Dependencies, Weights},
};
use crate::{
    logs::{self, PROCESS},
    settings::{Gateway as GatewaySettings, Settings},
};
use hibiscusroad::{Incarnation, roster::EndpointChange, usage::Windows};
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

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of handing over batches and releasing the lease in a planned stop.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The parts of a gateway.
struct Gateway {
    known: Rc<KnownConfig>,
    refresher: CatalogRefresher,
    context: AttemptContext,
    store: Rc<Store>,
    batches: Rc<Batches>,
    weights: Rc<Weights>,
    duty: Rc<Duty>,
    usage: Rc<Usage>,
    reporter: Option<Rc<Reporter>>,
    members: Rc<EndpointRoster>,
    meters: Rc<Meters>,
    stop: Stop,
}

impl Gateway {
    /// Passes on changes of the roster.
    fn apply_roster(&self, changes: &[EndpointChange]) {
        let AttemptContext {
            calls,
            crashes,
            cold,
            destinations,
            ..
        } = &self.context;
        destinations.apply_roster(changes);
        // Before calls and items are sent to endpoints that are new.
        cold.apply_roster(changes);
        calls.apply_roster(changes);
        crashes.apply_roster(changes);
        self.batches.roster(changes);
        cold.publish(|admissions| {
            self.batches.set_admissions(admissions);
            calls.set_admissions(admissions);
        });
        self.weights.apply_roster(changes);
    }
}

/// Runs a gateway until it receives a termination signal.
///
/// # Errors
///
/// Returns the system's error if it can't listen or catch signals.
pub fn run(settings: &Settings, gateway: &GatewaySettings, file: &Path) -> io::Result<()> {
    logs::log_panics();
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
    tasks::spawn(&gateway);
    let accepting = spawn_local(front::accept(Rc::clone(&gateway), callers));
    spawn_local(ready::serve(ready, {
        let gateway = Rc::clone(&gateway);
        move || request::readiness(&gateway)
    }));
    if let Some(peers) = peers {
        let batches = Rc::clone(&gateway.batches);
        let receive = move |batch| batches.receive(batch);
        spawn_local(peers::serve(peers, Rc::clone(&gateway.store), receive));
    }
    spawn_local(Rc::clone(&gateway.batches).follow_members());
    if let Some(metrics) = metrics {
        let gateway = Rc::clone(&gateway);
        spawn_local(ready::serve(metrics, move || gateway.exposition()));
    }
    // Further signals are ignored: an operator's tool may repeat a restart that is under way, and
    // the requests in flight have the whole grace period. The platform kills a process after it.
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(target: PROCESS, deadline_s = settings.stop.deadline_s; "A planned stop begins.");
    gateway.stop.begin();
    let handover = async {
        gateway.context.cold.release().await;
        gateway.batches.leave().await;
        gateway.duty.release().await;
    };
    if timeout(HANDOVER_TIMEOUT, handover).await.is_err() {
        log::warn!(target: PROCESS, "Handing over the duties timed out; their leases expire.");
    }
    let grace = Duration::from_secs(settings.stop.deadline_s);
    gateway.stop.run_phases(grace).await;
    accepting.abort();
    gateway.usage.flush().await;
    logs::flush_now();
    Ok(())
}

fn assemble(settings: &Settings, own: &GatewaySettings, meters: Rc<Meters>) -> Rc<Gateway> {
    let incarnation = Incarnation::draw();
    let holder = format!("{}/{incarnation}", settings.name);
    let known = Rc::new(KnownConfig::new(own.trust_ms.map(Duration::from_millis)));
    let store = Rc::new(Store::new(own.store, Rc::clone(&meters)));
    let cold = Rc::new(Cold::new(&holder, own, &store, &meters));
    let calls = Rc::new(Calls::new(
        settings.topology(),
        incarnation,
        own.contention(),
        own.account_share,
        Rc::clone(&cold),
    ));
    let pool = Rc::new(ConnectionPool::new());
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
    let crashes = new_crashes(own, Rc::clone(&store), Rc::clone(&meters));
    let data_centres = Rc::new(DataCentres::new());
    let context = AttemptContext {
        crashes,
        destinations: Rc::new(Destinations::new(Rc::clone(&data_centres))),
        calls: Rc::clone(&calls),
        pool: Rc::clone(&pool),
        meters: Rc::clone(&meters),
        usage: Rc::clone(&usage),
        cold,
    };
    Rc::new_cyclic(|gateway: &Weak<Gateway>| {
        let members = new_roster(gateway, Rc::clone(&meters), data_centres);
        let directory = Directory::new(settings, own.peers, times.clone());
        let batches = Rc::new(Batches::new(
            directory,
            &holder,
            own,
            Rc::clone(&store),
            context.clone(),
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
                Rc::clone(&meters),
            ))
        });
        let dependencies = Dependencies {
            duty: Rc::clone(&duty),
            store: Rc::clone(&store),
            known: Rc::clone(&known),
            members: Rc::clone(&members),
            batches: Rc::clone(&batches),
            pool,
            destinations: Rc::clone(&context.destinations),
            meters: Rc::clone(&meters),
        };
        let weights = Rc::new(Weights::new(own.fences, dependencies));
        let refresher = CatalogRefresher::new(
            Rc::clone(&store),
            Rc::clone(&known),
            calls,
            Rc::clone(&members),
        );
        Gateway {
            known,
            refresher,
            context,
            store,
            batches,
            weights,
            duty,
            usage,
            reporter,
            members,
            meters,
            stop: Stop::new(),
        }
    })
}

fn new_crashes(own: &GatewaySettings, store: Rc<Store>, meters: Rc<Meters>) -> Rc<Crashes> {
    let quarantine = Duration::from_secs(own.quarantine_s);
    Rc::new(Crashes::new(own.crash_limit, quarantine, store, meters))
}

/// Creates the roster, whose changes reach all senders of requests to endpoints.
fn new_roster(
    gateway: &Weak<Gateway>,
    meters: Rc<Meters>,
    data_centres: Rc<DataCentres>,
) -> Rc<EndpointRoster> {
    let listener = Weak::clone(gateway);
    let on_change = move |changes: &[EndpointChange]| {
        if let Some(gateway) = listener.upgrade() {
            gateway.apply_roster(changes);
        }
    };
    Rc::new(EndpointRoster::new(meters, data_centres, on_change))
}

/// Reloads the settings on `SIGHUP` and when the file has changed.
async fn reload(file: std::path::PathBuf, mut settings: Settings, gateway: Rc<Gateway>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!(target: PROCESS, "Catching SIGHUP failed; changed settings are not read.");
        return;
    };
    let mut poll = interval(SETTINGS_POLL_INTERVAL);
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            _ = poll.tick() => false,
        };
        match Settings::load(&file) {
            Ok(new) if new != settings => {
                apply(&settings, &new, &gateway);
                settings = new;
            }
            Ok(_) if is_signalled => {
                log::info!(target: PROCESS, "The settings were reloaded without changes.");
            }
            Ok(_) => {}
            Err(error) => log::error!(target: PROCESS, error = error.to_string().as_str();
                "Changed settings are broken; the previous ones stay in force."),
        }
    }
}

fn apply(old: &Settings, new: &Settings, gateway: &Gateway) {
    let (Some(before), Some(own)) = (&old.gateway, &new.gateway) else {
        log::error!(target: PROCESS, "The role can't change while the process runs.");
        return;
    };
    gateway.store.set_address(own.store);
    let needs_restart = before.callers != own.callers
        || before.ready != own.ready
        || old.topology() != new.topology();
    log::info!(target: PROCESS, store = own.store.to_string().as_str(), restart = needs_restart;
        "Changed settings are in force; listening addresses and regions need a restart.");
}
