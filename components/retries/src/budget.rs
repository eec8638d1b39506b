//! Retry allowance of one request; parts of it are lent to its calls, which return what they do not spend.

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
    remaining: u8,
}

impl RetryBudget {
    /// A budget with the full allowance.
    pub fn new(allowance: RetryAllowance) -> Self {
        Self { remaining: allowance.0 }
    }

    /// The remaining allowance.
    pub fn remaining(&self) -> RetryAllowance {
        RetryAllowance(self.remaining)
    }

    /// Takes half of the remaining allowance, rounded up, for a call. A retry by the hop next to a failure repeats the
    /// least work; the other half stays for failures higher up the tree.
    pub fn split_off(&mut self) -> RetryAllowance {
        let lent = self.remaining.div_ceil(2);
        self.remaining -= lent;
        RetryAllowance(lent)
    }

    /// Takes back what a call did not spend, at most what was lent to it.
    pub fn give_back(&mut self, lent: RetryAllowance, returned: RetryAllowance) {
        self.remaining = self.remaining.saturating_add(returned.0.min(lent.0));
    }

    /// Spends one retry; false when none is left.
    pub fn try_spend(&mut self) -> bool {
        let Some(remaining) = self.remaining.checked_sub(1) else {
            return false;
        };
        self.remaining = remaining;
        true
    }
}
