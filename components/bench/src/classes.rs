//! Success of external callers while internal lookups are five times the capacity of the bottleneck service.

use std::io;

use crate::system::{self, Example, Setup, experiment, mix};
use crate::table::{self, met_or_missed, percent};

/// Time at the start with external callers only, in which the upstreams warm up.
const WARM_UP_S: u64 = 4;
const LOAD_END_S: u64 = 19;
const MIN_SUCCESS_SHARE: f64 = 0.99;
/// Demand of external callers as a share of capacity.
const EXTERNAL_DEMAND: f64 = 0.7;
/// Demand of internal lookups as a share of capacity.
const INTERNAL_DEMAND: f64 = 5.0;

/// Measures each variant.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!(
        "External callers at {EXTERNAL_DEMAND} of capacity, internal lookups at {INTERNAL_DEMAND}, seed {}",
        setup.seed
    );
    table::header(&title, &["variant", "external success", "bound 99%", "internal success"]);
    for variant in setup.variants() {
        let example = Example::Dala;
        let cluster = example.start(setup, variant, false).await?;
        let rate = |share: f64| [(LOAD_END_S, example.capacity() * share)];
        let mixes = vec![
            mix("prices", "GET", "/prices", &rate(EXTERNAL_DEMAND * 0.5)),
            mix("stock", "GET", "/stock", &rate(EXTERNAL_DEMAND * 0.5)),
            mix(
                "recount",
                "GET",
                "/recount",
                &[(WARM_UP_S, 0.0), (LOAD_END_S, example.capacity() * INTERNAL_DEMAND)],
            ),
        ];
        let summaries = system::run_load(&experiment(&cluster, setup, "warehouse", mixes)).await;
        let success = |summaries: &[load::Summary]| {
            let buckets = || {
                summaries
                    .iter()
                    .flat_map(|summary| summary.timeline.iter().skip(WARM_UP_S as usize * 10))
            };
            let succeeded: u64 = buckets().map(|bucket| bucket.succeeded).sum();
            let arrived: u64 = buckets().map(|bucket| bucket.arrived).sum();
            succeeded as f64 / arrived.max(1) as f64
        };
        let external = success(&summaries[..2]);
        table::row(&[
            variant.name(setup),
            percent(external),
            met_or_missed(external >= MIN_SUCCESS_SHARE),
            percent(success(&summaries[2..])),
        ]);
    }
    Ok(())
}
