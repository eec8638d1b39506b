//! Tests of the choice of a connection to close, without a network.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::clients::{Phase, longest_unused, max_connections};

/// Guards against clients that keep out others by connections that they don't use: the idle one and the one with a part
/// of a head go by their age; one with a request is never closed.
#[gtest]
fn the_connection_that_is_unused_for_longest_is_closed() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let connections = [(1, Phase::Busy, at(0)), (2, Phase::Idle, at(2)), (3, Phase::Head, at(1))];
    expect_that!(longest_unused(connections.into_iter()), some(eq(3)));
    expect_that!(longest_unused(connections[..2].iter().copied()), some(eq(2)));
    expect_that!(longest_unused(connections[..1].iter().copied()), none());
}

/// Guards against a bound of zero, with which nobody is served.
#[gtest]
fn a_part_of_the_descriptors_is_left_for_nodes_store_and_upstream() {
    expect_that!(max_connections(1_024), eq(512));
    expect_that!(max_connections(0), eq(1));
}
