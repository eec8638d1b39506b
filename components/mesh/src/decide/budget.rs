//! Retries as a share of first sends.

/// Part of first sends that may be sent again; half of the fleet's share, as a repeated run repeats its calls too.
const RATIO: f64 = 0.1;
/// Repeats that may be saved up, so that a whole fleet stays under the fleet's slack.
const SAVED: f64 = 2.0;

/// Repeats that a node may still send to one service.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: 1.0 }
    }
}

impl Budget {
    /// A request was sent for the first time.
    pub fn first(&mut self) {
        self.tokens = (self.tokens + RATIO).min(SAVED);
    }

    /// Pays for a repeat.
    pub fn take(&mut self) -> bool {
        let paid = self.tokens >= 1.0;
        if paid {
            self.tokens -= 1.0;
        }
        paid
    }
}
