//! Requests suspected of crashing upstreams, as the nodes of a fleet tell each other of them.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use googletest::prelude::*;
use mesh::process::shared::lock;
use mesh::process::{saved, suspects};
use quarantine::{Fingerprint, SavedCrash};

const REQUEST: Fingerprint = Fingerprint(7);
/// Rounds of exchanges in which news reach all nodes.
const SPREAD: u32 = 6;

fn quarantined(fleet: &Fleet) -> usize {
    let is_quarantined =
        |member: &&fleet::Member| lock(&member.shared.suspects).is_quarantined(REQUEST);
    fleet.members.iter().filter(is_quarantined).count()
}

fn crash(fleet: &Fleet, index: usize) {
    suspects::record_crash(&fleet.members[index].shared, REQUEST, 1);
}

/// Guards against a request that stays quarantined at the nodes that have not answered it themselves.
#[gtest]
fn an_answer_at_one_node_releases_a_request_at_all_nodes() {
    let mut fleet = Fleet::start(24, 4);
    fleet.run(SPREAD);
    crash(&fleet, 3);
    crash(&fleet, 10);
    fleet.run(SPREAD);
    expect_that!(quarantined(&fleet), eq(24));
    suspects::record_answer(&fleet.members[17].shared, REQUEST);
    fleet.run(SPREAD);
    expect_that!(quarantined(&fleet), eq(0));
    crash(&fleet, 20);
    fleet.run(SPREAD);
    expect_that!(quarantined(&fleet), eq(0), "the crashes before the answer don't count again");
}

/// Guards against a restarted node that lets a request pass that the others know to crash upstreams.
#[gtest]
fn a_restarted_node_learns_which_requests_are_quarantined() {
    let mut fleet = Fleet::start(24, 4);
    fleet.run(SPREAD);
    crash(&fleet, 3);
    crash(&fleet, 10);
    fleet.run(120);
    fleet.restart(5);
    fleet.run(SPREAD);
    expect_that!(quarantined(&fleet), eq(24));
}

/// Guards against messages, and lists, that grow with each crash there ever was.
#[gtest]
fn news_of_many_crashes_are_bounded_and_end() {
    let mut fleet = Fleet::start(12, 4);
    fleet.run(40);
    fleet.clear_counts();
    fleet.run(40);
    let before = fleet.traffic(40).busiest;
    for number in 0..4_000 {
        suspects::record_crash(&fleet.members[1].shared, Fingerprint(number), 1);
    }
    fleet.run(60);
    fleet.clear_counts();
    fleet.run(40);
    expect_that!(fleet.traffic(40).busiest, lt(before * 1.25));
}

/// Guards against a request that is forgotten at a start, as each node has saved only one of its crashes, and suspects of one crash
/// expire sooner.
#[gtest]
fn crashes_that_several_nodes_have_saved_expire_together() {
    for (age, known) in [(1_000, true), (6_000, false)] {
        let fleet = Fleet::start(4, 2);
        fleet.clock.advance(Duration::from_secs(10_000));
        let shared = &fleet.members[0].shared;
        let nodes: Vec<_> = fleet.members.iter().map(fleet::Member::name).collect();
        let crash = SavedCrash { fingerprint: REQUEST, epoch: 1 };
        let crash = saved::Crash::new(crash, Duration::from_secs(age), shared.wall_ms());
        let saved: Vec<_> = nodes.iter().map(|node| (&**node, vec![crash])).collect();
        suspects::restore(shared, &saved);
        expect_that!(lock(&shared.suspects).is_quarantined(REQUEST), eq(known), "{age} s ago");
    }
}
