//! Upstream attempts per request while callers resend failed requests.

use std::io;

use crate::system::{self, Example, Setup, experiment, mix, upstream_stats};
use crate::table::{self, met_or_missed, percent};

const LOAD_END_S: u64 = 12;
const MAX_ATTEMPTS_RATIO: f64 = 1.1;
/// Demand as a multiple of capacity, without resends.
const DEMAND: f64 = 2.0;
const MAX_RESENDS: u32 = 5;

/// Measures each variant.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!(
        "Callers resend up to {MAX_RESENDS} times at {DEMAND} times capacity, seed {}",
        setup.seed
    );
    table::header(
        &title,
        &["variant", "sent / request", "upstream attempts / request", "bound 1.1", "success"],
    );
    for variant in setup.variants() {
        let example = Example::Dala;
        let cluster = example.start(setup, variant, false).await?;
        let mut prices =
            mix("prices", "GET", "/prices", &[(LOAD_END_S, example.capacity() * DEMAND)]);
        prices.resend = MAX_RESENDS;
        let summary =
            &system::run_load(&experiment(&cluster, setup, "warehouse", vec![prices])).await[0];
        let stats = upstream_stats(&cluster).await;
        let arrived = |service: &str| -> u64 {
            stats
                .iter()
                .filter(|(vm, _)| vm.service == service)
                .map(|(_, stats)| stats.arrived)
                .sum()
        };
        let requests = summary.requests as f64;
        let attempts = arrived("catalog").max(arrived("warehouse")) as f64 / requests;
        table::row(&[
            variant.name(setup),
            format!("{:.2}", summary.sent as f64 / requests),
            format!("{attempts:.2}"),
            met_or_missed(attempts <= MAX_ATTEMPTS_RATIO),
            percent(summary.succeeded as f64 / requests),
        ]);
    }
    Ok(())
}
