//! Token bucket that limits retries to a share of first attempts.

/// Maximum number of saved retries.
const MAX_TOKENS: f64 = 10.0;
/// Initial tokens, so that calls to a service with little traffic can be retried at all.
const INITIAL_TOKENS: f64 = 1.0;

/// Retries that this node may still send to one service.
#[derive(Debug, Clone)]
pub struct RetryBucket {
    tokens: f64,
}

impl RetryBucket {
    /// A bucket with the initial tokens.
    pub fn new() -> Self {
        Self { tokens: INITIAL_TOKENS }
    }

    /// Adds `ratio` tokens for a first attempt.
    pub fn record_first_attempt(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; false when there is none.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBucket {
    fn default() -> Self {
        Self::new()
    }
}
