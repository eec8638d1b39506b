//! Text forms of names, sizes and spans.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use units::{ByteSize, NodeId, RootId, span};

#[gtest]
fn names_are_short_and_lower_case() {
    expect_that!("almaty-a_1.x".parse::<NodeId>(), ok(anything()));
    for invalid in ["", "Almaty", "a b", "a/b", &"x".repeat(65)] {
        expect_that!(invalid.parse::<NodeId>(), err(anything()), "{invalid}");
    }
}

#[gtest]
fn sizes_need_a_unit() {
    expect_that!("64KiB".parse::<ByteSize>(), ok(eq(&ByteSize(65_536))));
    for invalid in ["64", "KiB", "-1B", "99999999999999GiB"] {
        expect_that!(invalid.parse::<ByteSize>(), err(anything()), "{invalid}");
    }
}

#[gtest]
fn spans_need_a_known_unit() {
    expect_that!(span::parse("800ms"), ok(eq(&Duration::from_millis(800))));
    for invalid in ["800", "ms", "1d", "1.5s", "99999999999999999h"] {
        expect_that!(span::parse(invalid), err(anything()), "{invalid}");
    }
}

proptest! {
    #[test]
    fn printed_values_parse_back(bytes: u64, micros in 0..u64::MAX / 2, root: u64) {
        prop_assert_eq!(ByteSize(bytes).to_string().parse(), Ok(ByteSize(bytes)));
        let duration = Duration::from_micros(micros);
        prop_assert_eq!(span::parse(&span::format(duration)), Ok(duration));
        prop_assert_eq!(RootId(root).to_string().parse(), Ok(RootId(root)));
    }
}
