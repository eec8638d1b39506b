//! Whether a failed call is tried again.

use std::time::Duration;

use crate::account::Account;
use crate::bucket::Bucket;

units::value! {
    /// What is known of a failed call.
    pub struct Failure {
        /// It did not run, and never will.
        pub unrun: bool,
        /// Running it again does no harm.
        pub idempotent: bool,
        /// The request can be sent again from memory.
        pub replayable: bool,
        /// A node below marked the failure as final.
        pub exhausted: bool,
        /// The upstream that ran it died.
        pub lethal: bool,
        /// Time until the deadline.
        pub left: Duration,
        /// Time that a try takes at least.
        pub least: Duration,
    }

    /// Answer to a failure.
    pub enum Choice {
        /// Try again.
        Retry,
        /// Give up.
        Stop(Stop),
    }

    /// Why a call is not tried again.
    pub enum Stop {
        /// It may have run and is not idempotent.
        Unsafe,
        /// Its body was not kept.
        Streamed,
        /// A node below said so.
        Exhausted,
        /// It may have killed the upstream that ran it.
        Lethal,
        /// There is not enough time.
        Deadline,
        /// The allowance is spent.
        Allowance,
        /// Retries of the service are over their share.
        Ratio,
    }
}

/// Decides whether to try again, and pays for it if so.
pub fn decide(failure: Failure, account: &mut Account, bucket: &mut Bucket) -> Choice {
    if let Some(stop) = forbidden(failure) {
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

fn forbidden(failure: Failure) -> Option<Stop> {
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
