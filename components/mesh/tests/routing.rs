//! Splits, retry budgets, node selection, and the headers between nodes.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::budget::{self, Budget, Rank};
use mesh::decide::choose::{self, Peer, Tier};
use mesh::decide::queue::Load;
use mesh::decide::split::Split;
use mesh::request::answer;
use mesh::request::call::{self, Call, Root};
use mesh::request::outcome::{Fault, Header, Refusal, RefusalReason};
use units::Rate;

const MS: Duration = Duration::from_millis(1);

#[gtest]
fn a_split_keeps_its_weights_in_every_run_of_requests() {
    let mut split = Split::default();
    let picked: Vec<usize> = (0..1_000).map(|_| split.next(&[90, 10])).collect();
    for run in picked.chunks(50) {
        let second = run.iter().filter(|index| **index == 1).count();
        expect_that!(second, all!(ge(4), le(6)));
    }
    expect_that!(Split::default().next(&[0, 5]), eq(1));
}

/// Guards against a large answer that crosses regions only to be thrown away.
#[gtest]
fn a_large_answer_is_not_hedged_to_another_region() {
    for tier in [Tier::Zone, Tier::Region, Tier::Remote] {
        expect_that!(choose::may_hedge(false, tier), eq(true), "{tier:?}");
        expect_that!(choose::may_hedge(true, tier), eq(tier != Tier::Remote), "{tier:?}");
    }
}

/// Retries of a thousand requests that all fail and would all be retried.
fn retries(calls: bool) -> u32 {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_send(calls, Rank::new(0, 0), now);
        while budget.try_retry(Rank::new(0, 0), now) {
            retries += 1;
        }
    }
    retries
}

#[gtest]
fn retries_are_a_share_of_first_sends() {
    expect_that!(retries(false), all!(ge(100), le(125)));
    expect_that!(retries(true), all!(ge(20), le(30)), "a retry repeats its calls too");
}

/// Guards against failing call trees when a service sheds half of its requests and trees need up to eight calls to it.
#[gtest]
fn when_many_requests_fail_retries_go_to_the_most_urgent() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let mut retries = [0, 0];
    for round in 0..2_000 {
        let urgent = round % 3 == 0;
        let rank = Rank::new(u8::from(!urgent), (round * 7_919 % 65_536) as u16);
        budget.record_send(false, rank, now);
        if round % 2 == 0 && budget.try_retry(rank, now) {
            retries[usize::from(urgent)] += 1;
        }
    }
    expect_that!(retries[1], ge(200), "nearly all of the budget");
    expect_that!(retries[0], le(5));
}

/// Guards against sending requests to lossy upstreams: half of the upstreams lose a third of their answers.
#[gtest]
fn a_node_with_failures_is_avoided_while_others_have_free_slots() {
    let now = Instant::now();
    let (mut healthy, mut lossy) = (Peer::new(now), Peer::new(now));
    for round in 0..30 {
        lossy.record_outcome(round % 3 != 0, now);
        healthy.record_outcome(true, now);
    }
    healthy.record_report(busy(9, 0), now);
    lossy.record_report(busy(1, 0), now);
    expect_that!(healthy.cost(Tier::Region, false, now), lt(lossy.cost(Tier::Zone, false, now)));
    healthy.record_report(busy(10, 60), now);
    expect_that!(healthy.cost(Tier::Region, false, now), gt(lossy.cost(Tier::Zone, false, now)));
    let later = now + Duration::from_secs(12);
    expect_that!(lossy.cost(Tier::Zone, false, later), lt(10 * MS), "it is used again");
}

/// Guards against requests that wait until their deadline at a VM that is suspended for seconds.
#[gtest]
fn a_silent_node_is_avoided_until_it_answers() {
    let now = Instant::now();
    let (mut stalled, mut healthy) = (Peer::new(now), Peer::new(now));
    for peer in [&mut stalled, &mut healthy] {
        peer.record_report(busy(1, 0), now);
        peer.record_sent(now);
        peer.record_sent(now + 10 * MS);
    }
    healthy.record_answer(now + 240 * MS);
    let later = now + 260 * MS;
    expect_that!(stalled.is_silent(now + 240 * MS), eq(false));
    expect_that!(stalled.is_silent(later), eq(true));
    expect_that!(healthy.is_silent(later), eq(false));
    expect_that!(
        stalled.cost(Tier::Zone, false, later),
        gt(healthy.cost(Tier::Remote, false, later))
    );
    stalled.record_answer(later);
    expect_that!(stalled.is_silent(later + 100 * MS), eq(false));
}

#[gtest]
fn a_single_long_request_makes_a_node_silent_only_after_twice_the_time() {
    let now = Instant::now();
    let mut peer = Peer::new(now);
    peer.record_report(Load { held_us: 300_000, ..busy(1, 0) }, now);
    peer.record_sent(now);
    expect_that!(peer.is_silent(now + 1_700 * MS), eq(false));
    expect_that!(peer.is_silent(now + 1_900 * MS), eq(true));
    peer.record_ended();
    expect_that!(peer.is_silent(now + 1_900 * MS), eq(false), "no request is in flight");
    peer.record_sent(now + 5_000 * MS);
    expect_that!(
        peer.is_silent(now + 5_100 * MS),
        eq(false),
        "the time counts from the first request in flight"
    );
}

/// Guards against using a VM that runs eight times slower: its node adds more time than a path between regions.
#[gtest]
fn a_slow_node_is_avoided_and_then_used_again() {
    let now = Instant::now();
    let (mut slow, mut healthy) = (Peer::new(now), Peer::new(now));
    for _ in 0..30 {
        slow.record_overhead(180 * MS, 50 * MS, now);
        healthy.record_overhead(54 * MS, 50 * MS, now);
    }
    expect_that!(slow.cost(Tier::Zone, false, now), gt(healthy.cost(Tier::Region, false, now)));
    expect_that!(
        healthy.cost(Tier::Region, false, now),
        lt(8 * MS),
        "the path is not counted twice"
    );
    let later = now + Duration::from_secs(12);
    expect_that!(slow.cost(Tier::Zone, false, later), lt(healthy.cost(Tier::Region, false, later)));
}

/// Guards against requests that all go to the nearest node although its upstream takes few, and against values that
/// no duration can hold.
#[gtest]
fn a_rate_limit_makes_a_node_cost_the_wait_for_its_tokens() {
    let now = Instant::now();
    let mut peer = Peer::new(now);
    let limited = |rate, tokens| Load { rate: Some(Rate(rate)), tokens, ..busy(1, 0) };
    peer.record_report(limited(10.0, 1.0), now);
    expect_that!(peer.cost(Tier::Zone, false, now), eq(Duration::ZERO));
    peer.record_report(limited(10.0, 0.0), now);
    expect_that!(peer.cost(Tier::Zone, false, now), eq(100 * MS));
    peer.record_sent(now);
    peer.record_sent(now);
    expect_that!(peer.cost(Tier::Zone, false, now), eq(300 * MS));
    for (rate, tokens) in [(0.0, 0.0), (0.0, 3.0), (f64::MIN_POSITIVE, 0.0)] {
        peer.record_report(limited(rate, tokens), now);
        expect_that!(peer.cost(Tier::Zone, false, now), le(Duration::from_secs(60)));
    }
}

fn busy(running: u32, waiting: u32) -> Load {
    Load { running, waiting, limit: 10, held_us: 50_000, ..Load::default() }
}

#[gtest]
fn a_nearby_node_is_used_until_a_remote_one_answers_sooner() {
    let now = Instant::now();
    let (mut near, mut far) = (Peer::new(now), Peer::new(now));
    far.record_report(busy(2, 0), now);
    near.record_report(busy(8, 0), now);
    expect_that!(near.cost(Tier::Zone, false, now), lt(far.cost(Tier::Region, false, now)));
    near.record_report(busy(10, 6), now);
    expect_that!(near.cost(Tier::Zone, false, now), gt(far.cost(Tier::Region, false, now)));
    expect_that!(near.cost(Tier::Zone, false, now), lt(far.cost(Tier::Remote, false, now)));
}

#[gtest]
fn a_failed_node_is_avoided_for_longer_each_time_until_it_answers() {
    let now = Instant::now();
    let mut peer = Peer::new(now);
    peer.record_failure(now);
    expect_that!(peer.is_avoided(now + 200 * MS), eq(true));
    expect_that!(peer.is_avoided(now + 400 * MS), eq(false));
    peer.record_failure(now);
    expect_that!(peer.is_avoided(now + 400 * MS), eq(true));
    peer.record_answer(now);
    expect_that!(peer.is_avoided(now), eq(false));
}

#[gtest]
fn a_call_header_carries_times_relative_to_now() {
    let now = Instant::now();
    let call = Call {
        root: Root { route: "list".into(), priority: 2, target_time: now + 700 * MS, number: 9 },
        service: "catalog".into(),
        caller: "orders".into(),
        deadline: now + 1_200 * MS,
        max_wait: 30 * MS,
        idempotent: true,
        internal: false,
    };
    let text = call.header(now).to_string();
    let read: call::Header = text.parse().unwrap();
    expect_that!(read.call(now), eq(&call));
    let late = Call { root: Root { target_time: now, ..call.root.clone() }, ..call };
    let later = now + 50 * MS;
    let read: call::Header = late.header(later).to_string().parse().unwrap();
    expect_that!(read.call(later).root.target_time, eq(now));
    let earlier = text.rsplit_once(';').unwrap().0;
    let read: call::Header = earlier.parse().unwrap();
    expect_that!(read.call(now).root.number, eq(budget::UNKNOWN));
    for wrong in [
        "",
        "catalog",
        "a;b;c;1;2;3;4;1",
        "a;b;c;x;2;3;4;1;0",
        "a;b;c;x;2;3;4;1;0;9",
        "a;b;c;1;2;3;4;1;0;65536",
        "a;b;c;1;2;3;4;1;0;9;9",
    ] {
        expect_that!(wrong.parse::<call::Header>().is_err(), eq(true), "{wrong}");
    }
}

/// Guards against clients that retry before an upstream is back, while nodes are restarted one after the other.
#[gtest]
fn a_client_is_told_to_retry_when_an_upstream_may_be_back() {
    let interval = 1_500 * MS;
    for reason in [RefusalReason::NoUpstream, RefusalReason::Leaving, RefusalReason::Unreachable] {
        expect_that!(
            answer::expected_wait(&Refusal::new(reason), interval),
            eq(750 * MS),
            "{reason:?}"
        );
    }
    let full = Refusal { reason: RefusalReason::Full, wait: 40 * MS };
    expect_that!(answer::expected_wait(&full, interval), eq(40 * MS));
}

#[gtest]
fn outcome_headers_round_trip() {
    let refusal = Refusal { reason: RefusalReason::Leaving, wait: 250 * MS };
    for outcome in [
        Header::Answer(true),
        Header::Answer(false),
        Header::Refused(refusal),
        Header::Failed(Fault::Crashed),
    ] {
        expect_that!(outcome.to_string().parse::<Header>(), ok(eq(&outcome)));
    }
    for wrong in ["", "answer", "refused;leaving", "refused;odd;3", "failed;odd", "ran"] {
        expect_that!(wrong.parse::<Header>().is_err(), eq(true), "{wrong}");
    }
}
