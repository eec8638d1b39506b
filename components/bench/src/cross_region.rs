//! Traffic between regions that can each serve their own requests.

use std::io;

use crate::system::{self, Example, Setup, Variant, experiment, mix};
use crate::table;

const LOAD_END_S: u64 = 20;

/// Measures this commit.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let example = Example::Dala;
    let cluster = example.start(setup, Variant::Full, true).await?;
    let region = |domain: &str| domain.split('-').next().unwrap_or_default().to_owned();
    let cross_region_bytes = async || -> u64 {
        let traffic = cluster.traffic().await;
        traffic
            .iter()
            .filter(|traffic| region(&traffic.from) != region(&traffic.to))
            .map(|traffic| traffic.bytes)
            .sum()
    };
    let before = cross_region_bytes().await;
    let rate = example.capacity();
    let mixes = vec![
        mix("prices", "GET", "/prices", &[(LOAD_END_S, rate * 0.4)]),
        mix("stock", "GET", "/stock", &[(LOAD_END_S, rate * 0.2)]),
    ];
    let summaries = system::run_load(&experiment(&cluster, setup, "warehouse", mixes)).await;
    let after = cross_region_bytes().await;
    let mut call_bytes = 0;
    for vm in cluster.vms() {
        let metrics = cluster.metrics(vm).await.unwrap_or_default();
        let line = metrics
            .lines()
            .find(|line| line.starts_with("almondknot_path_bytes_total{tier=\"remote\"}"));
        call_bytes += line
            .and_then(|line| line.split(' ').nth(1))
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
    }
    table::header(
        &format!("Traffic between two regions, 16 nodes, seed {}", setup.seed),
        &["quantity", "value"],
    );
    table::row(&[
        "bytes per second, both directions".into(),
        format!("{:.0}", (after - before) as f64 / LOAD_END_S as f64),
    ]);
    table::row(&["bytes of calls".to_owned(), call_bytes.to_string()]);
    let succeeded: u64 = summaries.iter().map(|summary| summary.succeeded).sum();
    let all: u64 = summaries.iter().map(|summary| summary.requests).sum();
    table::row(&["requests succeeded".to_owned(), format!("{succeeded} of {all}")]);
    Ok(())
}
