//! Order of documents of the configuration that bear one version.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use googletest::prelude::*;
use mesh::configuration::Digest;
use mesh::decide::revision::{Origin, Revision};
use mesh::platform::StoreEpoch;

fn revision(version: u64, digest: u64, epoch: u64, offset: u64) -> Revision {
    let origin = Origin { epoch: Some(StoreEpoch(epoch)), offset };
    Revision { version, digest: Digest(digest), origin }
}

/// All documents of one version that the cases below have.
fn documents() -> Vec<Revision> {
    let mut all = Vec::new();
    for digest in 1..4 {
        for epoch in 1..4 {
            for offset in 4..7 {
                all.push(revision(5, digest, epoch, offset));
            }
        }
    }
    all
}

#[gtest]
fn a_higher_version_replaces_whatever_its_origin() {
    expect_that!(revision(6, 1, 1, 0).replaces(&revision(5, 2, 9, 9), &[], &[]), eq(true));
    expect_that!(revision(5, 2, 9, 9).replaces(&revision(6, 1, 1, 0), &[], &[]), eq(false));
}

#[gtest]
fn a_later_epoch_replaces_and_within_one_the_first_stays() {
    let active = revision(5, 1, 2, 4);
    expect_that!(revision(5, 2, 3, 4).replaces(&active, &[], &[]), eq(true));
    expect_that!(revision(5, 2, 1, 4).replaces(&active, &[], &[]), eq(false));
    expect_that!(revision(5, 2, 2, 5).replaces(&active, &[], &[]), eq(false));
    expect_that!(revision(5, 1, 3, 6).replaces(&active, &[], &[]), eq(false), "the same contents");
}

#[gtest]
fn a_copy_of_what_was_replaced_does_not_replace_but_a_new_record_does() {
    let (old, active) = (revision(5, 1, 1, 4), revision(5, 2, 2, 4));
    expect_that!(revision(5, 1, 3, 4).replaces(&active, &[old], &[]), eq(false));
    expect_that!(revision(5, 1, 3, 5).replaces(&active, &[old], &[]), eq(true));
}

#[gtest]
fn a_node_that_saw_the_replacement_convinces_one_that_did_not() {
    // The other node started after the old document came back in a copy.
    let (old, new) = (revision(5, 1, 3, 4), revision(5, 2, 2, 4));
    expect_that!(new.replaces(&old, &[], &[revision(5, 1, 1, 4)]), eq(true));
    expect_that!(old.replaces(&new, &[revision(5, 1, 1, 4)], &[]), eq(false));
}

/// Guards against two nodes that keep sending each other their documents, or that both keep their own.
#[gtest]
fn of_two_different_documents_exactly_one_replaces_the_other() {
    for one in documents() {
        for other in documents() {
            let same_place = one.origin == other.origin;
            if one.digest == other.digest || same_place {
                continue;
            }
            for (known, told) in [(vec![], vec![]), (vec![other], vec![one]), (vec![other], vec![])]
            {
                // `one` is active at a node that has replaced `known`; the other node has replaced `told`.
                let forward = other.replaces(&one, &known, &told);
                let backward = one.replaces(&other, &told, &known);
                expect_that!(forward, not(eq(backward)), "{one}, {other}");
            }
        }
    }
}

#[gtest]
fn a_revision_is_read_as_it_is_written() {
    let mut all = documents();
    all.push(Revision { origin: Origin { epoch: None, offset: u64::MAX }, ..all[0] });
    for revision in all {
        expect_that!(revision.to_string().parse::<Revision>(), ok(eq(&revision)));
    }
    for text in [
        "",
        "5",
        "5;1;4;1",
        "5;000000000000000g;4;1",
        "5;0000000000000001;4;1;",
        "-5;0000000000000001;4;",
    ] {
        expect_that!(text.parse::<Revision>(), err(anything()), "{text}");
    }
}
