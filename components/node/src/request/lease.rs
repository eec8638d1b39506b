//! Retry allowance taken from the account of a parent request; the unspent part is returned when the call ends.

use std::sync::Arc;

use retries::{Account, Allowance};
use units::Clock;

use super::parent::Token;
use crate::process::shared::Shared;

/// Allowance of a nested call: one that the upstream makes while it serves a request.
pub struct AllowanceLease<C: Clock> {
    shared: Arc<Shared<C>>,
    parent: Token,
    lent: Allowance,
    /// Unspent part.
    pub account: Account,
}

impl<C: Clock> AllowanceLease<C> {
    /// Takes a share of the parent's allowance.
    pub fn new(shared: Arc<Shared<C>>, parent: Token) -> Self {
        let lent =
            shared.active_requests.with(parent, |parent| parent.account.lend()).unwrap_or_default();
        Self { shared, parent, lent, account: Account::new(lent) }
    }
}

impl<C: Clock> Drop for AllowanceLease<C> {
    fn drop(&mut self) {
        let returned = self.account.left();
        self.shared
            .active_requests
            .with(self.parent, |parent| parent.account.settle(self.lent, returned));
    }
}
