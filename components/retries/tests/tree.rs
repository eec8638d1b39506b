//! Retries of a whole call tree, and decisions on single failures.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use retries::{Decision, Failure, RetryAllowance, RetryBucket, RetryBudget, StopReason, decide};

/// Simulates one call of a random tree, which may fail, lose its answer and make calls of its own, and counts retries.
/// Returns the unspent allowance, or `None` when the answer was lost.
fn call(
    random: &mut ChaCha8Rng,
    lent: RetryAllowance,
    depth: u32,
    retried: &mut u32,
) -> Option<RetryAllowance> {
    let mut budget = RetryBudget::new(lent);
    if depth > 0 {
        for _ in 0..random.random_range(0..4) {
            loop {
                let lent_on = budget.split_off();
                let returned = call(random, lent_on, depth - 1, retried);
                budget.give_back(lent_on, returned.unwrap_or_default());
                if !random.random_bool(0.6) || !budget.try_spend() {
                    break;
                }
                *retried += 1;
            }
        }
    }
    random.random_bool(0.8).then(|| budget.remaining())
}

proptest! {
    #[test]
    fn retries_of_a_tree_never_exceed_the_allowance(seed: u64, allowance in 0_u8..20, depth in 0_u32..8) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut retried = 0;
        let left = call(&mut random, RetryAllowance(allowance), depth, &mut retried);
        prop_assert!(retried <= u32::from(allowance));
        prop_assert!(retried + u32::from(left.unwrap_or_default().0) <= u32::from(allowance));
    }

    #[test]
    fn a_call_cannot_return_more_than_it_was_lent(allowance: u8, returned: u8) {
        let mut budget = RetryBudget::new(RetryAllowance(allowance));
        let lent = budget.split_off();
        budget.give_back(lent, RetryAllowance(returned));
        prop_assert!(budget.remaining() <= RetryAllowance(allowance));
    }

    #[test]
    fn retries_are_bounded_by_a_share_of_first_attempts(first_attempts in 1_u32..2_000, ratio in 0.0..0.5_f64) {
        let mut bucket = RetryBucket::new();
        let mut retried = 0;
        for _ in 0..first_attempts {
            bucket.record_first_attempt(ratio);
            while bucket.try_take() {
                retried += 1;
            }
        }
        prop_assert!(f64::from(retried) <= 1.0 + ratio * f64::from(first_attempts) + 1e-6);
    }
}

/// Copied to each call instead of split, an allowance of 2 would permit 242 retries at depth 5.
#[gtest]
fn copying_the_allowance_would_multiply_retries() {
    fn retries_if_copied(depth: u32, allowance: u32) -> u32 {
        if depth == 0 {
            0
        } else {
            allowance + (allowance + 1) * retries_if_copied(depth - 1, allowance)
        }
    }
    expect_that!(retries_if_copied(5, 2), eq(242));
}

fn failure() -> Failure {
    Failure {
        not_run: true,
        idempotent: false,
        replayable: true,
        exhausted: false,
        crashed_upstream: false,
        time_left: Duration::from_secs(1),
        min_time: Duration::from_millis(10),
    }
}

#[gtest]
fn only_calls_that_did_not_run_or_are_idempotent_are_retried() {
    let decide_fresh = |failure: Failure| {
        decide(failure, &mut RetryBudget::new(RetryAllowance(2)), &mut RetryBucket::new())
    };
    expect_that!(decide_fresh(failure()), eq(Decision::Retry));
    expect_that!(
        decide_fresh(Failure { not_run: false, ..failure() }),
        eq(Decision::Stop(StopReason::Unsafe))
    );
    expect_that!(
        decide_fresh(Failure { not_run: false, idempotent: true, ..failure() }),
        eq(Decision::Retry)
    );
    let crash = Failure { crashed_upstream: true, idempotent: true, ..failure() };
    expect_that!(decide_fresh(crash), eq(Decision::Stop(StopReason::CrashedUpstream)));
    expect_that!(
        decide_fresh(Failure { replayable: false, ..failure() }),
        eq(Decision::Stop(StopReason::NotReplayable))
    );
    expect_that!(
        decide_fresh(Failure { exhausted: true, ..failure() }),
        eq(Decision::Stop(StopReason::Exhausted))
    );
    let late = Failure { time_left: Duration::from_millis(10), ..failure() };
    expect_that!(decide_fresh(late), eq(Decision::Stop(StopReason::Deadline)));
}

#[gtest]
fn a_retry_is_charged_once() {
    let (mut budget, mut bucket) = (RetryBudget::new(RetryAllowance(1)), RetryBucket::new());
    expect_that!(decide(failure(), &mut budget, &mut bucket), eq(Decision::Retry));
    expect_that!(
        decide(failure(), &mut budget, &mut bucket),
        eq(Decision::Stop(StopReason::Allowance))
    );
    let (mut budget, mut empty) = (RetryBudget::new(RetryAllowance(9)), RetryBucket::new());
    expect_that!(empty.try_take(), eq(true));
    expect_that!(
        decide(failure(), &mut budget, &mut empty),
        eq(Decision::Stop(StopReason::RetryRatio))
    );
    expect_that!(budget.remaining(), eq(RetryAllowance(9)));
}
