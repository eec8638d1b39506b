//! Control traffic, CPU time and memory of idle nodes in clusters of several sizes.

use std::io;
use std::time::Duration;

use serde_json::json;
use standins::cluster::{Cluster, FailureDomain, Vm};

use crate::system::{Setup, ensure};
use crate::table::{self, met_or_missed};

const SERVICES: usize = 10;
/// Time until nodes that were started together are idle.
const SETTLE_TIME: Duration = Duration::from_secs(20);
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);
/// Clock ticks per second in /proc.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4_096;
const MAX_CORE_SHARE: f64 = 0.041;
const MAX_MEMORY_MB: f64 = 128.0;
const MAX_TRAFFIC_KB_PER_S: f64 = 18.0;

/// Measures this commit with nodes that have no upstreams.
pub async fn run(setup: &Setup, sizes: &[usize], domains: usize) -> io::Result<()> {
    table::header(
        &format!("Idle nodes in {domains} failure domains, per node"),
        &["nodes", "KB/s sent and received", "bound 18", "CPU %", "bound 4.1", "MB", "bound 128"],
    );
    for size in sizes {
        let usage = measure(setup, *size, domains).await?;
        table::row(&[
            size.to_string(),
            format!("{:.2}", usage.traffic_kb),
            met_or_missed(usage.traffic_kb <= MAX_TRAFFIC_KB_PER_S),
            format!("{:.2}", usage.core_share * 100.0),
            met_or_missed(usage.core_share <= MAX_CORE_SHARE),
            format!("{:.1}", usage.memory_mb),
            met_or_missed(usage.memory_mb <= MAX_MEMORY_MB),
        ]);
    }
    Ok(())
}

/// Mean usage per node: control traffic in KB/s, share of a core, and resident memory in MB.
struct Usage {
    traffic_kb: f64,
    core_share: f64,
    memory_mb: f64,
}

async fn measure(setup: &Setup, size: usize, domains: usize) -> io::Result<Usage> {
    let failure_domains = (0..domains)
        .map(|index| FailureDomain::new(&format!("d{index}"), &format!("r{}", index / 2)))
        .collect();
    let mut cluster = Cluster::new(35, &setup.programs, failure_domains)?;
    cluster.set_rules("call GET /echo to echo # bench\n")?;
    for index in 0..size {
        let (domain, number) = (index % domains, index / domains + 1);
        cluster.add(Vm::new(
            &format!("n{index}"),
            domain,
            number as u8,
            &format!("s{}", index % SERVICES),
        ));
    }
    cluster.override_settings(json!({}));
    for vm in cluster.vms().to_vec() {
        cluster.start_node(&vm)?;
    }
    let joined = cluster
        .wait_until(async |cluster| {
            let last = &cluster.vms()[size - 1];
            let status = cluster.status(last).await.unwrap_or_default();
            status["members"].as_array().is_some_and(|members| members.len() == size)
        })
        .await;
    ensure(joined, "the nodes did not find each other")?;
    tokio::time::sleep(SETTLE_TIME).await;
    let (bytes, total_cpu) = (control_bytes(&cluster).await, total_cpu_time(&mut cluster, size)?);
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let (bytes, total_cpu) =
        (control_bytes(&cluster).await - bytes, total_cpu_time(&mut cluster, size)? - total_cpu);
    let mut memory = 0;
    for index in 0..size {
        memory += resident_memory(&mut cluster, &format!("node-n{index}"))?;
    }
    let node_seconds = MEASUREMENT_TIME.as_secs_f64() * size as f64;
    Ok(Usage {
        traffic_kb: bytes as f64 / 1e3 / node_seconds,
        core_share: total_cpu.as_secs_f64() / node_seconds,
        memory_mb: memory as f64 / 1e6 / size as f64,
    })
}

/// Control bytes sent and received by all nodes.
async fn control_bytes(cluster: &Cluster) -> u64 {
    let mut total = 0;
    for vm in cluster.vms() {
        let metrics = cluster.metrics(vm).await.unwrap_or_default();
        let lines =
            metrics.lines().filter(|line| line.starts_with("almondknot_control_bytes_total"));
        total += lines.filter_map(|line| line.split(' ').nth(1)?.parse::<u64>().ok()).sum::<u64>();
    }
    total
}

fn total_cpu_time(cluster: &mut Cluster, size: usize) -> io::Result<Duration> {
    (0..size).map(|index| cpu_time(cluster, &format!("node-n{index}"))).sum()
}

/// Returns the CPU time that a process has used.
pub fn cpu_time(cluster: &mut Cluster, name: &str) -> io::Result<Duration> {
    let stat = proc_file(cluster, name, "stat")?;
    // The second field is the program's name in parentheses, which may contain spaces.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| {
        fields.get(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or_default()
    };
    Ok(Duration::from_millis((ticks(11) + ticks(12)) * 1_000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of a process in bytes.
pub fn resident_memory(cluster: &mut Cluster, name: &str) -> io::Result<u64> {
    let statm = proc_file(cluster, name, "statm")?;
    let pages: u64 = statm.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default();
    Ok(pages * PAGE_BYTES)
}

fn proc_file(cluster: &mut Cluster, name: &str, file: &str) -> io::Result<String> {
    let process =
        cluster.process(name).ok_or_else(|| io::Error::other(format!("{name} is not running")))?;
    std::fs::read_to_string(std::path::Path::new("/proc").join(process.id().to_string()).join(file))
}
