//! The configuration as a fold: one winner of a race, the same at every reader, and never a lower version.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use googletest::prelude::*;
use journal::{ChangeId, Entry, Event, Fold, Outcome, Record, Snapshot, Step};
use proptest::prelude::*;
use units::{Offset, Version};

fn publish(id: &str, base: u64) -> Record {
    Record::Publish {
        id: ChangeId(id.to_owned()),
        base: Version(base),
        author: "hana".parse().unwrap(),
        text: format!("call GET /{id} to a # hana").into(),
    }
}

fn entry(offset: u64, record: &Record) -> Entry {
    Entry { offset: Offset(offset), text: serde_json::to_string(record).unwrap() }
}

fn from_start() -> Fold {
    let mut fold = Fold::new();
    fold.begin(Offset(0));
    fold
}

/// Reads a log from its first retained record to its end, as a node does.
fn read(fold: &mut Fold, log: &[Record], first: usize) {
    loop {
        fold.begin(Offset(first as u64));
        let next = fold.next().0 as usize;
        let mut rewound = false;
        for (offset, record) in log.iter().enumerate().skip(next) {
            if let Step::Rewind(_) = fold.apply(&entry(offset as u64, record)) {
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
    let mut fold = from_start();
    fold.apply(&entry(0, &publish("a", 0)));
    let lost = fold.apply(&entry(1, &publish("b", 0)));
    expect_that!(
        matches!(lost, Step::Event(Event::Conflict { current: Version(1), .. })),
        eq(true)
    );
    expect_that!(fold.version(), eq(Version(1)));
    expect_that!(fold.outcome(&ChangeId("a".into())), some(eq(&Outcome::Accepted(Version(1)))));
    expect_that!(fold.outcome(&ChangeId("b".into())), some(eq(&Outcome::Conflict(Version(1)))));
    fold.apply(&entry(2, &publish("b2", 1)));
    expect_that!(fold.version(), eq(Version(3)));
}

#[gtest]
fn what_can_not_be_read_has_no_effect() {
    let mut fold = from_start();
    fold.apply(&entry(0, &publish("a", 0)));
    let step = fold.apply(&Entry { offset: Offset(1), text: "{\"kind\":\"new\"}".to_owned() });
    expect_that!(matches!(step, Step::Event(Event::Unreadable(_))), eq(true));
    expect_that!(fold.version(), eq(Version(1)));
    expect_that!(fold.next(), eq(Offset(2)));
}

#[gtest]
fn a_late_reader_waits_for_a_snapshot_and_then_agrees() -> googletest::Result<()> {
    let mut early = from_start();
    let mut log = vec![publish("a", 0), publish("b", 1), publish("c", 2)];
    read(&mut early, &log, 0);
    let snapshot = early.snapshot().or_fail()?.clone();
    log.push(publish("d", 3));
    log.push(Record::Snapshot(snapshot));
    log.push(publish("e", 4));
    read(&mut early, &log, 0);
    let mut late = Fold::new();
    read(&mut late, &log[..4], 2);
    expect_that!(late.snapshot(), none(), "nothing can be judged before the snapshot");
    read(&mut late, &log, 2);
    expect_that!(late.version(), eq(early.version()));
    expect_that!(late.next(), eq(early.next()));
    Ok(())
}

#[gtest]
fn a_reader_that_missed_records_keeps_its_version_until_it_knows_better() -> googletest::Result<()>
{
    let mut fold = from_start();
    fold.apply(&entry(0, &publish("a", 0)));
    fold.begin(Offset(5));
    expect_that!(fold.snapshot(), none());
    fold.apply(&entry(5, &publish("x", 1)));
    expect_that!(
        fold.version(),
        eq(Version(1)),
        "a publish can't be judged without the records before it"
    );
    let older = Snapshot { next: Offset(5), current: None, outcomes: Vec::new() };
    fold.apply(&entry(6, &Record::Snapshot(older)));
    expect_that!(fold.version(), eq(Version(1)), "a version never goes back");
    Ok(())
}

#[gtest]
fn a_peer_s_state_is_taken_over_only_when_it_is_further_on() -> googletest::Result<()> {
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
enum Step2 {
    Publish(u64),
    Snapshot,
    Garbage,
}

fn steps() -> impl Strategy<Value = Vec<Step2>> {
    let step = prop_oneof![3 => (0_u64..12).prop_map(Step2::Publish), 1 => Just(Step2::Snapshot), 1 => Just(Step2::Garbage)];
    prop::collection::vec(step, 0..30)
}

proptest! {
    /// Readers that start anywhere, fall behind retention or take over a peer's state end at the version of the one
    /// that read everything, or know that they don't know; and none ever goes back.
    #[test]
    fn all_readers_agree(steps in steps(), first in 0_usize..30, stop in 0_usize..30) {
        let mut whole = from_start();
        let mut log = Vec::new();
        for (index, step) in steps.iter().enumerate() {
            log.push(match step {
                Step2::Publish(base) => publish(&format!("p{index}"), *base),
                Step2::Snapshot => Record::Snapshot(whole.snapshot().unwrap().clone()),
                Step2::Garbage => Record::Applied { version: Version(9), domain: "d".parse().unwrap(), at: 0 },
            });
            let before = whole.version();
            read(&mut whole, &log, 0);
            prop_assert!(whole.version() >= before);
        }
        let mut late = Fold::new();
        read(&mut late, &log, first.min(log.len()));
        if late.snapshot().is_some() {
            prop_assert_eq!(late.version(), whole.version());
        }
        let mut interrupted = from_start();
        read(&mut interrupted, &log[..stop.min(log.len())], 0);
        let before = interrupted.version();
        read(&mut interrupted, &log, first.min(log.len()));
        prop_assert!(interrupted.version() >= before);
        if interrupted.snapshot().is_some() {
            prop_assert_eq!(interrupted.version(), whole.version());
        }
    }
}
