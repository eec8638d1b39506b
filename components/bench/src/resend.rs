//! Upstream attempts per caller request while callers send again and again.

use std::io;

use crate::system::{self, Example, Setup, experiment, mix, witnesses};
use crate::table::{self, percent, verdict};

const END: u64 = 12;
const BOUND: f64 = 1.1;
/// Demand as a multiple of capacity, before callers send again.
const TIMES: f64 = 2.0;
const RESENDS: u32 = 5;

/// Measures the variants.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!(
        "Callers send up to {RESENDS} times more at {TIMES} times capacity, seed {}",
        setup.seed
    );
    table::head(
        &title,
        &["variant", "sent / request", "upstream attempts / request", "bound 1.1", "whole"],
    );
    for variant in setup.variants() {
        let example = Example::Dala;
        let cluster = example.start(setup, variant, false).await?;
        let mut prices = mix("prices", "GET", "/prices", &[(END, example.capacity() * TIMES)]);
        prices.resend = RESENDS;
        let summary =
            &system::play(&experiment(&cluster, setup, "warehouse", vec![prices])).await[0];
        let witnesses = witnesses(&cluster).await;
        let arrived = |service: &str| -> u64 {
            witnesses
                .iter()
                .filter(|(vm, _)| vm.service == service)
                .map(|(_, witness)| witness.arrived)
                .sum()
        };
        let requests = summary.requests as f64;
        let attempts = arrived("catalog").max(arrived("warehouse")) as f64 / requests;
        table::row(&[
            variant.name(setup),
            format!("{:.2}", summary.sent as f64 / requests),
            format!("{attempts:.2}"),
            verdict(attempts <= BOUND),
            percent(summary.whole as f64 / requests),
        ]);
    }
    Ok(())
}
