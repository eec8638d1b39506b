//! Contents of the error that a caller receives.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use googletest::prelude::*;
use verdict::{Reason, Refusal, Verdict};

#[gtest]
fn every_reason_and_verdict_parses_back() {
    for reason in Reason::ALL {
        expect_that!(reason.as_str().parse::<Reason>(), ok(eq(reason)));
        expect_that!(reason.status(), ge(400));
    }
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran] {
        expect_that!(verdict.to_string().parse::<Verdict>(), ok(eq(&verdict)));
    }
}

#[gtest]
fn verdicts_are_ordered_from_not_run_to_ran() {
    expect_that!(Verdict::NotRun, lt(Verdict::MayHaveRun));
    expect_that!(Verdict::MayHaveRun, lt(Verdict::Ran));
}

#[gtest]
fn the_problem_names_verdict_reason_and_node() -> googletest::Result<()> {
    let by = "almaty-a-1".parse().or_fail()?;
    let problem = Refusal::not_run(Reason::Overloaded, &by).problem();
    let value: serde_json::Value = serde_json::from_str(&problem).or_fail()?;
    expect_that!(value["verdict"].as_str(), some(eq("not-run")));
    expect_that!(value["reason"].as_str(), some(eq("overloaded")));
    expect_that!(value["refused_by"].as_str(), some(eq("almaty-a-1")));
    expect_that!(value["status"].as_u64(), some(eq(503)));
    Ok(())
}
