//! Tests of fingerprints.

use googletest::prelude::*;
use quarantine::Fingerprint;

/// Guards against nodes that disagree about a request: a body in blocks has the fingerprint of its contiguous bytes.
#[gtest]
fn the_fingerprint_does_not_depend_on_the_blocks_of_a_body() {
    let body: Vec<u8> = (0..=255).cycle().take(1_000).collect();
    let whole = Fingerprint::of_request("shop", "/orders/1", &body);
    for size in [1, 7, 512, 1_000] {
        let blocks = body.chunks(size);
        expect_that!(Fingerprint::of_blocks("shop", "/orders/1", 1_000, blocks), eq(whole));
    }
    let empty = Fingerprint::of_request("shop", "/orders/1", &[]);
    let none = Fingerprint::of_blocks("shop", "/orders/1", 0, std::iter::empty());
    expect_that!(none, eq(empty));
}
