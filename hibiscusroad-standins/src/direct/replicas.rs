//! Replicas of one service that crash on some requests and restart.
//!
//! Each restart is a new incarnation with a new id at the same address. The row of the
//! crashed incarnation stays in the store for a while, like a row that expires because it
//! is no longer renewed.

use super::{Crash, Endpoint, ExecutedRequest, Store};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How replicas restart.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// How long a crashed replica stays down.
    pub downtime: Duration,
    /// How long the row of a crashed replica stays in the store.
    pub row_lifetime: Duration,
    /// How long a request runs.
    pub work_duration: Duration,
}

impl Default for Restart {
    fn default() -> Self {
        Self {
            downtime: Duration::from_millis(1_200),
            row_lifetime: Duration::from_secs(2),
            work_duration: Duration::from_millis(30),
        }
    }
}

struct ReplicaSpec {
    store: Arc<Store>,
    service: String,
    models: Vec<String>,
    crash: Crash,
    restart: Restart,
}

impl ReplicaSpec {
    fn start(&self, listen: SocketAddr, id: &str) -> io::Result<Endpoint> {
        let models: Vec<&str> = self.models.iter().map(String::as_str).collect();
        let endpoint = Endpoint::start_at(listen, &self.store, &self.service, id, &models)?;
        endpoint.set_work_duration(self.restart.work_duration);
        endpoint.crash_on(self.crash.clone());
        Ok(endpoint)
    }
}

struct Slot {
    name: String,
    endpoint: Endpoint,
    incarnation: usize,
    /// When it crashed, and whether its row is still in the store.
    crashed: Option<(Instant, bool)>,
}

#[derive(Default)]
struct State {
    slots: Vec<Slot>,
    /// Requests of earlier incarnations.
    past_runs: Vec<ExecutedRequest>,
    crash_count: usize,
    /// Whether no request crashes replicas any more.
    is_sound: bool,
}

/// The replicas of a service.
pub struct Replicas {
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Replicas {
    /// Starts one replica of a service for each name.
    ///
    /// A replica's id is its name and the number of its incarnation.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if a replica can't listen.
    pub fn start(
        store: &Arc<Store>,
        service: &str,
        models: &[&str],
        names: &[&str],
        crash: Crash,
        restart: Restart,
    ) -> io::Result<Self> {
        let spec = ReplicaSpec {
            store: Arc::clone(store),
            service: service.to_owned(),
            models: models.iter().map(|model| (*model).to_owned()).collect(),
            crash,
            restart,
        };
        let mut state = State::default();
        for name in names {
            state.slots.push(Slot {
                name: (*name).to_owned(),
                endpoint: spec.start(crate::http::ANY_LOOPBACK_PORT, &format!("{name}-0"))?,
                incarnation: 0,
                crashed: None,
            });
        }
        let (state, stopped) = (
            Arc::new(Mutex::new(state)),
            Arc::new(AtomicBool::new(false)),
        );
        let (shared, stop) = (Arc::clone(&state), Arc::clone(&stopped));
        thread::Builder::new()
            .name("replicas".to_owned())
            .spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    thread::sleep(POLL_INTERVAL);
                    lock(&shared).poll(Instant::now(), &spec);
                }
            })?;
        Ok(Self { state, stopped })
    }

    /// Returns the requests that all incarnations started to run.
    #[must_use]
    pub fn runs(&self) -> Vec<ExecutedRequest> {
        let state = lock(&self.state);
        let current = state.slots.iter().flat_map(|slot| slot.endpoint.runs());
        state.past_runs.iter().cloned().chain(current).collect()
    }

    /// Returns how many crashes there were.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        lock(&self.state).crash_count
    }

    /// Makes all incarnations, later ones too, run requests that crashed them before.
    pub fn end_crashes(&self) {
        let mut state = lock(&self.state);
        state.is_sound = true;
        for slot in &state.slots {
            slot.endpoint.end_crashes();
        }
    }

    /// Returns whether all replicas are up.
    #[must_use]
    pub fn are_up(&self) -> bool {
        lock(&self.state)
            .slots
            .iter()
            .all(|slot| slot.crashed.is_none())
    }
}

impl Drop for Replicas {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
    }
}

impl State {
    fn poll(&mut self, now: Instant, spec: &ReplicaSpec) {
        for slot in &mut self.slots {
            let (since, listed) = match slot.crashed {
                Some(crashed) => crashed,
                None if slot.endpoint.is_down() => {
                    self.crash_count += 1;
                    (now, true)
                }
                None => continue,
            };
            slot.crashed = Some((since, listed));
            if listed && now >= since + spec.restart.row_lifetime {
                spec.store.remove("servers", slot.endpoint.id());
                slot.crashed = Some((since, false));
            }
            if now >= since + spec.restart.downtime {
                slot.endpoint.stop();
                let id = format!("{}-{}", slot.name, slot.incarnation + 1);
                // The old listener may still hold the address; the next poll tries again.
                let Ok(next) = spec.start(slot.endpoint.addr(), &id) else {
                    continue;
                };
                if self.is_sound {
                    next.end_crashes();
                }
                let previous = std::mem::replace(&mut slot.endpoint, next);
                spec.store.remove("servers", previous.id());
                self.past_runs.extend(previous.runs());
                slot.incarnation += 1;
                slot.crashed = None;
            }
        }
    }
}

impl std::fmt::Debug for Replicas {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Replicas").finish_non_exhaustive()
    }
}
