//! Goodput, recovery and wasted work at several times the demand that the scarcest service can do.

use std::collections::HashSet;
use std::io;

use load::{Bucket, Summary};

use crate::system::{self, Example, Setup, Variant, experiment, mix, wasted, witnesses};
use crate::table::{self, percent, verdict};

/// Seconds at which the surge starts and ends, and the experiment ends.
const SURGE: (u64, u64) = (5, 13);
const END: u64 = 25;
/// Demand before and after the surge, as a share of capacity.
const CALM: f64 = 0.5;
const BUCKETS_PER_SECOND: usize = 10;
const GOODPUT_BOUND: f64 = 0.95;
const RECOVERY_BOUND: f64 = 2.0;
const WASTE_BOUND: f64 = 0.02;
/// Goodput and latency that count as recovered, against those before the surge.
const NEAR: f64 = 0.05;

/// Measures the variants.
pub async fn run(setup: &Setup, example: Example, times: f64) -> io::Result<()> {
    let title = format!("{example:?}, demand {times} times capacity, seed {}", setup.seed);
    table::head(
        &title,
        &[
            "variant",
            "goodput / capacity",
            "bound 95%",
            "recovery s",
            "bound 2",
            "wasted",
            "bound 2%",
        ],
    );
    for variant in setup.variants() {
        let figures = measure(setup, example, times, variant).await?;
        table::row(&[
            variant.name(setup),
            percent(figures.goodput),
            verdict(figures.goodput >= GOODPUT_BOUND),
            figures
                .recovery
                .map_or_else(|| "never".to_owned(), |recovery| format!("{recovery:.1}")),
            verdict(figures.recovery.is_some_and(|recovery| recovery <= RECOVERY_BOUND)),
            percent(figures.wasted),
            verdict(figures.wasted <= WASTE_BOUND),
        ]);
    }
    Ok(())
}

struct Figures {
    goodput: f64,
    recovery: Option<f64>,
    wasted: f64,
}

async fn measure(
    setup: &Setup,
    example: Example,
    times: f64,
    variant: Variant,
) -> io::Result<Figures> {
    let cluster = example.start(setup, variant, false).await?;
    let capacity = example.capacity();
    let phases = |share: f64| {
        let calm = capacity * CALM * share;
        [(SURGE.0, calm), (SURGE.1, capacity * times * share), (END, calm)]
    };
    let mixes = match example {
        Example::Dala => vec![
            mix("prices", "GET", "/prices", &phases(0.6)),
            mix("orders", "POST", "/standing-orders", &phases(0.2)),
            mix("stock", "GET", "/stock", &phases(0.2)),
        ],
        Example::Tuiwai => vec![
            mix("price", "GET", "/price", &phases(0.6)),
            mix("bookings", "POST", "/bookings", &phases(0.2)),
            mix("claims", "POST", "/claims", &phases(0.2)),
        ],
    };
    let scarce = if example == Example::Dala { "warehouse" } else { "pricing" };
    let summaries = system::play(&experiment(&cluster, setup, scarce, mixes)).await;
    let lost: HashSet<String> =
        summaries.iter().flat_map(|summary| summary.failed_ids.iter().cloned()).collect();
    let line = together(&summaries);
    // The first second of the surge is for the change to be noticed.
    let surge =
        &line[(SURGE.0 as usize + 1) * BUCKETS_PER_SECOND..SURGE.1 as usize * BUCKETS_PER_SECOND];
    let whole: u64 = surge.iter().map(|bucket| bucket.whole).sum();
    let seconds = surge.len() as f64 / BUCKETS_PER_SECOND as f64;
    Ok(Figures {
        goodput: whole as f64 / seconds / capacity,
        recovery: recovery(&line),
        wasted: wasted(&witnesses(&cluster).await, &lost),
    })
}

fn together(summaries: &[Summary]) -> Vec<Bucket> {
    let mut line = vec![Bucket::default(); END as usize * BUCKETS_PER_SECOND];
    for summary in summaries {
        for (all, one) in line.iter_mut().zip(&summary.timeline) {
            all.arrived += one.arrived;
            all.whole += one.whole;
            all.latencies_us.extend(&one.latencies_us);
        }
    }
    line
}

/// Seconds from the end of the surge until goodput and 99th percentile, over a second, are within 5% of the worst
/// second before it and stay there for that second.
fn recovery(line: &[Bucket]) -> Option<f64> {
    let seconds: Vec<(f64, u32)> = line.windows(BUCKETS_PER_SECOND).map(second).collect();
    let before = &seconds[2 * BUCKETS_PER_SECOND..(SURGE.0 as usize - 1) * BUCKETS_PER_SECOND];
    let least = before.iter().map(|(share, _)| *share).fold(f64::INFINITY, f64::min);
    let most = before.iter().map(|(_, high)| *high).max().unwrap_or_default();
    let good = |(share, high): &(f64, u32)| {
        *share >= least * (1.0 - NEAR) && f64::from(*high) <= f64::from(most) * (1.0 + NEAR)
    };
    let after = &seconds[SURGE.1 as usize * BUCKETS_PER_SECOND..];
    after.iter().position(good).map(|index| index as f64 / BUCKETS_PER_SECOND as f64)
}

/// Share of whole answers and 99th percentile of their latency.
fn second(buckets: &[Bucket]) -> (f64, u32) {
    let arrived: u64 = buckets.iter().map(|bucket| bucket.arrived).sum();
    let whole: u64 = buckets.iter().map(|bucket| bucket.whole).sum();
    let mut latency: Vec<u32> =
        buckets.iter().flat_map(|bucket| bucket.latencies_us.iter().copied()).collect();
    latency.sort_unstable();
    let high = latency.get(latency.len() * 99 / 100).copied().unwrap_or(u32::MAX);
    (whole as f64 / arrived.max(1) as f64, high)
}
