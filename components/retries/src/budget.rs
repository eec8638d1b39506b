//! Retry allowance of one request, part of which is lent to its calls and returned unspent.

use std::fmt;
use std::str;

units::value! {
    /// Number of retries.
    #[derive(Default)]
    pub struct RetryAllowance(pub u8);
}

impl fmt::Display for RetryAllowance {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl str::FromStr for RetryAllowance {
    type Err = units::ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| units::ParseError::Expected(text.to_owned(), "a number from 0 to 255"))
    }
}

/// Remaining retry allowance of one request.
#[derive(Debug)]
pub struct RetryBudget {
    left: u8,
}

impl RetryBudget {
    /// A budget with the full allowance.
    pub fn new(allowance: RetryAllowance) -> Self {
        Self { left: allowance.0 }
    }

    /// The remaining allowance.
    pub fn remaining(&self) -> RetryAllowance {
        RetryAllowance(self.left)
    }

    /// Takes half of the remaining allowance, rounded up, for a call. A retry by the hop next to a failure repeats the
    /// least work; the other half stays for failures higher up the tree.
    pub fn split_off(&mut self) -> RetryAllowance {
        let lent = self.left.div_ceil(2);
        self.left -= lent;
        RetryAllowance(lent)
    }

    /// Takes back what a call did not spend, at most what was lent to it.
    pub fn give_back(&mut self, lent: RetryAllowance, returned: RetryAllowance) {
        self.left = self.left.saturating_add(returned.0.min(lent.0));
    }

    /// Spends one retry; false when none is left.
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(1) else {
            return false;
        };
        self.left = left;
        true
    }
}
