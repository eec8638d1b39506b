//! Membership: merging records and spreading updates by gossip.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use membership::{Config, Member, ServedUpstream, Status, Table, UpstreamState};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use units::{Clock, Incarnation, ManualClock, Version};

const CONFIG: Config =
    Config { suspicion_timeout: Duration::from_secs(2), gone_retention: Duration::from_secs(600) };

fn member(index: usize, domain: &str) -> Member {
    let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
    Member {
        node: format!("n{index}").parse().unwrap(),
        domain: domain.parse().unwrap(),
        region: "r".parse().unwrap(),
        incarnation: Incarnation(1),
        serial: 0,
        status: Status::Alive,
        peer_address: address,
        control_address: address,
        upstream: Some(ServedUpstream {
            service: "s".parse().unwrap(),
            slots: 1,
            state: UpstreamState::Serving,
        }),
        version: Version(0),
    }
}

fn table(own: usize, others: usize, now: Instant) -> Table {
    let mut table = Table::new(member(own, "d"), CONFIG);
    table.merge((0..others).filter(|index| *index != own).map(|index| member(index, "d")), now);
    table
}

#[gtest]
fn an_unresponsive_member_is_suspected_and_then_declared_dead() -> googletest::Result<()> {
    let clock = ManualClock::new();
    let mut table = table(0, 3, clock.now());
    let unresponsive = member(1, "d").node;
    expect_that!(table.suspect(&unresponsive, clock.now()), some(anything()));
    expect_that!(
        table.get(&unresponsive).or_fail()?.accepts_requests(),
        eq(true),
        "a suspected member still accepts requests"
    );
    clock.advance(Duration::from_millis(1_999));
    expect_that!(table.tick(clock.now()).is_empty(), eq(true));
    clock.advance(Duration::from_millis(1));
    let changes = table.tick(clock.now());
    expect_that!(changes.len(), eq(1));
    expect_that!(changes[0].urgent, eq(true));
    expect_that!(table.get(&unresponsive).or_fail()?.status, eq(Status::Dead));
    clock.advance(Duration::from_secs(600));
    table.tick(clock.now());
    expect_that!(table.get(&unresponsive), none());
    Ok(())
}

#[gtest]
fn a_member_refutes_a_record_that_declares_it_dead() -> googletest::Result<()> {
    let clock = ManualClock::new();
    let (mut one, mut other) = (table(0, 2, clock.now()), table(1, 2, clock.now()));
    one.suspect(&member(1, "d").node, clock.now());
    clock.advance(Duration::from_secs(2));
    one.tick(clock.now());
    let record = one.get(&member(1, "d").node).or_fail()?.clone();
    expect_that!(record.status, eq(Status::Dead));
    expect_that!(other.merge([record], clock.now()).len(), eq(1));
    one.merge([other.own().clone()], clock.now());
    expect_that!(one.get(&member(1, "d").node).or_fail()?.status, eq(Status::Alive));
    Ok(())
}

#[gtest]
fn a_restart_after_the_clock_was_set_back_takes_a_higher_incarnation() {
    let clock = ManualClock::new();
    let mut restarted =
        Table::new(Member { incarnation: Incarnation(5), ..member(0, "d") }, CONFIG);
    restarted.merge([Member { incarnation: Incarnation(9), ..member(0, "d") }], clock.now());
    expect_that!(restarted.own().incarnation, eq(Incarnation(10)));
}

#[gtest]
fn a_drain_is_urgent_and_an_older_record_does_not_revive_a_node_that_left() -> googletest::Result<()>
{
    let clock = ManualClock::new();
    let (mut one, mut leaving) = (table(0, 2, clock.now()), table(1, 2, clock.now()));
    let draining = ServedUpstream {
        service: "s".parse().or_fail()?,
        slots: 1,
        state: UpstreamState::Draining,
    };
    expect_that!(leaving.set_upstream(Some(draining.clone())), eq(true));
    expect_that!(leaving.set_upstream(Some(draining)), eq(false), "unchanged");
    let changes = one.merge([leaving.own().clone()], clock.now());
    expect_that!(changes[0].urgent, eq(true));
    leaving.leave();
    one.merge([leaving.own().clone()], clock.now());
    expect_that!(one.merge([member(1, "d")], clock.now()).is_empty(), eq(true), "an older record");
    expect_that!(one.get(&member(1, "d").node).or_fail()?.status, eq(Status::Left));
    Ok(())
}

#[gtest]
fn records_learned_in_a_large_sync_are_not_gossiped_again() {
    let now = ManualClock::new().now();
    let mut table = Table::new(member(0, "d"), CONFIG);
    table.take_updates(1);
    let before = table.pending_updates();
    expect_that!(
        table.merge_all((1..50).map(|index| member(index, "d")).collect(), now).len(),
        eq(49)
    );
    expect_that!(table.pending_updates(), eq(before));
    table.merge_all((50..52).map(|index| member(index, "d")).collect(), now);
    expect_that!(table.pending_updates(), eq(before + 2));
}

#[gtest]
fn every_member_of_the_domain_is_probed_once_a_round() {
    let mut table = table(0, 20, ManualClock::new().now());
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut seen: Vec<String> = (0..19)
        .filter_map(|_| table.next_probe(&mut random))
        .map(|member| member.node.to_string())
        .collect();
    seen.sort();
    seen.dedup();
    expect_that!(seen.len(), eq(19));
}

#[gtest]
fn every_member_selects_the_same_delegates() {
    let now = ManualClock::new().now();
    let names = |own: usize| -> Vec<String> {
        let table = table(own, 30, now);
        table
            .delegates(&member(0, "d").domain)
            .iter()
            .map(|member| member.node.to_string())
            .collect()
    };
    expect_that!(names(3), eq(&names(17)));
    expect_that!(names(3).len(), eq(2));
}

/// Gossip in rounds: each node exchanges pending updates with one other node.
#[gtest]
fn an_update_reaches_a_hundred_members_within_twelve_rounds() {
    const NODES: usize = 100;
    let now = ManualClock::new().now();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut tables: Vec<Table> = (0..NODES).map(|own| table(own, NODES, now)).collect();
    for table in &mut tables {
        while table.pending_updates() > 0 {
            table.take_updates(NODES);
        }
    }
    tables[0].leave();
    let mut rounds = 0;
    let has_update = |table: &Table| {
        table.get(&member(0, "d").node).is_some_and(|member| member.status == Status::Left)
    };
    while !tables.iter().all(has_update) && rounds < 30 {
        rounds += 1;
        for index in 0..NODES {
            let Some(to) = tables[index].next_probe(&mut random) else { continue };
            let other: usize = to.node.as_str()[1..].parse().unwrap();
            let updates = tables[index].take_updates(16);
            tables[other].merge(updates, now);
            let answer = tables[other].take_updates(16);
            tables[index].merge(answer, now);
        }
    }
    expect_that!(rounds, le(12));
}

fn record() -> impl Strategy<Value = Member> {
    let status =
        prop::sample::select(vec![Status::Alive, Status::Suspect, Status::Dead, Status::Left]);
    (1_usize..4, 1_u64..3, 0_u64..3, status, 0_u64..4).prop_map(
        |(index, incarnation, serial, status, version)| Member {
            incarnation: Incarnation(incarnation),
            serial,
            status,
            version: Version(version),
            ..member(index, "d")
        },
    )
}

proptest! {
    /// All tables converge, whatever the order of the records and however often each arrives.
    #[test]
    fn merging_does_not_depend_on_the_order(records in prop::collection::vec(record(), 0..20), shift: usize) {
        let now = ManualClock::new().now();
        let fold = |records: &[Member]| {
            let mut table = Table::new(member(0, "d"), CONFIG);
            for record in records { table.merge([record.clone()], now); }
            for record in records { table.merge([record.clone()], now); }
            table.digests()
        };
        let mut rotated = records.clone();
        rotated.rotate_left(if records.is_empty() { 0 } else { shift % records.len() });
        prop_assert_eq!(fold(&records), fold(&rotated));
    }
}
