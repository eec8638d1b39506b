//! Which requests are kept from the next upstream.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use proptest::prelude::*;
use quarantine::{Death, Fingerprint, Table, Told};
use units::{Clock, ManualClock};

const POISON: Fingerprint = Fingerprint(1);
const BYSTANDER: Fingerprint = Fingerprint(2);

fn told(fingerprint: Fingerprint, node: &str, epoch: u64) -> Told {
    let death = node.parse().ok().map(|node| Death { node, epoch });
    Told { fingerprint, death, call: "POST /bookings".to_owned() }
}

fn now() -> Instant {
    ManualClock::new().now()
}

#[gtest]
fn the_second_death_puts_a_request_in_quarantine() {
    let mut table = Table::new();
    expect_that!(table.merge(&told(POISON, "a", 1), now()), eq(true));
    expect_that!(table.holds(POISON), eq(false));
    expect_that!(table.merge(&told(POISON, "a", 1), now()), eq(false), "the same death is no news");
    expect_that!(table.holds(POISON), eq(false));
    table.merge(&told(POISON, "b", 1), now());
    expect_that!(table.holds(POISON), eq(true));
}

#[gtest]
fn an_answer_clears_a_bystander() {
    let mut table = Table::new();
    table.merge(&told(POISON, "a", 1), now());
    table.merge(&told(BYSTANDER, "a", 1), now());
    expect_that!(table.answered(BYSTANDER), some(anything()));
    expect_that!(table.answered(BYSTANDER), none(), "told once");
    table.merge(&told(POISON, "b", 1), now());
    table.merge(&told(BYSTANDER, "b", 1), now());
    expect_that!(table.holds(POISON), eq(true));
    expect_that!(table.holds(BYSTANDER), eq(false));
}

#[gtest]
fn quarantine_ends() {
    let clock = ManualClock::new();
    let mut table = Table::new();
    table.merge(&told(POISON, "a", 1), clock.now());
    table.merge(&told(POISON, "b", 1), clock.now());
    clock.advance(Duration::from_secs(600));
    table.tick(clock.now());
    expect_that!(table.holds(POISON), eq(false));
}

#[gtest]
fn a_key_names_a_request_whatever_its_body() {
    expect_that!(Fingerprint::of_key(b"k"), eq(Fingerprint::of_key(b"k")));
    expect_that!(
        Fingerprint::of_request("GET", "/a", b""),
        not(eq(Fingerprint::of_request("GET", "/", b"a")))
    );
}

proptest! {
    #[test]
    fn the_order_of_news_does_not_matter(news in prop::collection::vec((0_u64..3, 0_u64..3, any::<bool>()), 0..12), seed: usize) {
        let all: Vec<Told> = news
            .iter()
            .map(|(fingerprint, epoch, clear)| {
                let mut told = told(Fingerprint(*fingerprint), "a", *epoch);
                if *clear { told.death = None; }
                told
            })
            .collect();
        let mut turned = all.clone();
        turned.rotate_left(if all.is_empty() { 0 } else { seed % all.len() });
        let held = |news: &[Told]| {
            let mut table = Table::new();
            for told in news { table.merge(told, now()); }
            (0..3).map(|id| table.holds(Fingerprint(id))).collect::<Vec<_>>()
        };
        prop_assert_eq!(held(&all), held(&turned));
    }
}
