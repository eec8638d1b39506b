//! Attempts in a tree over its first tries, at several depths.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use standins::cluster::{Cluster, Place, Vm};
use standins::upstream::Faults;

use crate::system::{self, Setup, Variant, experiment, mix, must, witnesses};
use crate::table::{self, verdict};

const DEPTHS: [u8; 4] = [2, 5, 10, 20];
const ALLOWANCE: u32 = 2;
/// Share of requests that the last service of the chain refuses.
const REFUSED: f64 = 0.5;
const RATE: f64 = 20.0;
const SECONDS: u64 = 6;

/// Measures the variants.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!(
        "Retries in one tree, allowance {ALLOWANCE}, last service refuses half, seed {}",
        setup.seed
    );
    table::head(
        &title,
        &["variant", "depth", "most retries in a tree", "bound 2", "retries / root", "whole"],
    );
    for variant in setup.variants() {
        for depth in DEPTHS {
            // Four to the power of the depth is more than anything here can do.
            if variant != Variant::Full && depth > 5 {
                table::row(&[
                    variant.name(setup),
                    depth.to_string(),
                    "not run".into(),
                    "".into(),
                    "".into(),
                    "".into(),
                ]);
                continue;
            }
            let (most, mean, whole) = measure(setup, variant, depth).await?;
            table::row(&[
                variant.name(setup),
                depth.to_string(),
                most.to_string(),
                verdict(most <= ALLOWANCE),
                format!("{mean:.2}"),
                table::percent(whole),
            ]);
        }
    }
    Ok(())
}

/// Services `s1` to `s<depth>`, each of which calls the next.
async fn chain(setup: &Setup, variant: Variant, depth: u8) -> io::Result<Cluster> {
    let mut cluster = Cluster::new(33, &setup.programs, vec![Place::new("a", "r")])?;
    let mut rules = String::new();
    for level in 1..=depth {
        rules += &format!(
            "call GET /s{level} to s{level} class customer deadline 5s retries {ALLOWANCE} # bench\n"
        );
        rules += &format!("service s{level} retry-ratio 100% # bench\n");
        let mut vm = Vm::new(&format!("s{level}"), 0, level, &format!("s{level}"))
            .sized(40, Duration::from_millis(1));
        if level < depth {
            vm = vm.calls(&format!("GET:/s{}", level + 1));
        }
        cluster.add(vm);
    }
    cluster.rules(&rules)?;
    cluster.tweak(variant.settings());
    cluster.start_vms()?;
    must(cluster.ready().await, "the nodes did not find each other")?;
    let last = cluster.vms()[usize::from(depth) - 1].clone();
    must(
        cluster.fault(&last, &Faults { refuse: REFUSED, ..Faults::default() }).await,
        "no fault could be set",
    )?;
    Ok(cluster)
}

async fn measure(setup: &Setup, variant: Variant, depth: u8) -> io::Result<(u32, f64, f64)> {
    let cluster = chain(setup, variant, depth).await?;
    let mixes = vec![mix("root", "GET", "/s1", &[(SECONDS, RATE)])];
    let mut plan = experiment(&cluster, setup, "", mixes);
    plan.entries.truncate(1);
    plan.timeout = Duration::from_secs(8);
    let summaries = system::play(&plan).await;
    let mut retries: BTreeMap<String, u32> = BTreeMap::new();
    let levels = witnesses(&cluster).await;
    for (index, (_, witness)) in levels.iter().enumerate() {
        for (id, arrived) in &witness.arrivals {
            // Every run of the level above makes one first try.
            let first = match index {
                0 => 1,
                _ => levels[index - 1].1.runs.get(id).copied().unwrap_or_default(),
            };
            *retries.entry(id.clone()).or_default() += arrived.saturating_sub(first);
        }
    }
    let most = retries.values().copied().max().unwrap_or_default();
    let mean = f64::from(retries.values().sum::<u32>()) / retries.len().max(1) as f64;
    Ok((most, mean, summaries[0].whole as f64 / summaries[0].requests.max(1) as f64))
}
