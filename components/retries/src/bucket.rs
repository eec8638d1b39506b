//! Token bucket that keeps retries a share of first tries.

/// Retries that may be saved up.
const MOST: f64 = 10.0;
/// Tokens at the start, so that a quiet service may retry at all.
const START: f64 = 1.0;

/// Retries of one service that this node may still send.
#[derive(Debug, Clone)]
pub struct Bucket {
    tokens: f64,
}

impl Bucket {
    /// A bucket with a token to start with.
    pub fn new() -> Self {
        Self { tokens: START }
    }

    /// A first try adds its share of a retry.
    pub fn first_try(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(MOST);
    }

    /// Takes a token for a retry; false when there is none.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for Bucket {
    fn default() -> Self {
        Self::new()
    }
}
