//! Time until a published configuration is in force everywhere, with links between regions and one frozen node.

use std::io;
use std::time::{Duration, Instant};

use standins::cluster::{Cluster, Place, Signal, Vm};
use units::{Clock, SystemClock};

use crate::system::{Setup, must};
use crate::table::{self, verdict};

const NODES: u8 = 5;
const BOUND: f64 = 12.0;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// Measures this commit.
pub async fn run(setup: &Setup, publishes: usize) -> io::Result<()> {
    let places =
        ["a", "b", "c", "d"].map(|name| Place::new(name, if name < "c" { "r1" } else { "r2" }));
    let mut cluster = Cluster::new(36, &setup.programs, places.to_vec())?;
    for place in 0..4 {
        for number in 1..=NODES {
            cluster.add(Vm::new(&format!("n{place}-{number}"), place, number, "echo"));
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
        times.push(once(&cluster, &rules.display().to_string(), skip).await?);
    }
    signal(&mut cluster, &frozen, Signal::SIGCONT)?;
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    table::head(
        &format!(
            "{publishes} publishes, 20 nodes, 30 ms between regions, one node frozen for the second half"
        ),
        &["median s", "worst s", "bound 12 s"],
    );
    table::row(&[format!("{median:.2}"), format!("{worst:.2}"), verdict(worst <= BOUND)]);
    Ok(())
}

fn signal(cluster: &mut Cluster, vm: &Vm, signal: Signal) -> io::Result<()> {
    let process = cluster.process(&format!("node-{}", vm.name));
    process.map_or(Ok(()), |process| process.signal(signal))
}

/// Publishes once; the time until each node that runs says that it has the version in force.
async fn once(cluster: &Cluster, rules: &str, skip: Option<&Vm>) -> io::Result<f64> {
    let log = cluster.log_address().to_string();
    let started: Instant = SystemClock.now();
    let (text, code) =
        cluster.run(&["publish", "--rules", rules, "--log", &log, "--author", "bench"])?;
    must(code == 0, &text)?;
    let version: u64 =
        text.trim().rsplit(' ').next().and_then(|word| word.parse().ok()).unwrap_or_default();
    let waiting = cluster.vms().iter().filter(|vm| skip.is_none_or(|skip| skip.name != vm.name));
    for vm in waiting {
        loop {
            let status = cluster.status(vm).await.unwrap_or_default();
            if status["version"].as_u64().is_some_and(|at| at >= version) {
                break;
            }
            must(started.elapsed() < TIMEOUT, "a node never got the version")?;
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(started.elapsed().as_secs_f64())
}
