//! Requests whose calls would have to leave the region.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use googletest::prelude::*;
use mesh::decide::choose::{Peer, Tier};
use mesh::decide::locality::{Locality, Names};
use mesh::decide::select::{self, Candidate};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn names(names: &[&str]) -> Names {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn map(entries: &[(&str, &[&str])]) -> BTreeMap<Arc<str>, Names> {
    entries.iter().map(|(name, values)| (Arc::from(*name), names(values))).collect()
}

/// Three services in a chain of calls; the leaf is called by `stock` only.
fn calls() -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
    map(&[("lookup", &["ledger"]), ("ledger", &["stock"]), ("stock", &["leaf"])])
}

/// Guards against trees whose eight leaf calls each cross to another region, as the region of their root has lost the
/// leaf's upstreams.
#[gtest]
fn a_region_without_a_service_deep_in_the_tree_is_a_detour() {
    let present = map(&[
        ("lookup", &["east", "west"]),
        ("ledger", &["east", "west"]),
        ("stock", &["east", "west"]),
        ("leaf", &["west"]),
    ]);
    let locality = Locality::new(&calls(), &present);
    for service in ["lookup", "ledger", "stock"] {
        expect_that!(locality.leaves_region(service, "east"), eq(true), "{service}");
        expect_that!(locality.leaves_region(service, "west"), eq(false), "{service}");
    }
    expect_that!(locality.leaves_region("leaf", "east"), eq(false));
    expect_that!(locality.describe(), eq("ledger=east lookup=east stock=east"));
}

/// Guards against a choice that changes while all services are everywhere, or one of them is nowhere.
#[gtest]
fn complete_regions_and_services_that_are_gone_change_nothing() {
    let everywhere: &[&str] = &["east", "west"];
    let mut present = map(&[
        ("lookup", everywhere),
        ("ledger", everywhere),
        ("stock", everywhere),
        ("leaf", everywhere),
    ]);
    expect_that!(Locality::new(&calls(), &present), eq(&Locality::default()));
    present.insert("leaf".into(), Names::new());
    expect_that!(Locality::new(&calls(), &present), eq(&Locality::default()));
}

/// Guards against an endless search where services call each other in a circle.
#[gtest]
fn services_that_call_each_other_are_followed_once() {
    let calls = map(&[("a", &["b"]), ("b", &["a", "c"])]);
    let present = map(&[("a", &["east", "west"]), ("b", &["east", "west"]), ("c", &["west"])]);
    let locality = Locality::new(&calls, &present);
    expect_that!(locality.leaves_region("a", "east"), eq(true));
    expect_that!(locality.leaves_region("b", "east"), eq(true));
}

/// Guards against a detour that keeps requests at home, and against one that is taken although the other region is gone.
#[gtest]
fn a_request_goes_where_its_calls_can_stay() {
    let now = Instant::now();
    let idle = Peer::new(now);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let home = Candidate {
        value: "home",
        peer: Some(&idle),
        tier: Tier::Zone,
        silent: false,
        leaving: false,
        detour: true,
    };
    let remote = Candidate { value: "remote", tier: Tier::Remote, detour: false, ..home };
    let chosen = select::select([home, remote].into_iter(), now, &mut random);
    expect_that!(chosen, some(eq(("remote", true))));
    let mut lost = Peer::new(now);
    lost.record_failure(now);
    let lost = Candidate { peer: Some(&lost), ..remote };
    let chosen = select::select([home, lost].into_iter(), now, &mut random);
    expect_that!(chosen, some(eq(("home", true))));
}
