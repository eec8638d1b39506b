//! Goodput, recovery and wasted work when demand is a multiple of the capacity of the bottleneck service.

use std::collections::HashSet;
use std::io;

use load::{Bucket, Summary};

use crate::system::{self, Example, Setup, Variant, experiment, mix, upstream_stats, wasted_share};
use crate::table::{self, met_or_missed, percent};

/// Start and end of the surge.
const SURGE_S: (u64, u64) = (5, 13);
const LOAD_END_S: u64 = 25;
/// Demand before and after the surge, as a share of capacity.
const BASE_DEMAND: f64 = 0.5;
const BUCKETS_PER_SECOND: usize = 10;
const MIN_GOODPUT_SHARE: f64 = 0.95;
const MAX_RECOVERY_S: f64 = 2.0;
const MAX_WASTED_SHARE: f64 = 0.02;
/// Relative difference to goodput and latency before the surge that counts as recovered.
const RECOVERY_TOLERANCE: f64 = 0.05;

/// Measures each variant.
pub async fn run(setup: &Setup, example: Example, demand: f64) -> io::Result<()> {
    let title = format!("{example:?}, demand {demand} times capacity, seed {}", setup.seed);
    table::header(
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
        let results = measure(setup, example, demand, variant).await?;
        table::row(&[
            variant.name(setup),
            percent(results.goodput),
            met_or_missed(results.goodput >= MIN_GOODPUT_SHARE),
            results
                .recovery
                .map_or_else(|| "never".to_owned(), |recovery| format!("{recovery:.1}")),
            met_or_missed(results.recovery.is_some_and(|recovery| recovery <= MAX_RECOVERY_S)),
            percent(results.wasted),
            met_or_missed(results.wasted <= MAX_WASTED_SHARE),
        ]);
    }
    Ok(())
}

struct Results {
    goodput: f64,
    recovery: Option<f64>,
    wasted: f64,
}

async fn measure(
    setup: &Setup,
    example: Example,
    demand: f64,
    variant: Variant,
) -> io::Result<Results> {
    let cluster = example.start(setup, variant, false).await?;
    let capacity = example.capacity();
    let phases = |share: f64| {
        let base = capacity * BASE_DEMAND * share;
        [(SURGE_S.0, base), (SURGE_S.1, capacity * demand * share), (LOAD_END_S, base)]
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
    let bottleneck = if example == Example::Dala { "warehouse" } else { "pricing" };
    let summaries = system::run_load(&experiment(&cluster, setup, bottleneck, mixes)).await;
    let failed_ids: HashSet<String> =
        summaries.iter().flat_map(|summary| summary.failed_ids.iter().cloned()).collect();
    let timeline = merge_timelines(&summaries);
    // The first second of the surge is left out: the mechanisms need it to react.
    let surge = &timeline
        [(SURGE_S.0 as usize + 1) * BUCKETS_PER_SECOND..SURGE_S.1 as usize * BUCKETS_PER_SECOND];
    let succeeded: u64 = surge.iter().map(|bucket| bucket.succeeded).sum();
    let seconds = surge.len() as f64 / BUCKETS_PER_SECOND as f64;
    Ok(Results {
        goodput: succeeded as f64 / seconds / capacity,
        recovery: recovery(&timeline),
        wasted: wasted_share(&upstream_stats(&cluster).await, &failed_ids),
    })
}

/// Sums the timelines of all mixes.
fn merge_timelines(summaries: &[Summary]) -> Vec<Bucket> {
    let mut timeline = vec![Bucket::default(); LOAD_END_S as usize * BUCKETS_PER_SECOND];
    for summary in summaries {
        for (all, one) in timeline.iter_mut().zip(&summary.timeline) {
            all.arrived += one.arrived;
            all.succeeded += one.succeeded;
            all.latencies_us.extend(&one.latencies_us);
        }
    }
    timeline
}

/// Returns the seconds from the end of the surge to the first second whose success rate and 99th percentile of latency
/// are within the tolerance of the worst second before the surge.
fn recovery(timeline: &[Bucket]) -> Option<f64> {
    let seconds: Vec<(f64, u32)> = timeline.windows(BUCKETS_PER_SECOND).map(summarize).collect();
    let before = &seconds[2 * BUCKETS_PER_SECOND..(SURGE_S.0 as usize - 1) * BUCKETS_PER_SECOND];
    let min_share = before.iter().map(|(share, _)| *share).fold(f64::INFINITY, f64::min);
    let max_p99 = before.iter().map(|(_, p99)| *p99).max().unwrap_or_default();
    let recovered = |(share, p99): &(f64, u32)| {
        *share >= min_share * (1.0 - RECOVERY_TOLERANCE)
            && f64::from(*p99) <= f64::from(max_p99) * (1.0 + RECOVERY_TOLERANCE)
    };
    let after = &seconds[SURGE_S.1 as usize * BUCKETS_PER_SECOND..];
    after.iter().position(recovered).map(|index| index as f64 / BUCKETS_PER_SECOND as f64)
}

/// Returns the share of successful requests and the 99th percentile of their latency.
fn summarize(buckets: &[Bucket]) -> (f64, u32) {
    let arrived: u64 = buckets.iter().map(|bucket| bucket.arrived).sum();
    let succeeded: u64 = buckets.iter().map(|bucket| bucket.succeeded).sum();
    let mut latencies: Vec<u32> =
        buckets.iter().flat_map(|bucket| bucket.latencies_us.iter().copied()).collect();
    latencies.sort_unstable();
    let p99 = latencies.get(latencies.len() * 99 / 100).copied().unwrap_or(u32::MAX);
    (succeeded as f64 / arrived.max(1) as f64, p99)
}
