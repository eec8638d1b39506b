//! Success of callers outside while lookups inside are five times what the scarcest service can do.

use std::io;

use crate::system::{self, Example, Setup, experiment, mix};
use crate::table::{self, percent, verdict};

/// Seconds at the start with callers outside only, in which the upstreams warm up.
const WARM: u64 = 4;
const END: u64 = 19;
const BOUND: f64 = 0.99;
/// Demand of callers outside, and of lookups inside, as a share of capacity.
const OUTSIDE: f64 = 0.7;
const INSIDE: f64 = 5.0;

/// Measures the variants.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!(
        "Callers outside at {OUTSIDE} of capacity, lookups inside at {INSIDE}, seed {}",
        setup.seed
    );
    table::head(&title, &["variant", "outside whole", "bound 99%", "inside whole"]);
    for variant in setup.variants() {
        let example = Example::Dala;
        let cluster = example.start(setup, variant, false).await?;
        let rate = |share: f64| [(END, example.capacity() * share)];
        let mixes = vec![
            mix("prices", "GET", "/prices", &rate(OUTSIDE * 0.5)),
            mix("stock", "GET", "/stock", &rate(OUTSIDE * 0.5)),
            mix("recount", "GET", "/recount", &[(WARM, 0.0), (END, example.capacity() * INSIDE)]),
        ];
        let summaries = system::play(&experiment(&cluster, setup, "warehouse", mixes)).await;
        let share = |chosen: &[load::Summary]| {
            let line = || {
                chosen.iter().flat_map(|summary| summary.timeline.iter().skip(WARM as usize * 10))
            };
            let whole: u64 = line().map(|bucket| bucket.whole).sum();
            let arrived: u64 = line().map(|bucket| bucket.arrived).sum();
            whole as f64 / arrived.max(1) as f64
        };
        let outside = share(&summaries[..2]);
        table::row(&[
            variant.name(setup),
            percent(outside),
            verdict(outside >= BOUND),
            percent(share(&summaries[2..])),
        ]);
    }
    Ok(())
}
