//! Retry allowance of one request, part of which is lent to its calls and returned unspent.

use std::fmt;
use std::str;

units::value! {
    /// Number of retries.
    #[derive(Default)]
    pub struct Allowance(pub u8);
}

impl fmt::Display for Allowance {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl str::FromStr for Allowance {
    type Err = units::ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| units::ParseError::Expected(text.to_owned(), "a number from 0 to 255"))
    }
}

/// Remaining retry allowance of one request.
#[derive(Debug)]
pub struct Account {
    left: u8,
}

impl Account {
    /// An account with the full allowance.
    pub fn new(allowance: Allowance) -> Self {
        Self { left: allowance.0 }
    }

    /// The remaining allowance.
    pub fn left(&self) -> Allowance {
        Allowance(self.left)
    }

    /// Takes half of the remaining allowance, rounded up, for a call. A retry by the hop next to a failure repeats the
    /// least work; the other half stays for failures higher up the tree.
    pub fn lend(&mut self) -> Allowance {
        let lent = self.left.div_ceil(2);
        self.left -= lent;
        Allowance(lent)
    }

    /// Takes back what a call did not spend, at most what was lent to it.
    pub fn settle(&mut self, lent: Allowance, returned: Allowance) {
        self.left = self.left.saturating_add(returned.0.min(lent.0));
    }

    /// Spends one retry; false when none is left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(1) else {
            return false;
        };
        self.left = left;
        true
    }
}
