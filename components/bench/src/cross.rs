//! Bytes between regions while each region can serve itself.

use std::io;

use crate::system::{self, Example, Setup, Variant, experiment, mix};
use crate::table;

const END: u64 = 20;

/// Measures this commit.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let example = Example::Dala;
    let cluster = example.start(setup, Variant::Full, true).await?;
    let region = |domain: &str| domain.split('-').next().unwrap_or_default().to_owned();
    let crossing = async || -> u64 {
        let passed = cluster.traffic().await;
        passed
            .iter()
            .filter(|passed| region(&passed.from) != region(&passed.to))
            .map(|passed| passed.bytes)
            .sum()
    };
    let before = crossing().await;
    let rate = example.capacity();
    let mixes = vec![
        mix("prices", "GET", "/prices", &[(END, rate * 0.4)]),
        mix("stock", "GET", "/stock", &[(END, rate * 0.2)]),
    ];
    let summaries = system::play(&experiment(&cluster, setup, "warehouse", mixes)).await;
    let after = crossing().await;
    let mut remote = 0;
    for vm in cluster.vms() {
        let metrics = cluster.metrics(vm).await.unwrap_or_default();
        let line = metrics
            .lines()
            .find(|line| line.starts_with("almondknot_path_bytes_total{tier=\"remote\"}"));
        remote += line
            .and_then(|line| line.split(' ').nth(1))
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
    }
    table::head(
        &format!("Bytes between two regions, 16 nodes, seed {}", setup.seed),
        &["what", "figure"],
    );
    table::row(&[
        "all bytes a second, both ways".into(),
        format!("{:.0}", (after - before) as f64 / END as f64),
    ]);
    table::row(&["bytes of calls".to_owned(), remote.to_string()]);
    let whole: u64 = summaries.iter().map(|summary| summary.whole).sum();
    let all: u64 = summaries.iter().map(|summary| summary.requests).sum();
    table::row(&["requests whole".to_owned(), format!("{whole} of {all}")]);
    Ok(())
}
