//! Splits, retry budgets, the choice of a node, and what travels between nodes as text.

#![allow(clippy::unwrap_used, reason = "a test stops at what it did not expect")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::budget::Budget;
use mesh::decide::choose::{Peer, Tier};
use mesh::decide::queue::Load;
use mesh::decide::split::Split;
use mesh::request::call::{self, Call, Root};
use mesh::request::entry;
use mesh::request::outcome::{Fault, Header, Refusal, Why};

const MS: Duration = Duration::from_millis(1);

#[gtest]
fn a_split_keeps_its_weights_in_every_stretch() {
    let mut split = Split::default();
    let picked: Vec<usize> = (0..1_000).map(|_| split.next(&[90, 10])).collect();
    for stretch in picked.chunks(50) {
        let second = stretch.iter().filter(|part| **part == 1).count();
        expect_that!(second, all!(ge(4), le(6)));
    }
    expect_that!(Split::default().next(&[0, 5]), eq(1));
}

/// Repeats of a thousand requests that all fail and would all be sent again.
fn repeats(calls: bool) -> u32 {
    let mut budget = Budget::default();
    let mut repeats = 0;
    for _ in 0..1_000 {
        budget.first(calls);
        while budget.take(true) {
            repeats += 1;
        }
    }
    repeats
}

#[gtest]
fn retries_are_a_share_of_first_sends() {
    expect_that!(repeats(false), all!(ge(100), le(125)));
    expect_that!(repeats(true), all!(ge(20), le(30)), "their calls are repeated too");
}

/// The load that this answers: a service sheds half of everything, and trees need up to eight of its calls.
#[gtest]
fn when_most_fails_repeats_go_to_the_most_urgent() {
    let mut budget = Budget::default();
    let mut repeats = [0, 0];
    for round in 0..2_000 {
        budget.first(false);
        let urgent = round % 3 == 0;
        if round % 2 == 0 && budget.take(urgent) {
            repeats[usize::from(urgent)] += 1;
        }
    }
    expect_that!(repeats[1], ge(200), "nearly all that there are");
    expect_that!(repeats[0], le(5));
}

/// The load that this answers: half of the upstreams lose a third of their answers.
#[gtest]
fn a_node_that_spoils_requests_is_avoided_while_others_have_room() {
    let now = Instant::now();
    let (mut sound, mut lossy) = (Peer::new(now), Peer::new(now));
    for round in 0..30 {
        lossy.judge(round % 3 != 0, now);
        sound.judge(true, now);
    }
    sound.reported(busy(9, 0), now);
    lossy.reported(busy(1, 0), now);
    expect_that!(sound.cost(Tier::Region, false, now), lt(lossy.cost(Tier::Zone, false, now)));
    sound.reported(busy(10, 60), now);
    expect_that!(sound.cost(Tier::Region, false, now), gt(lossy.cost(Tier::Zone, false, now)));
    let later = now + Duration::from_secs(12);
    expect_that!(lossy.cost(Tier::Zone, false, later), lt(10 * MS), "it gets another chance");
}

/// The load that this answers: machines stand still for seconds, and what is sent to them waits for its deadline.
#[gtest]
fn a_node_that_answers_nothing_is_avoided_until_it_answers() {
    let now = Instant::now();
    let (mut still, mut sound) = (Peer::new(now), Peer::new(now));
    for peer in [&mut still, &mut sound] {
        peer.reported(busy(1, 0), now);
        peer.sent(now);
        peer.sent(now + 10 * MS);
    }
    sound.answered(now + 240 * MS);
    let later = now + 260 * MS;
    expect_that!(still.is_silent(now + 240 * MS), eq(false));
    expect_that!(still.is_silent(later), eq(true));
    expect_that!(sound.is_silent(later), eq(false));
    expect_that!(still.cost(Tier::Zone, false, later), gt(sound.cost(Tier::Far, false, later)));
    still.answered(later);
    expect_that!(still.is_silent(later + 100 * MS), eq(false));
}

#[gtest]
fn one_long_request_alone_is_not_silence_for_long() {
    let now = Instant::now();
    let mut peer = Peer::new(now);
    peer.reported(Load { held: 300_000, ..busy(1, 0) }, now);
    peer.sent(now);
    expect_that!(peer.is_silent(now + 1_700 * MS), eq(false));
    expect_that!(peer.is_silent(now + 1_900 * MS), eq(true));
    peer.ended();
    expect_that!(peer.is_silent(now + 1_900 * MS), eq(false), "nothing is out");
    peer.sent(now + 5_000 * MS);
    expect_that!(
        peer.is_silent(now + 5_100 * MS),
        eq(false),
        "it counts from the first that is out"
    );
}

/// The load that this answers: a machine runs eight times slower, and its node adds more than a path between regions.
#[gtest]
fn a_node_that_adds_time_is_avoided_and_gets_another_chance() {
    let now = Instant::now();
    let (mut slow, mut sound) = (Peer::new(now), Peer::new(now));
    for _ in 0..30 {
        slow.added(180 * MS, 50 * MS, now);
        sound.added(54 * MS, 50 * MS, now);
    }
    expect_that!(slow.cost(Tier::Zone, false, now), gt(sound.cost(Tier::Region, false, now)));
    expect_that!(sound.cost(Tier::Region, false, now), lt(8 * MS), "the path itself counts once");
    let later = now + Duration::from_secs(12);
    expect_that!(slow.cost(Tier::Zone, false, later), lt(sound.cost(Tier::Region, false, later)));
}

fn busy(running: u32, waiting: u32) -> Load {
    Load { running, waiting, limit: 10, held: 50_000 }
}

#[gtest]
fn a_node_nearby_is_used_until_one_further_away_answers_sooner() {
    let now = Instant::now();
    let (mut near, mut far) = (Peer::new(now), Peer::new(now));
    far.reported(busy(2, 0), now);
    near.reported(busy(8, 0), now);
    expect_that!(near.cost(Tier::Zone, false, now), lt(far.cost(Tier::Region, false, now)));
    near.reported(busy(10, 6), now);
    expect_that!(near.cost(Tier::Zone, false, now), gt(far.cost(Tier::Region, false, now)));
    expect_that!(near.cost(Tier::Zone, false, now), lt(far.cost(Tier::Far, false, now)));
}

#[gtest]
fn a_failed_node_rests_longer_each_time_until_it_answers() {
    let now = Instant::now();
    let mut peer = Peer::new(now);
    peer.failed(now);
    expect_that!(peer.rests(now + 200 * MS), eq(true));
    expect_that!(peer.rests(now + 400 * MS), eq(false));
    peer.failed(now);
    expect_that!(peer.rests(now + 400 * MS), eq(true));
    peer.answered(now);
    expect_that!(peer.rests(now), eq(false));
}

#[gtest]
fn a_call_travels_as_spans_of_time() {
    let now = Instant::now();
    let call = Call {
        root: Root { route: "list".into(), rank: 2, due: now + 700 * MS },
        service: "catalog".into(),
        caller: "orders".into(),
        until: now + 1_200 * MS,
        patience: 30 * MS,
        idempotent: true,
        called: false,
    };
    let text = call.header(now).to_string();
    let read: call::Header = text.parse().unwrap();
    expect_that!(read.call(now), eq(&call));
    let late = Call { root: Root { due: now, ..call.root.clone() }, ..call };
    let later = now + 50 * MS;
    let read: call::Header = late.header(later).to_string().parse().unwrap();
    expect_that!(read.call(later).root.due, eq(now));
    for wrong in ["", "catalog", "a;b;c;1;2;3;4;1", "a;b;c;x;2;3;4;1;0", "a;b;c;1;2;3;4;1;0;9"] {
        expect_that!(wrong.parse::<call::Header>().is_err(), eq(true), "{wrong}");
    }
}

/// The load that this answers: nodes are stopped one after the other, and callers come again before an upstream is back.
#[gtest]
fn a_caller_comes_back_when_an_upstream_may_be_there_again() {
    let beat = 1_500 * MS;
    for why in [Why::NoUpstream, Why::Leaving, Why::Unreachable] {
        expect_that!(entry::expected(&Refusal::new(why), beat), eq(750 * MS), "{why:?}");
    }
    let full = Refusal { why: Why::Full, wait: 40 * MS };
    expect_that!(entry::expected(&full, beat), eq(40 * MS));
}

#[gtest]
fn outcomes_travel_whole() {
    let refusal = Refusal { why: Why::Leaving, wait: 250 * MS };
    for outcome in [
        Header::Answer(true),
        Header::Answer(false),
        Header::Refused(refusal),
        Header::Failed(Fault::Died),
    ] {
        expect_that!(outcome.to_string().parse::<Header>(), ok(eq(&outcome)));
    }
    for wrong in ["", "answer", "refused;leaving", "refused;odd;3", "failed;odd", "ran"] {
        expect_that!(wrong.parse::<Header>().is_err(), eq(true), "{wrong}");
    }
}
