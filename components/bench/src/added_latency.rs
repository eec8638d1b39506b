//! Latency that the caller's node (`entry`) and the upstream's node (`guard`) add to a call, compared with direct calls
//! in the same run.

use std::io;
use std::time::Duration;

use standins::cluster::{Cluster, FailureDomain, Vm};

use crate::control::{cpu_time, resident_memory};
use crate::system::{self, Setup, ensure, mix};
use crate::table::{self, met_or_missed};

const REQUESTS_PER_SECOND: [f64; 3] = [100.0, 500.0, 1_500.0];
const DURATION_S: u64 = 8;
const MAX_ADDED_P99_MS: f64 = 1.5;
const MAX_MEMORY_MB: f64 = 128.0;

/// Measures this commit with two nodes.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let mut cluster = Cluster::new(34, &setup.programs, vec![FailureDomain::new("a", "r")])?;
    cluster.set_rules("call GET /echo to echo class customer deadline 2s # bench\ncall GET /none to none # bench\n")?;
    cluster.add(Vm::new("entry", 0, 1, "none").with_capacity(10, Duration::from_millis(1)));
    cluster.add(Vm::new("guard", 0, 2, "echo").with_capacity(150, Duration::from_millis(2)));
    cluster.start_vms()?;
    ensure(cluster.wait_ready().await, "the nodes did not find each other")?;
    let idle_memory = resident_memory(&mut cluster, "node-entry")?;
    table::header(
        &format!("Latency added by entry and guard in ms, service time 2 ms, seed {}", setup.seed),
        &[
            "calls/s",
            "direct p50",
            "p99",
            "proxied p50",
            "p99",
            "added p50",
            "added p99",
            "bound 1.5",
            "CPU ms of nodes / call",
        ],
    );
    for rate in REQUESTS_PER_SECOND {
        measure(setup, &mut cluster, rate).await?;
    }
    let megabytes = idle_memory as f64 / 1e6;
    println!(
        "\nIdle node: {megabytes:.1} MB resident (bound {MAX_MEMORY_MB} MB: {}).",
        met_or_missed(megabytes <= MAX_MEMORY_MB)
    );
    Ok(())
}

async fn measure(setup: &Setup, cluster: &mut Cluster, rate: f64) -> io::Result<()> {
    let vms = cluster.vms().to_vec();
    let before = cpu_time(cluster, "node-entry")? + cpu_time(cluster, "node-guard")?;
    let mut direct = mix("direct", "GET", "/echo", &[(DURATION_S, rate)]);
    direct.entries = Some(vec![cluster.upstream_address(&vms[1])]);
    let proxied = mix("through", "GET", "/echo", &[(DURATION_S, rate)]);
    let entries = vec![cluster.caller_address(&vms[0])];
    let timeout = Duration::from_secs(2);
    let plan =
        load::Experiment { seed: setup.seed, entries, timeout, mixes: vec![direct, proxied] };
    let summaries = system::run_load(&plan).await;
    let cpu_used = cpu_time(cluster, "node-entry")? + cpu_time(cluster, "node-guard")? - before;
    let ms = |index: usize, quantile: usize| summaries[index].latency_us[quantile] as f64 / 1e3;
    let added = ms(1, 2) - ms(0, 2);
    table::row(&[
        format!("{rate}"),
        format!("{:.2}", ms(0, 0)),
        format!("{:.2}", ms(0, 2)),
        format!("{:.2}", ms(1, 0)),
        format!("{:.2}", ms(1, 2)),
        format!("{:.2}", ms(1, 0) - ms(0, 0)),
        format!("{added:.2}"),
        met_or_missed(added <= MAX_ADDED_P99_MS),
        format!("{:.3}", cpu_used.as_secs_f64() * 1e3 / summaries[1].requests as f64),
    ]);
    Ok(())
}
