//! Which node a call goes to.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use std::collections::HashSet;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use routing::{Candidate, LinkBudget, Peer, Report, Tier, choose, subset};
use units::{Clock, ManualClock, NodeId};

fn candidate(tier: Tier, score: f64) -> Candidate {
    Candidate { tier, score, full: false, shunned: false, tried: false }
}

fn first(_: usize) -> usize {
    0
}

#[gtest]
fn calls_stay_near_while_there_is_room() {
    let near = candidate(Tier::Domain, 5.0);
    let all = [candidate(Tier::Remote, 0.0), candidate(Tier::Region, 0.0), near];
    expect_that!(choose(&all, true, first), some(eq(2)));
    let full = [all[0], all[1], Candidate { full: true, ..near }];
    expect_that!(choose(&full, true, first), some(eq(1)));
    let no_region = [all[0], Candidate { full: true, ..all[1] }, full[2]];
    expect_that!(choose(&no_region, true, first), some(eq(0)));
}

#[gtest]
fn another_region_needs_a_byte_budget() {
    let all =
        [candidate(Tier::Remote, 0.0), Candidate { full: true, ..candidate(Tier::Domain, 1.0) }];
    expect_that!(choose(&all, true, first), some(eq(0)));
    expect_that!(choose(&all, false, first), some(eq(1)));
    expect_that!(choose(&all[..1], false, first), none());
}

#[gtest]
fn what_failed_is_the_last_resort() {
    let shunned = Candidate { shunned: true, ..candidate(Tier::Domain, 0.0) };
    expect_that!(choose(&[shunned, candidate(Tier::Remote, 9.0)], true, first), some(eq(1)));
    expect_that!(choose(&[shunned], true, first), some(eq(0)));
    expect_that!(choose(&[], true, first), none());
}

/// A node that refused this very request is no better than one that failed another some time ago.
#[gtest]
fn one_that_was_tried_comes_after_one_that_failed_lately() {
    let tried = Candidate { tried: true, ..candidate(Tier::Domain, 0.0) };
    let failed = Candidate { shunned: true, ..candidate(Tier::Domain, 9.0) };
    for chance in 0..2 {
        expect_that!(choose(&[tried, failed], true, |count| chance % count), some(eq(1)));
    }
    expect_that!(choose(&[tried], true, first), some(eq(0)));
}

#[gtest]
fn the_less_loaded_of_two_is_taken() {
    let all = [candidate(Tier::Domain, 2.0), candidate(Tier::Domain, 1.0)];
    let mut next = 0;
    let both = |count: usize| {
        next += 1;
        (next - 1) % count
    };
    expect_that!(choose(&all, true, both), some(eq(1)));
}

#[gtest]
fn a_failed_peer_is_ejected_for_longer_each_time_and_comes_back() {
    let clock = ManualClock::new();
    let mut peer = Peer::new(10, clock.now());
    peer.failed(clock.now());
    expect_that!(peer.is_ejected(clock.now()), eq(true));
    clock.advance(Duration::from_millis(500));
    expect_that!(peer.is_ejected(clock.now()), eq(false));
    peer.failed(clock.now());
    clock.advance(Duration::from_millis(500));
    expect_that!(peer.is_ejected(clock.now()), eq(true));
    for _ in 0..40 {
        peer.failed(clock.now());
    }
    clock.advance(Duration::from_secs(8));
    expect_that!(peer.is_ejected(clock.now()), eq(false));
    peer.failed(clock.now());
    peer.reported(Report::default(), clock.now());
    expect_that!(peer.is_ejected(clock.now()), eq(false));
}

#[gtest]
fn old_reports_fade() {
    let clock = ManualClock::new();
    let mut peer = Peer::new(10, clock.now());
    peer.reported(Report { running: 10, waiting: 5, limit: 10 }, clock.now());
    let fresh = peer.score(clock.now());
    expect_that!(peer.is_full(clock.now()), eq(true));
    clock.advance(Duration::from_secs(2));
    expect_that!(peer.score(clock.now()), lt(fresh / 5.0));
    expect_that!(peer.is_full(clock.now()), eq(false));
}

#[gtest]
fn the_byte_budget_refills_and_goes_into_debt() {
    let clock = ManualClock::new();
    let mut budget = LinkBudget::new(1_000.0, clock.now());
    expect_that!(budget.admits(clock.now()), eq(true));
    budget.charge(5_000);
    expect_that!(budget.admits(clock.now()), eq(false));
    expect_that!(budget.wait(), eq(Duration::from_secs(3)));
    clock.advance(Duration::from_millis(3_100));
    expect_that!(budget.admits(clock.now()), eq(true));
}

proptest! {
    #[test]
    fn a_node_that_goes_changes_one_place_of_a_subset(count in 10_usize..60, gone in 0_usize..10) {
        let own: NodeId = "own".parse().unwrap();
        let nodes: Vec<NodeId> = (0..count).map(|index| format!("n{index}").parse().unwrap()).collect();
        let pick = |without: Option<usize>| -> HashSet<NodeId> {
            let kept = nodes.iter().enumerate().filter(|(index, _)| Some(*index) != without);
            subset(&own, kept.map(|(_, node)| (node, node.clone())), 8).into_iter().collect()
        };
        prop_assert!(pick(None).difference(&pick(Some(gone))).count() <= 1);
    }

    #[test]
    fn a_choice_is_always_a_candidate(flags in prop::collection::vec((0_u8..3, any::<bool>(), any::<bool>()), 0..9)) {
        let tiers = [Tier::Domain, Tier::Region, Tier::Remote];
        let all: Vec<Candidate> = flags
            .iter()
            .map(|(tier, full, shunned)| Candidate { tier: tiers[usize::from(*tier)], score: 1.0, full: *full, shunned: *shunned, tried: false })
            .collect();
        prop_assert_eq!(choose(&all, true, |count| count - 1).is_some(), !all.is_empty());
    }
}
