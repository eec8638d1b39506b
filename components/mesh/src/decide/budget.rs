//! Retry budget: retries as a share of first sends.

/// Retries per first send, for services whose upstreams make no calls and for those whose upstreams do. Retrying a
/// request repeats its calls: the first ratio plus three times the second stays under one fifth for the deployment.
const LEAF_RATIO: f64 = 0.12;
const CALLING_RATIO: f64 = 0.025;
/// Retries that a node may accumulate, so that all nodes together stay within the deployment's tolerance.
const MAX_TOKENS: f64 = 3.0;
/// Retries that only the most urgent requests may use.
const URGENT_RESERVE: f64 = 1.0;

/// Retries that a node may still send to one service.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: 1.0 + URGENT_RESERVE }
    }
}

impl Budget {
    /// Counts a first send; `calls` is whether the service's upstreams make calls.
    pub fn record_send(&mut self, calls: bool) {
        let ratio = if calls { CALLING_RATIO } else { LEAF_RATIO };
        self.tokens = (self.tokens + ratio).min(MAX_TOKENS);
    }

    /// Takes a retry from the budget, if one is left. Where most requests fail, the most urgent ones get the retries: a
    /// call tree succeeds only if all of its calls do.
    pub fn try_retry(&mut self, urgent: bool) -> bool {
        let granted = self.tokens >= if urgent { 1.0 } else { 1.0 + URGENT_RESERVE };
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
