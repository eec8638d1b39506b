//! Retry delays and outage reporting for calls to the store.

use std::time::{Duration, Instant};

use super::events::Event;
use super::shared::Shared;
use crate::platform::{Platform, StoreError};

/// First and longest pause between retries: a store that is back is noticed within two of the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_millis(900);

/// Pauses of a task between failed calls.
pub struct Backoff {
    pause: Duration,
    failing_since: Option<Instant>,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { pause: FIRST_PAUSE, failing_since: None }
    }
}

impl Backoff {
    /// Reports a call that was made at `asked` and failed, and waits before the next one.
    pub async fn failed<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        call: &str,
        asked: Instant,
        err: &StoreError,
    ) {
        shared.metrics.store.calls.with_label_values(&[call, "failed"]).inc();
        if self.failing_since.is_none() {
            self.failing_since = Some(shared.now());
            shared.store_lost(err, asked);
        }
        tokio::time::sleep(self.pause.mul_f64(rand::random_range(0.7..1.3))).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Reports a call that succeeded.
    pub fn succeeded<P: Platform>(&mut self, shared: &Shared<P>, call: &str) {
        shared.metrics.store.calls.with_label_values(&[call, "done"]).inc();
        self.pause = FIRST_PAUSE;
        if let Some(failing_since) = self.failing_since.take() {
            let outage = shared.now().saturating_duration_since(failing_since);
            shared.log(&Event::StoreRecovered { after_ms: outage.as_millis() as u64 });
        }
    }
}
