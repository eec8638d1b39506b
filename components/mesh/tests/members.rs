//! The membership table, with updates in any order.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::demand::Demand;
use mesh::decide::members::{
    Departure, MAX_DEPARTURES, Measurements, MemberUpdate, Merged, Record, Scope, Table,
    UpstreamState, add_departures, bucket,
};

fn record(node: &str, incarnation: u64, serial: u64) -> Record {
    Record {
        node: node.into(),
        incarnation,
        serial,
        zone: "a".into(),
        region: "r".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        service: "s".into(),
        state: UpstreamState::Ready,
        slots: 4,
        saved_upstream: None,
        departures: Vec::new(),
        stopping: false,
    }
}

fn update(record: Record) -> MemberUpdate {
    MemberUpdate {
        node: record.node.clone(),
        incarnation: record.incarnation,
        record: Some(record),
        measurements: None,
    }
}

fn measurements(node: &str, incarnation: u64, sequence: u64) -> MemberUpdate {
    let measurements = Some(Measurements { sequence, ..Measurements::default() });
    MemberUpdate { node: node.into(), incarnation, record: None, measurements }
}

fn silent(table: &Table, node: &str, now: Instant) -> Option<bool> {
    table.all(now).find(|(member, _)| *member.record.node == *node).map(|(_, silent)| silent)
}

#[gtest]
fn older_updates_change_nothing() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 1, 1), now);
    expect_that!(table.merge(update(record("b", 5, 3)), None, now), eq(Merged::Changed));
    for old in [record("b", 5, 2), record("b", 4, 9), record("b", 5, 3)] {
        expect_that!(table.merge(update(old), None, now), eq(Merged::Unchanged));
    }
    expect_that!(table.get("b").map(|member| member.record.serial), some(eq(3)));
}

/// The lookup of a service must not return, or iterate over, nodes of other services.
#[gtest]
fn nodes_are_found_by_their_service() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 1, 1), now);
    table.merge(update(Record { service: "t".into(), ..record("b", 5, 1) }), None, now);
    let names = |table: &Table, service: &str, at: Instant| -> Vec<String> {
        table.of_service(service, at).map(|(member, _)| member.record.node.to_string()).collect()
    };
    expect_that!(names(&table, "s", now), elements_are![eq("own")]);
    expect_that!(names(&table, "t", now), elements_are![eq("b")]);
    table.merge(update(record("b", 6, 1)), None, now);
    expect_that!(names(&table, "s", now), elements_are![eq("b"), eq("own")]);
    expect_that!(names(&table, "t", now), is_empty());
    let later = now + Duration::from_secs(60);
    table.sweep(later);
    expect_that!(names(&table, "s", later), elements_are![eq("own")]);
}

#[gtest]
fn a_later_incarnation_restarts_its_sequence_numbers() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 1, 1), now);
    table.merge(update(record("b", 5, 30)), None, now);
    table.merge(measurements("b", 5, 70), None, now);
    expect_that!(table.merge(update(record("b", 6, 1)), None, now), eq(Merged::Changed));
    expect_that!(table.merge(measurements("b", 5, 71), None, now), eq(Merged::Unchanged));
    expect_that!(table.merge(measurements("b", 6, 1), None, now), eq(Merged::Measurements));
}

fn departure(id: &str, started_ms: u64, since_ms: u64) -> Departure {
    Departure { id: id.to_owned(), started_ms, since_ms }
}

/// Guards against a departure that is lost when a killed node, which has forgotten it, publishes a new record.
#[gtest]
fn departures_survive_a_later_incarnation_that_does_not_know_them() {
    let now = Instant::now();
    let sender: Arc<str> = "b".into();
    let mut table = Table::new(record("own", 1, 1), now);
    let known = Record { departures: vec![departure("i", 10, 100)], ..record("b", 5, 3) };
    table.merge(update(known.clone()), Some(&sender), now);
    let told = |table: &Table| table.changes_since(0, "b", true).0;
    expect_that!(told(&table).iter().any(|update| *update.node == *sender), eq(false));
    table.merge(update(record("b", 6, 1)), Some(&sender), now);
    expect_that!(table.get("b").unwrap().record.departures, eq(&known.departures));
    expect_that!(told(&table).iter().any(|update| *update.node == *sender), eq(true));
    let own = Table::new(record("b", 6, 1), now);
    expect_that!(own.unequal_buckets(&table.digests()), contains(eq(&bucket("b"))));
}

/// Guards against a record that grows with each upstream that was ever replaced.
#[gtest]
fn the_latest_departures_are_kept() {
    let mut known = Vec::new();
    for number in 1..=20 {
        let id = format!("i-{number}");
        expect_that!(add_departures(&mut known, &[departure(&id, 10, number)]), eq(true));
        expect_that!(add_departures(&mut known, &[departure(&id, 9, number)]), eq(false));
    }
    expect_that!(known.len(), eq(MAX_DEPARTURES));
    expect_that!(known.iter().map(|departure| departure.since_ms).min(), some(eq(13)));
    expect_that!(add_departures(&mut known, &[departure("i-1", 10, 1)]), eq(false));
}

#[gtest]
fn a_later_incarnation_of_the_own_node_is_reported() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 7, 1), now);
    expect_that!(table.merge(update(record("own", 9, 4)), None, now), eq(Merged::Superseded(9)));
    for (incarnation, serial) in [(7, 1), (6, 4)] {
        let told = update(record("own", incarnation, serial));
        expect_that!(table.merge(told, None, now), eq(Merged::Unchanged));
    }
}

/// Guards against another writer's data under a node's own incarnation, which would hide what the node tells.
#[gtest]
fn other_data_of_the_own_incarnation_is_reported() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 7, 1), now);
    let moved = Record { address: "127.0.0.1:9".parse().unwrap(), ..record("own", 7, 1) };
    for told in [update(record("own", 7, 4)), update(moved), measurements("own", 7, u64::MAX)] {
        expect_that!(table.merge(told, None, now), eq(Merged::Superseded(7)));
    }
    expect_that!(table.supersede(7), eq(true));
    expect_that!(table.own().unwrap().record.incarnation, eq(8));
}

/// Guards against a node name that is taken for good by a number above all others.
#[gtest]
fn updates_that_are_of_no_node_are_rejected() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 7, 1), now);
    table.merge(update(record("b", 7, 1)), None, now);
    for incarnation in [u64::MAX, (1 << 53) + 1] {
        for name in ["own", "b", "c"] {
            let told = update(record(name, incarnation, 1));
            expect_that!(table.merge(told, None, now), matches_pattern!(Merged::Rejected(_)));
        }
    }
    let mixed = MemberUpdate { node: "b".into(), ..update(record("c", 9, 1)) };
    expect_that!(table.merge(mixed, None, now), matches_pattern!(Merged::Rejected(_)));
    expect_that!(table.get("b").unwrap().record.incarnation, eq(7));
    expect_that!(table.supersede(1 << 53), eq(true));
    expect_that!(table.supersede(1 << 53), eq(false), "there is no higher one");
}

#[gtest]
fn measurements_of_an_unknown_node_are_ignored() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 1, 1), now);
    expect_that!(table.merge(measurements("b", 1, 1), None, now), eq(Merged::Unchanged));
    expect_that!(table.all(now).count(), eq(1));
}

#[gtest]
fn a_reader_gets_changes_except_its_own_updates() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 1, 1), now);
    let sender: Arc<str> = "b".into();
    table.merge(update(record("b", 1, 1)), Some(&sender), now);
    table.merge(update(record("c", 1, 1)), None, now);
    let seen = table.revision();
    let names = |updates: Vec<MemberUpdate>| {
        updates.into_iter().map(|update| update.node.to_string()).collect()
    };
    let first: Vec<String> = names(table.changes_since(0, "b", true).0);
    expect_that!(first, elements_are![eq("c"), eq("own")]);
    table.merge(measurements("c", 1, 1), None, now);
    let (next, _) = table.changes_since(seen, "b", true);
    expect_that!(next.len(), eq(1));
    expect_that!(next[0].record, none(), "the record did not change");
    expect_that!(
        table.changes_since(seen, "b", false).0,
        is_empty(),
        "measurements stay in the region"
    );
}

#[gtest]
fn a_silent_node_is_reported_and_finally_removed() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 1, 1), now);
    table.merge(update(record("b", 1, 1)), None, now);
    expect_that!(silent(&table, "b", now + Duration::from_secs(2)), some(eq(false)));
    let later = now + Duration::from_secs(4);
    expect_that!(silent(&table, "b", later), some(eq(true)));
    expect_that!(silent(&table, "own", later), some(eq(false)));
    table.refresh(Scope::Region("r"), None, &[], later);
    expect_that!(silent(&table, "b", later), some(eq(false)));
    table.sweep(later + Duration::from_secs(40));
    expect_that!(silent(&table, "b", later), none());
}

#[gtest]
fn no_node_is_silent_right_after_a_suspension() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 1, 1), now);
    table.merge(update(record("b", 1, 1)), None, now);
    let later = now + Duration::from_secs(9);
    table.refresh_all(later);
    expect_that!(silent(&table, "b", later), some(eq(false)));
}

/// Guards against roots that are admitted for slots which the rate limits of upstreams leave unused.
#[gtest]
fn demand_counts_the_slots_that_a_rate_limit_can_fill() {
    let load = (2, 0, 40, 200_000);
    for (rate, slots) in [(None, 40.0), (Some((10.0, 0.0)), 2.0), (Some((1e9, 5.0)), 40.0)] {
        let mut demand = Demand::default();
        let measurements = Measurements { load, rate, ..Measurements::default() };
        demand.add(&record("n", 1, 1), &measurements);
        expect_that!(demand.slots["s"], near(slots, 1e-9));
    }
}

/// Guards against a restarted node that knows no other node of its failure domain for seconds, as it had told of them itself.
#[gtest]
fn a_restarted_node_is_told_what_it_had_told() {
    let now = Instant::now();
    let mut table = Table::new(record("own", 1, 1), now);
    let source: Arc<str> = "b".into();
    for node in ["b", "c"] {
        table.merge(update(record(node, 5, 1)), Some(&source), now);
    }
    let told = |table: &Table| -> Vec<String> {
        let (updates, _) = table.changes_since(0, "b", true);
        updates.iter().map(|update| update.node.to_string()).collect()
    };
    expect_that!(told(&table), elements_are![eq("own")]);
    table.merge(update(record("b", 6, 1)), Some(&source), now);
    expect_that!(told(&table), contains(eq("c")));
}
