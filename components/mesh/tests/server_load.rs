//! The load that upstreams report, and how it travels to entries.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::members::Measurements;
use mesh::decide::queue::{Load, Queue};
use mesh::decide::server_load::ServerLoad;
use mesh::decide::service_time::{ServiceTime, ServiceTimes};
use mesh::request::peer::LoadReport;
use units::Rate;

const MS: Duration = Duration::from_millis(1);

#[gtest]
fn a_load_has_three_figures_and_possibly_a_factor() {
    let load = |factor| ServerLoad { running: 3, waiting: 0, slots: 36, factor };
    expect_that!("3,0,36".parse::<ServerLoad>(), ok(eq(&load(None))));
    expect_that!("3, 0 ,36, 250".parse::<ServerLoad>(), ok(eq(&load(Some(2.5)))));
    expect_that!("3,0,36,87.5".parse::<ServerLoad>(), ok(eq(&load(Some(0.875)))));
}

/// Guards against odd values of an upstream that end a process or distort its run time.
#[gtest]
fn an_unexpected_load_is_invalid_as_a_whole() {
    let long = format!("1,2,3,{}", "1".repeat(100));
    let digits = "1,2,3,".to_owned() + &"9".repeat(50);
    for wrong in [
        "",
        ",",
        "1",
        "1,2",
        "1,2,",
        "1,2,3,",
        "1,2,3,100,5",
        "1,2,3,0",
        "1,2,3,0.5",
        "1,2,3,-100",
        "1,2,3,+100",
        "1,2,3,NaN",
        "1,2,3,inf",
        "1,2,3,1e2",
        "1,2,3,10001",
        "1,2,3,.",
        "1,2,3,1.2.3",
        "-1,2,3",
        "+1,2,3",
        "1.5,2,3",
        "4294967296,0,1",
        "1000001,0,1",
        "1;2;3",
        "1,2,3,١٠٠",
        "a,b,c",
        &long,
        &digits,
    ] {
        expect_that!(wrong.parse::<ServerLoad>().is_err(), eq(true), "{wrong}");
    }
}

/// Guards against a message that changes where no upstream reports a factor, and against nodes of the earlier version
/// that can't read the ones that do.
#[gtest]
fn a_load_report_without_a_service_time_is_as_before() {
    let load = Load { running: 1, waiting: 2, limit: 3, held_us: 4, ..Load::default() };
    let text = |load| LoadReport { load, guard_time: Duration::from_micros(5) }.to_string();
    expect_that!(text(load), eq("1/2/3/4/5"));
    let limited = Load { rate: Some(Rate(7.5)), tokens: 1.25, ..load };
    expect_that!(text(limited), eq("1/2/3/4/5/7.5/1.25"));
    let service_time = ServiceTime::checked(190_000, 250, 12);
    let reported = Load { service_time, ..load };
    expect_that!(text(reported), eq("1/2/3/4/5///190000/250/12"));
    expect_that!(text(Load { service_time, ..limited }), eq("1/2/3/4/5/7.5/1.25/190000/250/12"));
    for load in [load, limited, reported, Load { service_time, ..limited }] {
        let read: LoadReport = text(load).parse().unwrap();
        expect_that!(read.load, eq(load));
        // The earlier version reads the first seven figures, and takes one that is no number for no rate limit.
        let figures = text(load);
        let rate = figures.split('/').nth(5).and_then(|rate| rate.parse::<Rate>().ok());
        expect_that!(rate, eq(load.rate));
    }
    for odd in ["1/2/3/4/5///x/250/12", "1/2/3/4/5///190000/0/12", "1/2/3/4/5///190000/250"] {
        expect_that!(odd.parse::<LoadReport>().unwrap().load, eq(load), "{odd}");
    }
}

#[gtest]
fn measurements_carry_the_service_time_only_if_there_is_one() {
    let plain = Measurements { sequence: 1, load: (1, 2, 3, 4), ..Measurements::default() };
    expect_that!(serde_json::to_string(&plain).unwrap(), eq(r#"{"beat":1,"load":[1,2,3,4]}"#));
    let reported = Measurements { service: Some((190_000, 250, 12)), ..plain.clone() };
    expect_that!(reported.load().service_time, eq(ServiceTime::checked(190_000, 250, 12)));
    expect_that!(reported.is_plausible(), eq(true));
    for odd in [(u32::MAX, 100, 0), (1, 0, 0), (1, 10_001, 0)] {
        let odd = Measurements { service: Some(odd), ..plain.clone() };
        expect_that!(odd.is_plausible(), eq(false));
        expect_that!(odd.load().service_time, none());
    }
}

#[gtest]
fn a_factor_counts_less_the_older_it_is() {
    let service_time = ServiceTime::checked(200_000, 250, 0).unwrap();
    expect_that!(service_time.run_time(Duration::ZERO), eq(500 * MS));
    expect_that!(service_time.run_time(300 * MS), eq(350 * MS));
    expect_that!(service_time.run_time(600 * MS), eq(200 * MS));
    expect_that!(service_time.run_time(Duration::MAX), eq(200 * MS));
    let older = ServiceTime { age_ms: 300, ..service_time };
    expect_that!(older.run_time(Duration::ZERO), eq(350 * MS));
}

/// Guards against a wrong run time on a machine whose usual factor is not 100.
#[gtest]
fn only_the_ratio_of_a_factor_to_its_average_counts() {
    let start = Instant::now();
    for usual in [0.7, 1.0, 1.7] {
        let mut times = ServiceTimes::default();
        for round in 0..400 {
            times.record_factor(usual, start + round * 50 * MS);
            times.record_run(Duration::from_millis(200));
        }
        let now = start + 400 * 50 * MS;
        let usual_run = times.report(now).unwrap().run_time(Duration::ZERO);
        expect_that!(usual_run, all!(ge(199 * MS), le(201 * MS)));
        times.record_factor(usual * 2.5, now);
        let slow_run = times.report(now).unwrap().run_time(Duration::ZERO);
        expect_that!(slow_run, all!(ge(490 * MS), le(510 * MS)));
    }
}

#[gtest]
fn a_queue_reports_a_service_time_once_it_knows_one() {
    let now = Instant::now();
    let mut queue: Queue<()> = Queue::new();
    queue.release(200 * MS, true, now);
    expect_that!(queue.load(now).service_time, none(), "no factor was reported");
    queue.record_factor(1.0, now);
    expect_that!(queue.load(now).service_time, none(), "nothing has run since");
    queue.release(200 * MS, true, now);
    expect_that!(queue.load(now).service_time, eq(ServiceTime::checked(200_000, 100, 0)));
    queue.reset_service_times();
    expect_that!(queue.load(now).service_time, none(), "another incarnation has started");
}
