//! Retry allowance taken from the budget of a parent request; the unspent part is returned when the call ends.

use std::sync::Arc;

use retries::{RetryAllowance, RetryBudget};
use units::Clock;

use super::parent::Token;
use crate::process::shared::Shared;

/// Retry allowance of a nested call: one that the upstream makes while it serves a request.
pub struct AllowanceLease<C: Clock> {
    shared: Arc<Shared<C>>,
    parent: Token,
    lent: RetryAllowance,
    /// Unspent part.
    pub budget: RetryBudget,
}

impl<C: Clock> AllowanceLease<C> {
    /// Takes a share of the parent's allowance.
    pub fn new(shared: Arc<Shared<C>>, parent: Token) -> Self {
        let lent = shared
            .active_requests
            .with(parent, |parent| parent.budget.split_off())
            .unwrap_or_default();
        Self { shared, parent, lent, budget: RetryBudget::new(lent) }
    }
}

impl<C: Clock> Drop for AllowanceLease<C> {
    fn drop(&mut self) {
        let returned = self.budget.remaining();
        self.shared
            .active_requests
            .with(self.parent, |parent| parent.budget.give_back(self.lent, returned));
    }
}
