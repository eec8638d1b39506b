//! Retries in call trees of several depths.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use standins::cluster::{Cluster, FailureDomain, Vm};
use standins::upstream::Faults;

use crate::system::{self, Setup, Variant, ensure, experiment, mix, upstream_stats};
use crate::table::{self, met_or_missed};

const DEPTHS: [u8; 4] = [2, 5, 10, 20];
/// Retries allowed per tree.
const ALLOWANCE: u32 = 2;
/// Share of requests that the last service of the chain refuses.
const REFUSED_SHARE: f64 = 0.5;
const REQUESTS_PER_SECOND: f64 = 20.0;
const DURATION_S: u64 = 6;

/// Measures each variant.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!(
        "Retries per call tree, allowance {ALLOWANCE}, last service refuses half of its requests, seed {}",
        setup.seed
    );
    table::header(
        &title,
        &[
            "variant",
            "depth",
            "max retries per tree",
            "bound 2",
            "retries / root request",
            "success",
        ],
    );
    for variant in setup.variants() {
        for depth in DEPTHS {
            // The baselines make up to 4^depth attempts, which is too many beyond this depth.
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
            let (max, mean, success) = measure(setup, variant, depth).await?;
            table::row(&[
                variant.name(setup),
                depth.to_string(),
                max.to_string(),
                met_or_missed(max <= ALLOWANCE),
                format!("{mean:.2}"),
                table::percent(success),
            ]);
        }
    }
    Ok(())
}

/// Starts services `s1` to `s<depth>`, each of which calls the next.
async fn start_chain(setup: &Setup, variant: Variant, depth: u8) -> io::Result<Cluster> {
    let mut cluster = Cluster::new(33, &setup.programs, vec![FailureDomain::new("a", "r")])?;
    let mut rules = String::new();
    for level in 1..=depth {
        rules += &format!(
            "call GET /s{level} to s{level} class customer deadline 5s retries {ALLOWANCE} # bench\n"
        );
        rules += &format!("service s{level} retry-ratio 100% # bench\n");
        let mut vm = Vm::new(&format!("s{level}"), 0, level, &format!("s{level}"))
            .with_capacity(40, Duration::from_millis(1));
        if level < depth {
            vm = vm.with_call(&format!("GET:/s{}", level + 1));
        }
        cluster.add(vm);
    }
    cluster.set_rules(&rules)?;
    cluster.override_settings(variant.settings());
    cluster.start_vms()?;
    ensure(cluster.wait_ready().await, "the nodes did not find each other")?;
    let last = cluster.vms()[usize::from(depth) - 1].clone();
    ensure(
        cluster.set_faults(&last, &Faults { refuse: REFUSED_SHARE, ..Faults::default() }).await,
        "the fault could not be set",
    )?;
    Ok(cluster)
}

/// Returns the maximum and the mean number of retries per tree, and the share of successful requests.
async fn measure(setup: &Setup, variant: Variant, depth: u8) -> io::Result<(u32, f64, f64)> {
    let cluster = start_chain(setup, variant, depth).await?;
    let mixes = vec![mix("root", "GET", "/s1", &[(DURATION_S, REQUESTS_PER_SECOND)])];
    let mut plan = experiment(&cluster, setup, "", mixes);
    plan.entries.truncate(1);
    plan.timeout = Duration::from_secs(8);
    let summaries = system::run_load(&plan).await;
    let mut retries: BTreeMap<String, u32> = BTreeMap::new();
    let levels = upstream_stats(&cluster).await;
    for (index, (_, stats)) in levels.iter().enumerate() {
        for (id, arrived) in &stats.arrivals {
            // Each run of the level above makes one first attempt.
            let first_attempts = match index {
                0 => 1,
                _ => levels[index - 1].1.runs.get(id).copied().unwrap_or_default(),
            };
            *retries.entry(id.clone()).or_default() += arrived.saturating_sub(first_attempts);
        }
    }
    let max = retries.values().copied().max().unwrap_or_default();
    let mean = f64::from(retries.values().sum::<u32>()) / retries.len().max(1) as f64;
    Ok((max, mean, summaries[0].succeeded as f64 / summaries[0].requests.max(1) as f64))
}
