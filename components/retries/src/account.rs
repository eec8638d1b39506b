//! The allowance of one request: what is left, what was lent to calls below, what came back.

use std::fmt;
use std::str;

units::value! {
    /// A number of retries that may be spent.
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

/// Account of one request.
#[derive(Debug)]
pub struct Account {
    left: u8,
}

impl Account {
    /// An account with a whole allowance.
    pub fn new(allowance: Allowance) -> Self {
        Self { left: allowance.0 }
    }

    /// What is left.
    pub fn left(&self) -> Allowance {
        Allowance(self.left)
    }

    /// Takes half of what is left, rounded up, for a call below: the hop next to a failure wastes the least by
    /// trying again, and the other half stays for failures higher up.
    pub fn lend(&mut self) -> Allowance {
        let lent = self.left.div_ceil(2);
        self.left -= lent;
        Allowance(lent)
    }

    /// Takes back what a call did not spend; never more than was lent to it.
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
