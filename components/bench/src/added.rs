//! Latency that entry and guard add to a call, paired with direct calls in the same run.

use std::io;
use std::time::Duration;

use standins::cluster::{Cluster, Place, Vm};

use crate::control::{cpu, resident};
use crate::system::{self, Setup, mix, must};
use crate::table::{self, verdict};

const RATES: [f64; 3] = [100.0, 500.0, 1_500.0];
const SECONDS: u64 = 8;
const BOUND_MS: f64 = 1.5;
const BOUND_MB: f64 = 128.0;

/// Measures this commit: two nodes, one the entry and one the guard.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let mut cluster = Cluster::new(34, &setup.programs, vec![Place::new("a", "r")])?;
    cluster.rules("call GET /echo to echo class customer deadline 2s # bench\ncall GET /none to none # bench\n")?;
    cluster.add(Vm::new("entry", 0, 1, "none").sized(10, Duration::from_millis(1)));
    cluster.add(Vm::new("guard", 0, 2, "echo").sized(150, Duration::from_millis(2)));
    cluster.start_vms()?;
    must(cluster.ready().await, "the nodes did not find each other")?;
    let idle = resident(&mut cluster, "node-entry")?;
    table::head(
        &format!("Latency added by entry and guard in ms, 2 ms of service, seed {}", setup.seed),
        &[
            "calls/s",
            "direct p50",
            "p99",
            "through p50",
            "p99",
            "added p50",
            "added p99",
            "bound 1.5",
            "nodes' ms of cpu / call",
        ],
    );
    for rate in RATES {
        at_rate(setup, &mut cluster, rate).await?;
    }
    let megabytes = idle as f64 / 1e6;
    println!(
        "\nIdle node: {megabytes:.1} MB resident (bound {BOUND_MB} MB: {}).",
        verdict(megabytes <= BOUND_MB)
    );
    Ok(())
}

async fn at_rate(setup: &Setup, cluster: &mut Cluster, rate: f64) -> io::Result<()> {
    let vms = cluster.vms().to_vec();
    let before = cpu(cluster, "node-entry")? + cpu(cluster, "node-guard")?;
    let mut direct = mix("direct", "GET", "/echo", &[(SECONDS, rate)]);
    direct.entries = Some(vec![cluster.upstream(&vms[1])]);
    let through = mix("through", "GET", "/echo", &[(SECONDS, rate)]);
    let entries = vec![cluster.callers(&vms[0])];
    let timeout = Duration::from_secs(2);
    let plan =
        load::Experiment { seed: setup.seed, entries, timeout, mixes: vec![direct, through] };
    let summaries = system::play(&plan).await;
    let spent = cpu(cluster, "node-entry")? + cpu(cluster, "node-guard")? - before;
    let ms = |index: usize, at: usize| summaries[index].latency_us[at] as f64 / 1e3;
    let added = ms(1, 2) - ms(0, 2);
    table::row(&[
        format!("{rate}"),
        format!("{:.2}", ms(0, 0)),
        format!("{:.2}", ms(0, 2)),
        format!("{:.2}", ms(1, 0)),
        format!("{:.2}", ms(1, 2)),
        format!("{:.2}", ms(1, 0) - ms(0, 0)),
        format!("{added:.2}"),
        verdict(added <= BOUND_MS),
        format!("{:.3}", spent.as_secs_f64() * 1e3 / summaries[1].requests as f64),
    ]);
    Ok(())
}
