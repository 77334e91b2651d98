//! How much may be run again.
//!
//! Retries and hedges multiply load just when there is too much of it. Each
//! first try earns a share of a retry, and each retry spends a whole one, so
//! that in the worst fault endpoints see at most that share more work.

/// Earned by each first try: endpoint work per useful answer stays at 1.1.
const EARNED_PER_CALL: f64 = 0.1;
/// Saved up at most, and there at the start: a small service, with too few
/// first tries to earn, still survives the loss of one endpoint's calls.
const MAX_BALANCE: f64 = 20.0;
/// Price of another run.
pub(super) const RERUN_COST: f64 = 1.0;
/// Price of sending again what surely didn't run: it costs a message, no
/// endpoint work, but storms of refusals must end too.
pub(super) const RESEND_COST: f64 = 0.2;
/// Attempts of one call, hedges included: a call that fails three times is
/// more likely to be the cause than the victim.
pub(super) const MAX_ATTEMPTS: u8 = 3;

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

    /// Takes the price, if there is that much left.
    pub(super) fn try_spend(&mut self, cost: f64) -> bool {
        let sufficient = self.balance >= cost;
        if sufficient {
            self.balance -= cost;
        }
        sufficient
    }
}
