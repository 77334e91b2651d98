//! Retry budget of a service.
//!
//! Retries and hedges add load when there is too much already. Each first attempt
//! earns a share of a retry and each retry spends a whole one, which bounds the
//! extra load to that share.

/// Budget that each first attempt earns: endpoints do at most 1.1 times the work that is
/// answered.
const EARNED_PER_CALL: f64 = 0.1;
/// Initial and maximum balance. It lets a service with few calls retry those of a
/// lost endpoint.
const MAX_BALANCE: f64 = 20.0;
/// Cost of running a call again.
pub(super) const RERUN_COST: f64 = 1.0;
/// Cost of resending a call that surely did not run. It is lower as no work is
/// repeated, but bounds the resends after refusals.
pub(super) const RESEND_COST: f64 = 0.2;
/// Default maximum of attempts of one call, hedges included. A call that fails
/// more often is probably the cause of the failures.
pub(super) const DEFAULT_MAX_ATTEMPTS: u8 = 3;

#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }

    pub(super) fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_CALL).min(MAX_BALANCE);
    }

    /// Spends `cost` if the balance covers it; returns whether it did.
    pub(super) fn try_spend(&mut self, cost: f64) -> bool {
        let sufficient = self.balance >= cost;
        if sufficient {
            self.balance -= cost;
        }
        sufficient
    }
}
