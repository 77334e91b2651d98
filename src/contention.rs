//! The switch for decisions that matter only where callers or trainers compete for room.
//!
//! Where endpoints have room for all, fair shares and placement by expected end cost more
//! moves and loads than they gain. They take effect for a service only if an operator asks
//! for them, the platform declares that callers crowd, or endpoints report that they share
//! their hosts with others, so that their capacity changes from moment to moment.

use serde::Deserialize;

/// What the settings say about contention.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// On for a service if it is declared or observed.
    #[default]
    Auto,
    /// On for all services.
    On,
    /// Off for all services.
    Off,
}

/// Decides for which services contention is expected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Contention {
    mode: Mode,
    /// Whether the platform declares that callers crowd.
    is_declared: bool,
}

impl Contention {
    /// Creates a switch from the settings and what the platform declares.
    #[must_use]
    pub const fn new(mode: Mode, is_declared: bool) -> Self {
        Self { mode, is_declared }
    }

    /// Returns whether contention is expected for a service. `shares_hosts` tells whether any
    /// of its endpoints has reported how slow its host is at the moment.
    #[must_use]
    pub const fn is_expected(self, shares_hosts: bool) -> bool {
        match self.mode {
            Mode::Auto => self.is_declared || shares_hosts,
            Mode::On => true,
            Mode::Off => false,
        }
    }
}
