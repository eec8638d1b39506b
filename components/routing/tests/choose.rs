//! Choice of the node that a call is sent to.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::collections::HashSet;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use routing::{Candidate, LinkBudget, LoadReport, Peer, Tier, choose, subset};
use units::{Clock, ManualClock, NodeId};

fn candidate(tier: Tier, score: f64) -> Candidate {
    Candidate { tier, score, at_capacity: false, unhealthy: false, attempted: false }
}

fn first(_: usize) -> usize {
    0
}

#[gtest]
fn calls_stay_in_the_nearest_tier_with_capacity() {
    let near = candidate(Tier::Domain, 5.0);
    let all = [candidate(Tier::Remote, 0.0), candidate(Tier::Region, 0.0), near];
    expect_that!(choose(&all, true, first), some(eq(2)));
    let full = [all[0], all[1], Candidate { at_capacity: true, ..near }];
    expect_that!(choose(&full, true, first), some(eq(1)));
    let no_region = [all[0], Candidate { at_capacity: true, ..all[1] }, full[2]];
    expect_that!(choose(&no_region, true, first), some(eq(0)));
}

#[gtest]
fn another_region_needs_a_byte_budget() {
    let all = [
        candidate(Tier::Remote, 0.0),
        Candidate { at_capacity: true, ..candidate(Tier::Domain, 1.0) },
    ];
    expect_that!(choose(&all, true, first), some(eq(0)));
    expect_that!(choose(&all, false, first), some(eq(1)));
    expect_that!(choose(&all[..1], false, first), none());
}

#[gtest]
fn a_node_that_failed_recently_is_the_last_resort() {
    let unhealthy = Candidate { unhealthy: true, ..candidate(Tier::Domain, 0.0) };
    expect_that!(choose(&[unhealthy, candidate(Tier::Remote, 9.0)], true, first), some(eq(1)));
    expect_that!(choose(&[unhealthy], true, first), some(eq(0)));
    expect_that!(choose(&[], true, first), none());
}

/// A node that refused this very request is a worse choice than one that failed another request some time ago.
#[gtest]
fn a_node_already_tried_comes_after_one_that_failed_recently() {
    let attempted = Candidate { attempted: true, ..candidate(Tier::Domain, 0.0) };
    let failed = Candidate { unhealthy: true, ..candidate(Tier::Domain, 9.0) };
    for draw in 0..2 {
        expect_that!(choose(&[attempted, failed], true, |count| draw % count), some(eq(1)));
    }
    expect_that!(choose(&[attempted], true, first), some(eq(0)));
}

#[gtest]
fn the_less_loaded_of_two_is_chosen() {
    let all = [candidate(Tier::Domain, 2.0), candidate(Tier::Domain, 1.0)];
    let mut next = 0;
    let alternate = |count: usize| {
        next += 1;
        (next - 1) % count
    };
    expect_that!(choose(&all, true, alternate), some(eq(1)));
}

#[gtest]
fn ejection_grows_with_each_failure_and_ends() {
    let clock = ManualClock::new();
    let mut peer = Peer::new(10, clock.now());
    peer.record_failure(clock.now());
    expect_that!(peer.is_ejected(clock.now()), eq(true));
    clock.advance(Duration::from_millis(500));
    expect_that!(peer.is_ejected(clock.now()), eq(false));
    peer.record_failure(clock.now());
    clock.advance(Duration::from_millis(500));
    expect_that!(peer.is_ejected(clock.now()), eq(true));
    for _ in 0..40 {
        peer.record_failure(clock.now());
    }
    clock.advance(Duration::from_secs(8));
    expect_that!(peer.is_ejected(clock.now()), eq(false));
    peer.record_failure(clock.now());
    peer.record_report(LoadReport::default(), clock.now());
    expect_that!(peer.is_ejected(clock.now()), eq(false));
}

#[gtest]
fn the_weight_of_a_report_decays_with_age() {
    let clock = ManualClock::new();
    let mut peer = Peer::new(10, clock.now());
    peer.record_report(LoadReport { running: 10, waiting: 5, limit: 10 }, clock.now());
    let fresh = peer.score(clock.now());
    expect_that!(peer.is_at_capacity(clock.now()), eq(true));
    clock.advance(Duration::from_secs(2));
    expect_that!(peer.score(clock.now()), lt(fresh / 5.0));
    expect_that!(peer.is_at_capacity(clock.now()), eq(false));
}

#[gtest]
fn the_byte_budget_refills_and_may_go_negative() {
    let clock = ManualClock::new();
    let mut budget = LinkBudget::new(1_000.0, clock.now());
    expect_that!(budget.admits(clock.now()), eq(true));
    budget.charge(5_000);
    expect_that!(budget.admits(clock.now()), eq(false));
    expect_that!(budget.retry_after(), eq(Duration::from_secs(3)));
    clock.advance(Duration::from_millis(3_100));
    expect_that!(budget.admits(clock.now()), eq(true));
}

proptest! {
    #[test]
    fn a_node_that_leaves_changes_at_most_one_member_of_a_subset(count in 10_usize..60, left in 0_usize..10) {
        let own: NodeId = "own".parse().unwrap();
        let nodes: Vec<NodeId> = (0..count).map(|index| format!("n{index}").parse().unwrap()).collect();
        let pick = |without: Option<usize>| -> HashSet<NodeId> {
            let kept = nodes.iter().enumerate().filter(|(index, _)| Some(*index) != without);
            subset(&own, kept.map(|(_, node)| (node, node.clone())), 8).into_iter().collect()
        };
        prop_assert!(pick(None).difference(&pick(Some(left))).count() <= 1);
    }

    #[test]
    fn a_choice_is_always_a_candidate(flags in prop::collection::vec((0_u8..3, any::<bool>(), any::<bool>()), 0..9)) {
        let tiers = [Tier::Domain, Tier::Region, Tier::Remote];
        let all: Vec<Candidate> = flags
            .iter()
            .map(|(tier, full, unhealthy)| Candidate { tier: tiers[usize::from(*tier)], score: 1.0, at_capacity: *full, unhealthy: *unhealthy, attempted: false })
            .collect();
        prop_assert_eq!(choose(&all, true, |count| count - 1).is_some(), !all.is_empty());
    }
}
