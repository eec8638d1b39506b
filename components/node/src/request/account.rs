//! An allowance that was drawn from a parent's account, and goes back when the call ends.

use std::sync::Arc;

use retries::{Account, Allowance};
use units::Clock;

use super::parent::Token;
use crate::process::shared::Shared;

/// Allowance of a call that the upstream makes for a request it is serving.
pub struct Drawn<C: Clock> {
    shared: Arc<Shared<C>>,
    parent: Token,
    lent: Allowance,
    /// What is left of it.
    pub account: Account,
}

impl<C: Clock> Drawn<C> {
    /// Draws a share of the parent's allowance.
    pub fn new(shared: Arc<Shared<C>>, parent: Token) -> Self {
        let lent = shared.calls.with(parent, |parent| parent.account.lend()).unwrap_or_default();
        Self { shared, parent, lent, account: Account::new(lent) }
    }
}

impl<C: Clock> Drop for Drawn<C> {
    fn drop(&mut self) {
        let returned = self.account.left();
        self.shared.calls.with(self.parent, |parent| parent.account.settle(self.lent, returned));
    }
}
