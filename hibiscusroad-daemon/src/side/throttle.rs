//! Flow control between a worker that reads an answer and the actor.

use std::{
    mem,
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
};

/// Maximum number of chunks of one answer that the actor has not processed yet.
///
/// It bounds the bytes that are still read before a pause takes effect.
pub const MAX_PENDING: usize = 8;

/// Pauses or aborts one call; shared by its worker and the actor.
#[derive(Debug, Default)]
pub struct Throttle {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Chunks sent that the actor has not processed yet.
    pending: usize,
    paused: bool,
    aborted: bool,
    /// The client whose sockets an abort shuts down.
    agent: Option<ureq::Agent>,
}

impl Throttle {
    /// Waits until a chunk may be read. Returns false if the call is aborted.
    pub fn acquire(&self) -> bool {
        let mut state = self.lock();
        while !state.aborted && (state.paused || state.pending >= MAX_PENDING) {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.pending += 1;
        !state.aborted
    }

    /// Records that the actor processed a chunk.
    pub fn release(&self) {
        self.update(|state| state.pending = state.pending.saturating_sub(1));
    }

    /// Pauses or resumes reading the answer.
    pub fn set_paused(&self, paused: bool) {
        self.update(|state| state.paused = paused);
    }

    /// Sets the client of the call. Returns false if the call is aborted.
    pub fn attach_agent(&self, agent: &ureq::Agent) -> bool {
        let mut state = self.lock();
        state.agent = Some(agent.clone());
        !state.aborted
    }

    /// Aborts the call, even if its worker is blocked in a read.
    pub fn abort(&self) {
        let mut agent = None;
        self.update(|state| {
            state.aborted = true;
            agent = mem::take(&mut state.agent);
        });
        if let Some(agent) = agent {
            agent.shutdown();
        }
    }

    /// Removes the client at the end of the call. Returns true if the call was
    /// aborted, which makes the client unusable.
    pub fn detach_agent(&self) -> bool {
        let mut state = self.lock();
        state.agent = None;
        state.aborted
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
