//! Stories told from lines as nodes write them.

#![allow(clippy::unwrap_used, reason = "a test stops at what it did not expect")]

use explain::{Event, Line, parse, story};
use googletest::prelude::*;

fn lines(text: &str) -> Vec<Line> {
    text.lines().filter_map(parse).collect()
}

const OVERLOAD: &str = r#"
{"at":100,"node":"a","event":"plan-changed","shares":"list=0.70","loads":"stock=20.0+4.0/22 shop=10.0+0.0/40","version":3}
{"at":250,"node":"b","event":"plan-changed","shares":"","loads":"stock=1.0+0.0/22 shop=40.0+0.0/40","version":3}
{"at":300,"node":"a","event":"refused","id":"r1","route":"list","why":"overload","share":0.7,"plan_ms":200,"after_ms":310,"tries":0,"version":3}
{"at":350,"node":"a","event":"refused","id":"r2","route":"list","why":"overload","share":0.7,"plan_ms":250,"after_ms":310,"tries":0,"version":3}
"#;

#[gtest]
fn a_limited_route_is_explained_by_the_plan_of_its_entry() {
    let story = story(&lines(OVERLOAD), "r1").unwrap();
    expect_that!(story.steps, len(eq(2)));
    expect_that!(
        story.causes,
        eq(&["route list is limited to 70% of its requests, as stock has no room for more"])
    );
    expect_that!(story.steps[1].to_string(), contains_substring("by a plan 200 ms old"));
}

const LINK: &str = r#"
12.5 s  a  {"at":90,"node":"a","event":"peer-lost","peer":"b","why":"connection reset"}
12.5 s  a  {"at":100,"node":"a","left_out":3,"event":"failed","id":"r1","route":"order","asked":"b","why":"lost","status":502,"taken_ms":40,"version":3}
12.9 s  b  {"at":130,"node":"b","event":"woke","stood_ms":2000}
"#;

#[gtest]
fn a_lost_link_is_told_from_an_upstream_that_gave_no_answer() {
    let told = story(&lines(LINK), "r1").unwrap();
    expect_that!(told.causes, eq(&["the connection from a to b was lost with it"]));
    expect_that!(told.steps.iter().any(|line| matches!(line.event, Event::Woke { .. })), eq(true));
    expect_that!(told.steps[1].to_string(), contains_substring("(3 lines missing before)"));
}

#[gtest]
fn other_text_and_unknown_events_are_passed_over() {
    expect_that!(parse("no object"), none());
    expect_that!(parse("{\"at\":1}"), none());
    let later = parse(r#"{"at":1,"node":"a","event":"of-a-later-version","x":1}"#).unwrap();
    expect_that!(later.event, eq(&Event::Other));
    expect_that!(story(&[later], "r1"), none());
}
