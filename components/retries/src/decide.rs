//! Decides whether a failed call is retried.

use std::time::Duration;

use crate::bucket::RetryBucket;
use crate::budget::RetryBudget;

units::value! {
    /// Properties of a failed call that decide on a retry.
    pub struct Failure {
        /// It did not run and will not run.
        pub not_run: bool,
        /// Running it twice has the same effect as once.
        pub idempotent: bool,
        /// The request is buffered and can be sent again.
        pub replayable: bool,
        /// A node below marked the failure as final.
        pub exhausted: bool,
        /// The upstream crashed while running it.
        pub crashed_upstream: bool,
        /// Time until the deadline.
        pub time_left: Duration,
        /// Minimum time that another attempt needs.
        pub min_time: Duration,
    }

    /// Decision on a failed call.
    pub enum Decision {
        /// Send the call again.
        Retry,
        /// Return the failure.
        Stop(StopReason),
    }

    /// Why a call is not retried.
    pub enum StopReason {
        /// It may have run and is not idempotent.
        Unsafe,
        /// Its body was streamed and is not buffered.
        NotReplayable,
        /// A node below marked the failure as final.
        Exhausted,
        /// It may have crashed the upstream.
        CrashedUpstream,
        /// Too little time is left before the deadline.
        Deadline,
        /// The retry allowance of the request is used up.
        Allowance,
        /// Retries to the service exceed their share of first attempts.
        RetryRatio,
    }
}

/// Decides whether to retry, and charges a retry to the budget and the bucket.
pub fn decide(failure: Failure, budget: &mut RetryBudget, bucket: &mut RetryBucket) -> Decision {
    if let Some(stop) = stop_reason(failure) {
        return Decision::Stop(stop);
    }
    if budget.remaining().0 == 0 {
        return Decision::Stop(StopReason::Allowance);
    }
    if !bucket.try_take() {
        return Decision::Stop(StopReason::RetryRatio);
    }
    budget.try_spend();
    Decision::Retry
}

fn stop_reason(failure: Failure) -> Option<StopReason> {
    if failure.crashed_upstream {
        return Some(StopReason::CrashedUpstream);
    }
    if !failure.not_run && !failure.idempotent {
        return Some(StopReason::Unsafe);
    }
    if !failure.replayable {
        return Some(StopReason::NotReplayable);
    }
    if failure.exhausted {
        return Some(StopReason::Exhausted);
    }
    if failure.time_left <= failure.min_time {
        return Some(StopReason::Deadline);
    }
    None
}
