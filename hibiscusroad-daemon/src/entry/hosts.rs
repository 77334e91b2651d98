//! Adds and updates sidecars by the platform's host list.
//!
//! The list lags behind the processes. A sidecar that it no longer names may still
//! serve, so it is kept until its connection is lost too. One that it names may
//! have exited, which its connection shows. Only "leaving" takes effect at once,
//! because sending no work to a host that stays is harmless.

use crate::{
    entry::{
        event::Event,
        side::{Listing, Side, SideKey},
        tables::Tables,
    },
    platform::{Budget, Host, HostList, HostState},
};
use flume::Sender;
use hibiscusroad::{
    route::EndpointSpec,
    subset::{Candidate, choose},
};
use std::{
    collections::BTreeMap,
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time between two fetches of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two fetches until the first succeeds.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the thread that polls the host list.
///
/// # Errors
///
/// Returns the system's error if the thread can't be spawned.
pub fn watch(list: HostList, budget: Arc<Budget>, events: Sender<Event>) -> io::Result<()> {
    thread::Builder::new()
        .name("hosts".to_owned())
        .spawn(move || poll(&list, &budget, &events))?;
    Ok(())
}

fn poll(list: &HostList, budget: &Budget, events: &Sender<Event>) {
    let mut interval = INITIAL_POLL_INTERVAL;
    loop {
        match list.fetch() {
            Ok(hosts) => {
                interval = POLL_INTERVAL;
                budget.set_processes(hosts.iter().filter(|host| host.role == "entry").count());
                if events.send(Event::Hosts(hosts)).is_err() {
                    return;
                }
            }
            Err(e) => log::warn!(target: "hosts", "The host list can't be fetched: {e}."),
        }
        thread::sleep(interval);
    }
}

impl Tables {
    /// Applies a new host list.
    pub(super) fn apply_hosts(&mut self, now: Instant, hosts: Vec<Host>) {
        self.update_sides(now, &hosts);
        self.hosts = hosts;
        self.hosts_received = Some(now);
    }

    fn update_sides(&mut self, now: Instant, hosts: &[Host]) {
        for side in self.sides.values_mut() {
            if side.listing == Listing::Listed {
                side.listing = Listing::Unlisted;
            }
        }
        let mut services: BTreeMap<&str, Vec<&Host>> = BTreeMap::new();
        for host in hosts.iter().filter(|host| host.role == "side") {
            services.entry(&host.service).or_default().push(host);
        }
        for (service, sides) in services {
            self.ensure_service(now, service);
            self.service_hosts(now, &sides);
        }
    }

    fn service_hosts(&mut self, now: Instant, hosts: &[&Host]) {
        let candidates: Vec<Candidate<'_>> = hosts
            .iter()
            .map(|host| Candidate {
                name: &host.endpoint,
                data_centre: &host.data_centre,
            })
            .collect();
        for i in choose(&self.name, &self.data_centre, &candidates, self.subset) {
            let host = hosts[i];
            match self.find_side(&host.service, &host.endpoint) {
                Some(key) => self.update_listed(now, key, host),
                None => self.add_side(now, host),
            }
        }
    }

    pub(super) fn find_side(&self, service: &str, name: &str) -> Option<SideKey> {
        let mut sides = self.sides.iter();
        sides
            .find(|(_, side)| side.name == name && side.service == service)
            .map(|(key, _)| key)
    }

    fn update_listed(&mut self, now: Instant, key: SideKey, host: &Host) {
        let side = &mut self.sides[key];
        side.listing = Listing::Listed;
        side.leaving.listed = host.state == HostState::Leaving;
        if side.address != host.address && side.link.is_none() {
            // Its host was replaced. While it is connected, the list is outdated.
            side.address = host.address;
            side.opening = None;
            side.next_connect = now;
        }
        self.update_accepting(now, key);
    }

    pub(super) fn add_side(&mut self, now: Instant, host: &Host) {
        let Some(service) = self.router.service(&host.service) else {
            return;
        };
        let spec = EndpointSpec::new(&host.endpoint, &host.data_centre);
        let endpoint = self.router.add_endpoint(now, service, spec);
        let mut side = Side::new(host, endpoint, now);
        side.leaving.listed = host.state == HostState::Leaving;
        let key = self.sides.insert(side);
        self.endpoints.insert(endpoint, key);
        self.update_accepting(now, key);
    }

    /// Removes a sidecar and fails its attempts.
    pub(super) fn remove_side(&mut self, now: Instant, key: SideKey) {
        let attempts: Vec<_> = self.sides[key].attempts.iter().copied().collect();
        for id in attempts {
            self.fail_lost(now, id);
        }
        if let Some(side) = self.sides.remove(key) {
            log::info!(target: "hosts", "{} is removed.", side.name);
            self.endpoints.remove(&side.endpoint);
            self.router.remove_endpoint(now, side.endpoint);
        }
    }
}
