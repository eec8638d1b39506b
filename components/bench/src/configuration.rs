//! Time until a published configuration is in force on all nodes, with network delays and one frozen node.

use std::io;
use std::time::{Duration, Instant};

use standins::cluster::{Cluster, FailureDomain, Signal, Vm};
use units::{Clock, SystemClock};

use crate::system::{Setup, ensure};
use crate::table::{self, met_or_missed};

const NODES_PER_DOMAIN: u8 = 5;
const MAX_DELAY_S: f64 = 12.0;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Measures this commit.
pub async fn run(setup: &Setup, publishes: usize) -> io::Result<()> {
    let domains = ["a", "b", "c", "d"]
        .map(|name| FailureDomain::new(name, if name < "c" { "r1" } else { "r2" }));
    let mut cluster = Cluster::new(36, &setup.programs, domains.to_vec())?;
    for domain in 0..4 {
        for number in 1..=NODES_PER_DOMAIN {
            cluster.add(Vm::new(&format!("n{domain}-{number}"), domain, number, "echo"));
        }
    }
    cluster.start_network(1, 30, 3_750_000)?;
    cluster.start_log(&[])?;
    for vm in cluster.vms().to_vec() {
        cluster.start_node(&vm)?;
    }
    let frozen = cluster.vms()[7].clone();
    let rules = cluster.dir().join("published.txt");
    let mut times = Vec::new();
    for index in 0..publishes {
        if index == publishes / 2 {
            signal(&mut cluster, &frozen, Signal::SIGSTOP)?;
        }
        std::fs::write(
            &rules,
            format!("call GET /echo to echo deadline {}ms # bench\n", index + 1),
        )?;
        let skip = (index >= publishes / 2).then_some(&frozen);
        times.push(publish(&cluster, &rules.display().to_string(), skip).await?);
    }
    signal(&mut cluster, &frozen, Signal::SIGCONT)?;
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    table::header(
        &format!(
            "{publishes} publishes, 20 nodes, 30 ms between regions, one node frozen for the second half"
        ),
        &["median s", "worst s", "bound 12 s"],
    );
    table::row(&[
        format!("{median:.2}"),
        format!("{worst:.2}"),
        met_or_missed(worst <= MAX_DELAY_S),
    ]);
    Ok(())
}

fn signal(cluster: &mut Cluster, vm: &Vm, signal: Signal) -> io::Result<()> {
    let process = cluster.process(&format!("node-{}", vm.name));
    process.map_or(Ok(()), |process| process.signal(signal))
}

/// Publishes rules and returns the seconds until each node but `skip` reports the version as in force.
async fn publish(cluster: &Cluster, rules: &str, skip: Option<&Vm>) -> io::Result<f64> {
    let log = cluster.log_address().to_string();
    let started: Instant = SystemClock.now();
    let (text, code) =
        cluster.run(&["publish", "--rules", rules, "--log", &log, "--author", "bench"])?;
    ensure(code == 0, &text)?;
    let version: u64 =
        text.trim().rsplit(' ').next().and_then(|word| word.parse().ok()).unwrap_or_default();
    let expected = cluster.vms().iter().filter(|vm| skip.is_none_or(|skip| skip.name != vm.name));
    for vm in expected {
        loop {
            let status = cluster.status(vm).await.unwrap_or_default();
            if status["version"].as_u64().is_some_and(|applied| applied >= version) {
                break;
            }
            ensure(started.elapsed() < TIMEOUT, "a node did not apply the version within 20 s")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(started.elapsed().as_secs_f64())
}
