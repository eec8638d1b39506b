//! Decides whether a failed call is retried.

use std::time::Duration;

use crate::account::Account;
use crate::bucket::Bucket;

units::value! {
    /// Properties of a failed call that decide on a retry.
    pub struct Failure {
        /// It did not run and will not run.
        pub unrun: bool,
        /// Running it twice has the same effect as once.
        pub idempotent: bool,
        /// The request is buffered and can be sent again.
        pub replayable: bool,
        /// A node below marked the failure as final.
        pub exhausted: bool,
        /// The upstream died while running it.
        pub lethal: bool,
        /// Time until the deadline.
        pub left: Duration,
        /// Minimum time that another attempt needs.
        pub least: Duration,
    }

    /// Decision on a failed call.
    pub enum Choice {
        /// Send the call again.
        Retry,
        /// Return the failure.
        Stop(Stop),
    }

    /// Why a call is not retried.
    pub enum Stop {
        /// It may have run and is not idempotent.
        Unsafe,
        /// Its body was streamed and is not buffered.
        Streamed,
        /// A node below marked the failure as final.
        Exhausted,
        /// It may have crashed the upstream.
        Lethal,
        /// Too little time is left before the deadline.
        Deadline,
        /// The retry allowance of the request is used up.
        Allowance,
        /// Retries to the service exceed their share of first attempts.
        Ratio,
    }
}

/// Decides whether to retry, and charges a retry to the account and the bucket.
pub fn decide(failure: Failure, account: &mut Account, bucket: &mut Bucket) -> Choice {
    if let Some(stop) = stop_reason(failure) {
        return Choice::Stop(stop);
    }
    if account.left().0 == 0 {
        return Choice::Stop(Stop::Allowance);
    }
    if !bucket.take() {
        return Choice::Stop(Stop::Ratio);
    }
    account.spend();
    Choice::Retry
}

fn stop_reason(failure: Failure) -> Option<Stop> {
    if failure.lethal {
        return Some(Stop::Lethal);
    }
    if !failure.unrun && !failure.idempotent {
        return Some(Stop::Unsafe);
    }
    if !failure.replayable {
        return Some(Stop::Streamed);
    }
    if failure.exhausted {
        return Some(Stop::Exhausted);
    }
    if failure.left <= failure.least {
        return Some(Stop::Deadline);
    }
    None
}
