//! Retries of a whole call tree, and decisions on single failures.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use retries::{Account, Allowance, Bucket, Choice, Failure, Stop, decide};

/// Simulates one call of a random tree, which may fail, lose its answer and make calls of its own, and counts retries.
/// Returns the unspent allowance, or `None` when the answer was lost.
fn call(
    random: &mut ChaCha8Rng,
    lent: Allowance,
    depth: u32,
    retried: &mut u32,
) -> Option<Allowance> {
    let mut account = Account::new(lent);
    if depth > 0 {
        for _ in 0..random.random_range(0..4) {
            loop {
                let lent_on = account.lend();
                let returned = call(random, lent_on, depth - 1, retried);
                account.settle(lent_on, returned.unwrap_or_default());
                if !random.random_bool(0.6) || !account.spend() {
                    break;
                }
                *retried += 1;
            }
        }
    }
    random.random_bool(0.8).then(|| account.left())
}

proptest! {
    #[test]
    fn retries_of_a_tree_never_exceed_the_allowance(seed: u64, allowance in 0_u8..20, depth in 0_u32..8) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut retried = 0;
        let left = call(&mut random, Allowance(allowance), depth, &mut retried);
        prop_assert!(retried <= u32::from(allowance));
        prop_assert!(retried + u32::from(left.unwrap_or_default().0) <= u32::from(allowance));
    }

    #[test]
    fn a_call_cannot_return_more_than_it_was_lent(allowance: u8, returned: u8) {
        let mut account = Account::new(Allowance(allowance));
        let lent = account.lend();
        account.settle(lent, Allowance(returned));
        prop_assert!(account.left() <= Allowance(allowance));
    }

    #[test]
    fn retries_are_bounded_by_a_share_of_first_attempts(first_attempts in 1_u32..2_000, ratio in 0.0..0.5_f64) {
        let mut bucket = Bucket::new();
        let mut retried = 0;
        for _ in 0..first_attempts {
            bucket.first_try(ratio);
            while bucket.take() {
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
        unrun: true,
        idempotent: false,
        replayable: true,
        exhausted: false,
        lethal: false,
        left: Duration::from_secs(1),
        least: Duration::from_millis(10),
    }
}

#[gtest]
fn only_calls_that_did_not_run_or_are_idempotent_are_retried() {
    let decide_fresh =
        |failure: Failure| decide(failure, &mut Account::new(Allowance(2)), &mut Bucket::new());
    expect_that!(decide_fresh(failure()), eq(Choice::Retry));
    expect_that!(
        decide_fresh(Failure { unrun: false, ..failure() }),
        eq(Choice::Stop(Stop::Unsafe))
    );
    expect_that!(
        decide_fresh(Failure { unrun: false, idempotent: true, ..failure() }),
        eq(Choice::Retry)
    );
    let lethal = Failure { lethal: true, idempotent: true, ..failure() };
    expect_that!(decide_fresh(lethal), eq(Choice::Stop(Stop::Lethal)));
    expect_that!(
        decide_fresh(Failure { replayable: false, ..failure() }),
        eq(Choice::Stop(Stop::Streamed))
    );
    expect_that!(
        decide_fresh(Failure { exhausted: true, ..failure() }),
        eq(Choice::Stop(Stop::Exhausted))
    );
    let late = Failure { left: Duration::from_millis(10), ..failure() };
    expect_that!(decide_fresh(late), eq(Choice::Stop(Stop::Deadline)));
}

#[gtest]
fn a_retry_is_charged_once() {
    let (mut account, mut bucket) = (Account::new(Allowance(1)), Bucket::new());
    expect_that!(decide(failure(), &mut account, &mut bucket), eq(Choice::Retry));
    expect_that!(decide(failure(), &mut account, &mut bucket), eq(Choice::Stop(Stop::Allowance)));
    let (mut account, mut empty) = (Account::new(Allowance(9)), Bucket::new());
    expect_that!(empty.take(), eq(true));
    expect_that!(decide(failure(), &mut account, &mut empty), eq(Choice::Stop(Stop::Ratio)));
    expect_that!(account.left(), eq(Allowance(9)));
}
