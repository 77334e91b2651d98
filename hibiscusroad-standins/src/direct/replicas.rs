//! Endpoints of one service that end under some requests and start again.
//!
//! Each start is another life under a new id at the same address. The entry of a life
//! that has ended stays in the store for a while, as it does where it lapses for want of
//! renewals.

use super::{Crash, Endpoint, Ran, Store};
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

const LOOK: Duration = Duration::from_millis(10);

/// How endpoints come back.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// For how long one that has ended is down.
    pub down: Duration,
    /// How long its entry stays in the store.
    pub lapse: Duration,
    /// How long a request is worked on.
    pub work: Duration,
}

impl Default for Restart {
    fn default() -> Self {
        Self {
            down: Duration::from_millis(1_200),
            lapse: Duration::from_secs(2),
            work: Duration::from_millis(30),
        }
    }
}

struct Spec {
    store: Arc<Store>,
    service: String,
    models: Vec<String>,
    crash: Crash,
    restart: Restart,
}

impl Spec {
    fn start(&self, listen: SocketAddr, id: &str) -> io::Result<Endpoint> {
        let models: Vec<&str> = self.models.iter().map(String::as_str).collect();
        let endpoint = Endpoint::start_at(listen, &self.store, &self.service, id, &models)?;
        endpoint.work(self.restart.work);
        endpoint.crash_on(self.crash.clone());
        Ok(endpoint)
    }
}

struct Slot {
    name: String,
    endpoint: Endpoint,
    life: usize,
    /// When it ended, and whether its entry is still there.
    ended: Option<(Instant, bool)>,
}

#[derive(Default)]
struct Lives {
    slots: Vec<Slot>,
    /// What earlier lives ran.
    past: Vec<Ran>,
    ends: usize,
}

/// The replicas of a service.
pub struct Replicas {
    lives: Arc<Mutex<Lives>>,
    over: Arc<AtomicBool>,
}

fn lock(lives: &Mutex<Lives>) -> MutexGuard<'_, Lives> {
    lives.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Replicas {
    /// Starts replicas of a service, which are known by these names and a number.
    ///
    /// # Errors
    ///
    /// Returns the system's error if one can't listen.
    pub fn start(
        store: &Arc<Store>,
        service: &str,
        models: &[&str],
        names: &[&str],
        crash: Crash,
        restart: Restart,
    ) -> io::Result<Self> {
        let spec = Spec {
            store: Arc::clone(store),
            service: service.to_owned(),
            models: models.iter().map(|model| (*model).to_owned()).collect(),
            crash,
            restart,
        };
        let mut lives = Lives::default();
        for name in names {
            lives.slots.push(Slot {
                name: (*name).to_owned(),
                endpoint: spec.start(crate::http::FREE, &format!("{name}-0"))?,
                life: 0,
                ended: None,
            });
        }
        let (lives, over) = (
            Arc::new(Mutex::new(lives)),
            Arc::new(AtomicBool::new(false)),
        );
        let (kept, ended) = (Arc::clone(&lives), Arc::clone(&over));
        thread::Builder::new()
            .name("replicas".to_owned())
            .spawn(move || {
                while !ended.load(Ordering::Acquire) {
                    thread::sleep(LOOK);
                    lock(&kept).look(Instant::now(), &spec);
                }
            })?;
        Ok(Self { lives, over })
    }

    /// Returns what all lives ran.
    #[must_use]
    pub fn ran(&self) -> Vec<Ran> {
        let lives = lock(&self.lives);
        let now = lives.slots.iter().flat_map(|slot| slot.endpoint.ran());
        lives.past.iter().cloned().chain(now).collect()
    }

    /// Returns how often one has ended.
    #[must_use]
    pub fn ends(&self) -> usize {
        lock(&self.lives).ends
    }

    /// Says whether all are up.
    #[must_use]
    pub fn are_up(&self) -> bool {
        lock(&self.lives)
            .slots
            .iter()
            .all(|slot| slot.ended.is_none())
    }
}

impl Drop for Replicas {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
    }
}

impl Lives {
    fn look(&mut self, now: Instant, spec: &Spec) {
        for slot in &mut self.slots {
            let (since, listed) = match slot.ended {
                Some(ended) => ended,
                None if slot.endpoint.is_down() => {
                    self.ends += 1;
                    (now, true)
                }
                None => continue,
            };
            slot.ended = Some((since, listed));
            if listed && now >= since + spec.restart.lapse {
                spec.store.remove("servers", slot.endpoint.id());
                slot.ended = Some((since, false));
            }
            if now >= since + spec.restart.down {
                slot.endpoint.stop();
                let id = format!("{}-{}", slot.name, slot.life + 1);
                // The address may be taken for another moment.
                let Ok(next) = spec.start(slot.endpoint.addr(), &id) else {
                    continue;
                };
                let before = std::mem::replace(&mut slot.endpoint, next);
                spec.store.remove("servers", before.id());
                self.past.extend(before.ran());
                slot.life += 1;
                slot.ended = None;
            }
        }
    }
}

impl std::fmt::Debug for Replicas {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Replicas").finish_non_exhaustive()
    }
}
