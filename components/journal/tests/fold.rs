//! The configuration state: one winner of racing publishes, the same result at every reader, and no decreasing version.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use googletest::prelude::*;
use journal::{ConfigurationState, Entry, Event, Outcome, PublishId, Record, Snapshot, Step};
use proptest::prelude::*;
use units::{Offset, Version};

fn publish(id: &str, base: u64) -> Record {
    Record::Publish {
        id: PublishId(id.to_owned()),
        base: Version(base),
        author: "hana".parse().unwrap(),
        text: format!("call GET /{id} to a # hana").into(),
    }
}

fn entry(offset: u64, record: &Record) -> Entry {
    Entry { offset: Offset(offset), text: serde_json::to_string(record).unwrap() }
}

fn from_start() -> ConfigurationState {
    let mut state = ConfigurationState::new();
    state.start_batch(Offset(0));
    state
}

/// Reads a log from its first retained record to its end, as a node does.
fn read(state: &mut ConfigurationState, log: &[Record], first: usize) {
    loop {
        state.start_batch(Offset(first as u64));
        let next = state.next_offset().0 as usize;
        let mut rewound = false;
        for (offset, record) in log.iter().enumerate().skip(next) {
            if let Step::Rewind(_) = state.apply(&entry(offset as u64, record)) {
                rewound = true;
                break;
            }
        }
        if !rewound {
            return;
        }
    }
}

#[gtest]
fn of_two_racing_publishers_the_first_in_the_log_wins() {
    let mut state = from_start();
    state.apply(&entry(0, &publish("a", 0)));
    let conflict = state.apply(&entry(1, &publish("b", 0)));
    expect_that!(
        matches!(conflict, Step::Event(Event::Conflict { current: Version(1), .. })),
        eq(true)
    );
    expect_that!(state.version(), eq(Version(1)));
    expect_that!(state.outcome(&PublishId("a".into())), some(eq(&Outcome::Accepted(Version(1)))));
    expect_that!(state.outcome(&PublishId("b".into())), some(eq(&Outcome::Conflict(Version(1)))));
    state.apply(&entry(2, &publish("b2", 1)));
    expect_that!(state.version(), eq(Version(3)));
}

#[gtest]
fn an_unreadable_record_has_no_effect() {
    let mut state = from_start();
    state.apply(&entry(0, &publish("a", 0)));
    let step = state.apply(&Entry { offset: Offset(1), text: "{\"kind\":\"new\"}".to_owned() });
    expect_that!(matches!(step, Step::Event(Event::Unreadable(_))), eq(true));
    expect_that!(state.version(), eq(Version(1)));
    expect_that!(state.next_offset(), eq(Offset(2)));
}

#[gtest]
fn a_late_reader_waits_for_a_snapshot_and_then_reaches_the_same_version() -> googletest::Result<()>
{
    let mut early = from_start();
    let mut log = vec![publish("a", 0), publish("b", 1), publish("c", 2)];
    read(&mut early, &log, 0);
    let snapshot = early.snapshot().or_fail()?.clone();
    log.push(publish("d", 3));
    log.push(Record::Snapshot(snapshot));
    log.push(publish("e", 4));
    read(&mut early, &log, 0);
    let mut late = ConfigurationState::new();
    read(&mut late, &log[..4], 2);
    expect_that!(late.snapshot(), none(), "nothing can be judged before the snapshot");
    read(&mut late, &log, 2);
    expect_that!(late.version(), eq(early.version()));
    expect_that!(late.next_offset(), eq(early.next_offset()));
    Ok(())
}

#[gtest]
fn a_reader_that_missed_records_ignores_publishes_and_older_snapshots() -> googletest::Result<()> {
    let mut state = from_start();
    state.apply(&entry(0, &publish("a", 0)));
    state.start_batch(Offset(5));
    expect_that!(state.snapshot(), none());
    state.apply(&entry(5, &publish("x", 1)));
    expect_that!(
        state.version(),
        eq(Version(1)),
        "a publish can't be judged without the records before it"
    );
    let older = Snapshot { next: Offset(5), current: None, outcomes: Vec::new() };
    state.apply(&entry(6, &Record::Snapshot(older)));
    expect_that!(state.version(), eq(Version(1)), "the version never decreases");
    Ok(())
}

#[gtest]
fn a_peers_state_is_adopted_only_if_it_is_ahead() -> googletest::Result<()> {
    let log = [publish("a", 0), publish("b", 1)];
    let (mut ahead, mut behind) = (from_start(), from_start());
    read(&mut ahead, &log, 0);
    read(&mut behind, &log[..1], 0);
    let old = behind.snapshot().or_fail()?.clone();
    expect_that!(behind.adopt(ahead.snapshot().or_fail()?.clone()), eq(true));
    expect_that!(behind.version(), eq(Version(2)));
    expect_that!(behind.adopt(old), eq(false));
    Ok(())
}

#[derive(Debug, Clone)]
enum LogItem {
    Publish(u64),
    Snapshot,
    Unrelated,
}

fn log_items() -> impl Strategy<Value = Vec<LogItem>> {
    let item = prop_oneof![3 => (0_u64..12).prop_map(LogItem::Publish), 1 => Just(LogItem::Snapshot), 1 => Just(LogItem::Unrelated)];
    prop::collection::vec(item, 0..30)
}

proptest! {
    /// A reader that starts at any offset or falls behind retention reaches the version of the reader of all records,
    /// or has no snapshot as long as its state is unknown; and no version ever decreases.
    #[test]
    fn all_readers_agree(items in log_items(), first in 0_usize..30, stop in 0_usize..30) {
        let mut complete = from_start();
        let mut log = Vec::new();
        for (index, item) in items.iter().enumerate() {
            log.push(match item {
                LogItem::Publish(base) => publish(&format!("p{index}"), *base),
                LogItem::Snapshot => Record::Snapshot(complete.snapshot().unwrap().clone()),
                LogItem::Unrelated => Record::Applied { version: Version(9), domain: "d".parse().unwrap(), at: 0 },
            });
            let before = complete.version();
            read(&mut complete, &log, 0);
            prop_assert!(complete.version() >= before);
        }
        let mut late = ConfigurationState::new();
        read(&mut late, &log, first.min(log.len()));
        if late.snapshot().is_some() {
            prop_assert_eq!(late.version(), complete.version());
        }
        let mut interrupted = from_start();
        read(&mut interrupted, &log[..stop.min(log.len())], 0);
        let before = interrupted.version();
        read(&mut interrupted, &log, first.min(log.len()));
        prop_assert!(interrupted.version() >= before);
        if interrupted.snapshot().is_some() {
            prop_assert_eq!(interrupted.version(), complete.version());
        }
    }
}
