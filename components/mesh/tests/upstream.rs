//! The state of the upstream beside a node, from its announcements.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::members::UpstreamState;
use mesh::platform::{AnnouncedState, Announcement, Heartbeat};
use mesh::process::upstream::{Change, HealthCheck, Moment, Predecessor, Upstream};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

fn at(now: Instant) -> Moment {
    Moment { monotonic: now, wall_ms: 1_000_000 }
}

fn heartbeat(id: &str, started_ms: u64, sequence: u64, state: AnnouncedState) -> Announcement {
    Announcement::Heartbeat(Heartbeat {
        id: id.to_owned(),
        started_ms,
        sequence,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 8,
        state,
        warmup: Duration::ZERO,
    })
}

fn leave(id: &str, started_ms: Option<u64>) -> Announcement {
    Announcement::Leave { id: id.to_owned(), started_ms }
}

#[gtest]
fn no_request_is_sent_before_the_first_announcement() {
    let now = Instant::now();
    let upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    expect_that!(upstream.state(), eq(UpstreamState::Unknown));
    expect_that!(upstream.accepting(at(now)), none());
}

#[gtest]
fn a_leaving_upstream_stays_leaving_after_late_announcements() {
    let now = Instant::now();
    let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    upstream.apply(heartbeat("i", 10, 1, AnnouncedState::Ready), at(now));
    expect_that!(
        upstream.apply(heartbeat("i", 10, 3, AnnouncedState::Draining), at(now)),
        eq(Change::Updated)
    );
    expect_that!(
        upstream.apply(heartbeat("i", 10, 2, AnnouncedState::Ready), at(now)),
        eq(Change::Stale)
    );
    upstream.apply(heartbeat("i", 10, 4, AnnouncedState::Ready), at(now));
    expect_that!(upstream.state(), eq(UpstreamState::Leaving));
    expect_that!(upstream.accepting(at(now + Duration::from_secs(1))), none());
}

#[gtest]
fn an_upstream_that_sends_only_a_leave_message_is_leaving() {
    let now = Instant::now();
    let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    upstream.apply(heartbeat("i", 10, 1, AnnouncedState::Ready), at(now));
    let other = leave("j", None);
    expect_that!(upstream.apply(other, at(now)), eq(Change::Stale));
    expect_that!(upstream.apply(leave("i", None), at(now)), eq(Change::Updated));
    expect_that!(upstream.state(), eq(UpstreamState::Leaving));
}

#[gtest]
fn a_new_incarnation_replaces_the_old_one_even_under_the_same_id() {
    let now = Instant::now();
    let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    upstream.apply(heartbeat("i", 10, 9, AnnouncedState::Draining), at(now));
    expect_that!(
        upstream.apply(heartbeat("i", 20, 1, AnnouncedState::Ready), at(now)),
        eq(Change::Started)
    );
    expect_that!(upstream.state(), eq(UpstreamState::Ready));
}

#[gtest]
fn a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let now = Instant::now();
    let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    upstream.apply(heartbeat("new", 20, 1, AnnouncedState::Ready), at(now));
    expect_that!(
        upstream.apply(heartbeat("old", 10, 99, AnnouncedState::Draining), at(now)),
        eq(Change::Stale)
    );
    expect_that!(
        upstream.accepting(at(now)).map(|heartbeat| heartbeat.id.clone()),
        some(eq("new"))
    );
}

#[gtest]
fn after_missed_heartbeats_an_earlier_start_time_is_accepted() {
    let now = Instant::now();
    let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    upstream.apply(heartbeat("new", 20, 1, AnnouncedState::Ready), at(now));
    let later = now + HEARTBEAT_INTERVAL * 4;
    expect_that!(
        upstream.apply(heartbeat("back", 15, 1, AnnouncedState::Ready), at(later)),
        eq(Change::Started)
    );
}

/// The monotonic clock of a suspended VM does not count that time, but the drain time ends all the same.
#[gtest]
fn a_leaving_upstream_gets_no_work_after_a_suspension() {
    let now = Instant::now();
    let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    upstream.apply(heartbeat("i", 10, 1, AnnouncedState::Draining), at(now));
    let soon = Moment { monotonic: now + Duration::from_millis(300), wall_ms: 1_000_300 };
    expect_that!(upstream.accepting(soon), some(anything()));
    expect_that!(upstream.accepting(Moment { wall_ms: 1_005_000, ..soon }), none());
    // The wall clock may jump back.
    let late = Moment { monotonic: now + Duration::from_secs(1), wall_ms: 900_000 };
    expect_that!(upstream.accepting(late), none());
}

/// Guards against a restarted node that acknowledges that its upstream leaves, and then takes a late heartbeat for a start.
#[gtest]
fn an_unknown_upstream_that_has_left_is_not_used_after_a_late_heartbeat() {
    for started_ms in [None, Some(10)] {
        let now = Instant::now();
        let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
        upstream.apply(leave("i", started_ms), at(now));
        let later = now + Duration::from_secs(1);
        upstream.apply(heartbeat("i", 10, 7, AnnouncedState::Ready), at(later));
        expect_that!(upstream.state(), eq(UpstreamState::Leaving));
        expect_that!(upstream.accepting(at(later)), none());
    }
}

/// Guards against a restarted node that forgets what its predecessor knew, or counts the drain time anew.
#[gtest]
fn departures_are_recalled_before_and_after_a_late_heartbeat() {
    let now = Instant::now();
    let mut first = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    first.apply(heartbeat("i", 10, 1, AnnouncedState::Ready), at(now));
    first.apply(leave("i", Some(10)), at(now));
    first.apply(leave("other", Some(5)), at(now));
    let departures = first.departures();
    expect_that!(departures.len(), eq(2));
    let later = Moment { monotonic: now + Duration::from_secs(1), wall_ms: 1_001_000 };
    for heartbeat_first in [false, true] {
        let mut second = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
        let late = heartbeat("i", 10, 1, AnnouncedState::Ready);
        if heartbeat_first {
            second.apply(late.clone(), later);
        }
        expect_that!(second.recall(&departures, later), eq(heartbeat_first));
        expect_that!(second.recall(&departures, later), eq(false), "known by now");
        second.apply(late, later);
        expect_that!(second.state(), eq(UpstreamState::Leaving));
        expect_that!(second.leaving_for(later), some(eq(Duration::from_secs(1))));
        expect_that!(second.accepting(later), none());
        second.apply(heartbeat("i", 11, 1, AnnouncedState::Ready), later);
        expect_that!(second.state(), eq(UpstreamState::Ready), "another incarnation");
        expect_that!(second.departures().len(), eq(2), "the first ones are kept");
    }
}

/// Guards against an earlier incarnation that was leaving and is used again once its successor is silent.
#[gtest]
fn an_incarnation_that_has_left_is_not_used_after_its_successor_is_silent() {
    let now = Instant::now();
    for known in [AnnouncedState::Ready, AnnouncedState::Draining] {
        let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
        upstream.apply(heartbeat("old", 10, 1, known), at(now));
        upstream.apply(heartbeat("new", 20, 1, AnnouncedState::Ready), at(now));
        upstream.apply(heartbeat("old", 10, 2, AnnouncedState::Draining), at(now));
        let later = now + HEARTBEAT_INTERVAL * 4;
        upstream.apply(heartbeat("old", 10, 3, AnnouncedState::Ready), at(later));
        expect_that!(upstream.accepting(at(later)), none());
    }
}

/// Guards against a late message of an earlier incarnation that takes its successor of the same id out of use.
#[gtest]
fn a_late_leave_message_does_not_concern_the_next_incarnation() {
    let now = Instant::now();
    let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    upstream.apply(heartbeat("i", 20, 1, AnnouncedState::Ready), at(now));
    expect_that!(upstream.apply(leave("i", Some(10)), at(now)), eq(Change::Stale));
    expect_that!(upstream.state(), eq(UpstreamState::Ready));
    upstream.apply(leave("i", Some(20)), at(now));
    expect_that!(upstream.state(), eq(UpstreamState::Leaving));
    upstream.apply(heartbeat("i", 30, 1, AnnouncedState::Ready), at(now));
    expect_that!(upstream.state(), eq(UpstreamState::Ready));
}

/// Guards against one incarnation that says again and again that it is leaving, until others are forgotten.
#[gtest]
fn a_repeated_departure_is_remembered_once() {
    let now = Instant::now();
    let mut upstream = Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now);
    upstream.apply(heartbeat("new", 30, 1, AnnouncedState::Ready), at(now));
    upstream.apply(heartbeat("first", 10, 1, AnnouncedState::Draining), at(now));
    for sequence in 1..20 {
        upstream.apply(heartbeat("second", 20, sequence, AnnouncedState::Draining), at(now));
    }
    let later = now + HEARTBEAT_INTERVAL * 4;
    upstream.apply(heartbeat("first", 10, 2, AnnouncedState::Ready), at(later));
    expect_that!(upstream.state(), eq(UpstreamState::Leaving));
    expect_that!(upstream.accepting(at(later)), none());
}

/// An upstream that a process hears of, which started after it and may have had a predecessor.
fn restarted(now: Instant) -> Upstream {
    Upstream::new(HEARTBEAT_INTERVAL, DRAIN_TIME, now).with_predecessor(1_000)
}

/// Guards against a heartbeat from before the upstream left that is taken for one that stays, by a process that does not
/// know what its predecessor acknowledged.
#[gtest]
fn late_heartbeats_do_not_make_an_upstream_ready() {
    let now = Instant::now();
    let mut upstream = restarted(now);
    let ready = |sequence| heartbeat("i", 10, sequence, AnnouncedState::Ready);
    expect_that!(upstream.apply(ready(5), at(now)), eq(Change::Unconfirmed));
    expect_that!(upstream.apply(ready(4), at(now + HEARTBEAT_INTERVAL)), eq(Change::Stale));
    let soon = now + HEARTBEAT_INTERVAL / 4;
    expect_that!(upstream.apply(ready(6), at(soon)), eq(Change::Stale), "held up together");
    let later = now + HEARTBEAT_INTERVAL;
    expect_that!(upstream.apply(ready(7), at(later)), eq(Change::Unconfirmed));
    expect_that!(upstream.state(), eq(UpstreamState::Unknown));
    expect_that!(upstream.accepting(at(later)), none());
    for (id, check) in [("another", HealthCheck::Confirms), ("i", HealthCheck::Inconclusive)] {
        expect_that!(upstream.record_check(id, check, at(later)), eq(Change::None));
        expect_that!(upstream.state(), eq(UpstreamState::Unknown));
    }
}

/// Guards against an upstream that has left, goes on sending heartbeats as before, and is taken for one that stays.
#[gtest]
fn heartbeats_do_not_outweigh_a_failed_health_check() {
    let now = Instant::now();
    for check in [None, Some(HealthCheck::Denies)] {
        let mut upstream = restarted(now);
        for number in 0..20 {
            let at = at(now + HEARTBEAT_INTERVAL * number);
            upstream.apply(heartbeat("i", 10, number.into(), AnnouncedState::Ready), at);
            if let Some(check) = check {
                upstream.record_check("i", check, at);
            }
            expect_that!(upstream.state(), eq(UpstreamState::Unknown), "{check:?}");
        }
        if check.is_some() {
            // None serves as long after it has left.
            let later = at(now + HEARTBEAT_INTERVAL * 21);
            upstream.apply(heartbeat("i", 10, 21, AnnouncedState::Ready), later);
            expect_that!(upstream.state(), eq(UpstreamState::Ready));
        }
    }
}

/// Guards against an upstream that stays and is not used.
#[gtest]
fn an_upstream_is_ready_once_it_is_confirmed() {
    let now = Instant::now();
    let ready = |sequence| heartbeat("i", 10, sequence, AnnouncedState::Ready);
    let mut confirmed = restarted(now);
    confirmed.apply(ready(5), at(now));
    expect_that!(confirmed.record_check("i", HealthCheck::Confirms, at(now)), eq(Change::Started));
    expect_that!(confirmed.state(), eq(UpstreamState::Ready));

    for (known, following) in
        [(Predecessor::Absent, 0), (Predecessor::Witnessed, 1), (Predecessor::Unknown, 2)]
    {
        for known_first in [false, true] {
            let mut upstream = restarted(now);
            if known_first {
                upstream.learn_predecessor(known, at(now));
            }
            for sequence in 0..=following {
                expect_that!(upstream.state(), eq(UpstreamState::Unknown));
                upstream.apply(ready(sequence), at(now + HEARTBEAT_INTERVAL * sequence as u32));
                upstream.record_check("i", HealthCheck::Inconclusive, at(now));
            }
            upstream.learn_predecessor(known, at(now));
            expect_that!(upstream.state(), eq(UpstreamState::Ready), "{known:?}");
        }
    }

    let mut later = restarted(now);
    later.apply(heartbeat("i", 1_001, 1, AnnouncedState::Ready), at(now));
    expect_that!(later.state(), eq(UpstreamState::Ready), "it started after the process");
}

/// Guards against a confirmation that hides what the process knows of the same incarnation.
#[gtest]
fn a_confirmed_upstream_that_has_left_is_leaving() {
    let now = Instant::now();
    let mut upstream = restarted(now);
    upstream.apply(heartbeat("i", 10, 5, AnnouncedState::Ready), at(now));
    upstream.apply(leave("i", Some(10)), at(now));
    upstream.record_check("i", HealthCheck::Confirms, at(now));
    expect_that!(upstream.state(), eq(UpstreamState::Leaving));

    let mut upstream = restarted(now);
    upstream.apply(heartbeat("i", 10, 5, AnnouncedState::Ready), at(now));
    upstream.apply(heartbeat("i", 10, 6, AnnouncedState::Draining), at(now));
    expect_that!(upstream.state(), eq(UpstreamState::Leaving));
}

/// Guards against an incarnation that was replaced and is used again, as its late heartbeat comes first.
#[gtest]
fn a_late_heartbeat_of_a_replaced_incarnation_does_not_hide_its_successor() {
    let now = Instant::now();
    let mut upstream = restarted(now);
    upstream.apply(heartbeat("old", 10, 5, AnnouncedState::Ready), at(now));
    upstream.apply(heartbeat("new", 20, 1, AnnouncedState::Ready), at(now));
    let late = upstream.apply(heartbeat("old", 10, 6, AnnouncedState::Ready), at(now));
    expect_that!(late, eq(Change::Stale));
    expect_that!(upstream.record_check("old", HealthCheck::Confirms, at(now)), eq(Change::None));
    upstream.record_check("new", HealthCheck::Confirms, at(now));
    let accepting = upstream.accepting(at(now)).map(|heartbeat| heartbeat.id.clone());
    expect_that!(accepting, some(eq("new")));
}
