//! Retries as a share of first sends.

/// Part of first sends that may be sent again, to services whose upstreams call no further and to others. A request
/// that runs again makes its calls again: the first share and three times the second stay under the fleet's fifth.
const LAST_RATIO: f64 = 0.12;
const CALLING_RATIO: f64 = 0.025;
/// Repeats that may be saved up, so that a whole fleet stays under the fleet's slack.
const SAVED: f64 = 3.0;
/// Repeats that are left for the most urgent requests when others want one.
const RESERVED: f64 = 1.0;

/// Repeats that a node may still send to one service.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: 1.0 + RESERVED }
    }
}

impl Budget {
    /// A request was sent for the first time, to a service whose upstreams call further or don't.
    pub fn first(&mut self, calls: bool) {
        let ratio = if calls { CALLING_RATIO } else { LAST_RATIO };
        self.tokens = (self.tokens + ratio).min(SAVED);
    }

    /// Pays for a repeat. Where most requests fail, what there is goes to the most urgent ones: a tree that needs many
    /// calls is whole only if all of them are.
    pub fn take(&mut self, urgent: bool) -> bool {
        let paid = self.tokens >= if urgent { 1.0 } else { 1.0 + RESERVED };
        if paid {
            self.tokens -= 1.0;
        }
        paid
    }
}
