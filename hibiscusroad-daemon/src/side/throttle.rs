//! Holds a call back while its answer is not acknowledged, or ends it.

use std::{
    mem,
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
};

/// Chunks of one answer on their way to the actor at once.
///
/// With it a pause takes effect after a known number of bytes, although the
/// reading goes on while the decision is made.
pub const CREDITS: usize = 8;

/// Joins a worker and the actor for the length of one call.
#[derive(Debug, Default)]
pub struct Throttle {
    state: Mutex<State>,
    turned: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Chunks that the actor has not taken yet.
    pending: usize,
    paused: bool,
    aborted: bool,
    /// The client whose sockets an abort shuts.
    agent: Option<ureq::Agent>,
}

impl Throttle {
    /// Waits until a chunk may be read; returns false if the call is aborted.
    pub fn take(&self) -> bool {
        let mut state = self.lock();
        while !state.aborted && (state.paused || state.pending >= CREDITS) {
            state = self
                .turned
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.pending += 1;
        !state.aborted
    }

    /// Notes that the actor took a chunk.
    pub fn put(&self) {
        self.change(|state| state.pending = state.pending.saturating_sub(1));
    }

    /// Stops the reading, or lets it go on.
    pub fn pause(&self, paused: bool) {
        self.change(|state| state.paused = paused);
    }

    /// Names the client of the call; returns false if the call is aborted.
    pub fn hold(&self, agent: &ureq::Agent) -> bool {
        let mut state = self.lock();
        state.agent = Some(agent.clone());
        !state.aborted
    }

    /// Ends the call, also one that is blocked in a read.
    pub fn abort(&self) {
        let mut agent = None;
        self.change(|state| {
            state.aborted = true;
            agent = mem::take(&mut state.agent);
        });
        if let Some(agent) = agent {
            agent.shutdown();
        }
    }

    /// Lets go of the client at the end of the call; returns true if the call
    /// was aborted, and the client with it.
    pub fn release(&self) -> bool {
        let mut state = self.lock();
        state.agent = None;
        state.aborted
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.turned.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
