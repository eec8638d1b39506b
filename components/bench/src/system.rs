//! The measured systems and their variants.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use clap::ValueEnum;
use load::{Experiment, Mix, Phase};
use serde_json::{Value, json};
use standins::cluster::{Cluster, FailureDomain, Vm};
use standins::upstream::Stats;

/// Common options of all experiments.
#[derive(Debug)]
pub struct Setup {
    /// Folder of the binaries.
    pub programs: PathBuf,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Name of the measured commit.
    pub commit: String,
    /// Skip the baselines.
    pub no_baselines: bool,
}

/// Measured configuration of almondknot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// No load control, three retries at each hop.
    Naive,
    /// Announced slots as static limits, three retries at each hop.
    Static,
    /// All mechanisms enabled.
    Full,
}

/// Example systems.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Example {
    /// Dala Oat Trading.
    Dala,
    /// Tuiwai Fountain Care Franchising.
    Tuiwai,
}

impl Setup {
    /// Returns the variants to measure.
    pub fn variants(&self) -> Vec<Variant> {
        if self.no_baselines {
            vec![Variant::Full]
        } else {
            vec![Variant::Naive, Variant::Static, Variant::Full]
        }
    }
}

impl Variant {
    /// Returns the name in tables.
    pub fn name(self, setup: &Setup) -> String {
        match self {
            Self::Naive => "no control, 3 retries a hop".to_owned(),
            Self::Static => "static limits, 3 retries a hop".to_owned(),
            Self::Full => setup.commit.clone(),
        }
    }

    /// Returns the node settings of the variant.
    pub fn settings(self) -> Value {
        let mechanisms = |limit: &str| json!({ "limit": limit, "levels": false, "allowance": false, "quarantine": false });
        match self {
            Self::Naive => json!({ "mechanisms": mechanisms("off") }),
            Self::Static => json!({ "mechanisms": mechanisms("static") }),
            Self::Full => json!({}),
        }
    }
}

impl Example {
    /// Returns the capacity of the bottleneck service in requests per second.
    pub fn capacity(self) -> f64 {
        match self {
            Self::Dala => 4.0 * 10.0 / 0.040,
            Self::Tuiwai => 4.0 * 25.0 / 0.080,
        }
    }

    /// Returns the failure domains.
    pub fn domains(self) -> Vec<FailureDomain> {
        let pairs = match self {
            Self::Dala => [
                ("almaty-a", "almaty"),
                ("almaty-b", "almaty"),
                ("astana-a", "astana"),
                ("astana-b", "astana"),
            ],
            Self::Tuiwai => [
                ("akl-a", "north-island"),
                ("akl-b", "north-island"),
                ("chc-a", "south-island"),
                ("chc-b", "south-island"),
            ],
        };
        pairs.iter().map(|(domain, region)| FailureDomain::new(domain, region)).collect()
    }

    /// Returns the rules.
    pub fn rules(self) -> &'static str {
        match self {
            Self::Dala => include_str!("../../../examples/dala/rules.txt"),
            Self::Tuiwai => include_str!("../../../examples/tuiwai/rules.txt"),
        }
    }

    /// One-way delay between failure domains of a region, in milliseconds.
    fn domain_delay(self) -> u64 {
        match self {
            Self::Dala => 2,
            Self::Tuiwai => 1,
        }
    }

    fn vms(self) -> Vec<Vm> {
        let ms = Duration::from_millis;
        let domain_vms = |domain: usize| match self {
            Self::Dala => {
                let vm = |service: &str, number: u8| {
                    let mut vm = Vm::new(&format!("{service}-{domain}"), domain, number, service)
                        .with_capacity(40, ms(20));
                    vm.connections = 350;
                    vm
                };
                vec![
                    vm("catalog", 1).with_call("GET:/stock@/prices"),
                    vm("orders", 2).with_call("GET:/stock"),
                    vm("deliveries", 3).with_call("POST:/bills"),
                    vm("warehouse", 4).with_capacity(10, ms(40)),
                ]
            }
            Self::Tuiwai => {
                let vm = |service: &str, number: u8| {
                    let mut vm = Vm::new(&format!("{service}-{domain}"), domain, number, service)
                        .with_capacity(220, ms(20));
                    vm.connections = 1_400;
                    vm
                };
                vec![
                    vm("catalogue", 1),
                    vm("warranty", 2).with_call("GET:/price"),
                    vm("bookings", 3).with_call("GET:/price"),
                    vm("pricing", 4).with_capacity(25, ms(80)),
                ]
            }
        };
        (0..4).flat_map(domain_vms).collect()
    }

    /// Starts the system, with the network stand-in between failure domains if `network` is set.
    pub async fn start(
        self,
        setup: &Setup,
        variant: Variant,
        network: bool,
    ) -> io::Result<Cluster> {
        let net = if self == Self::Dala { 31 } else { 32 };
        let mut cluster = Cluster::new(net, &setup.programs, self.domains())?;
        // `once` rules need a log, which is not started here.
        cluster.set_rules(&self.rules().replace(" once ", " "))?;
        cluster.override_settings(variant.settings());
        for vm in self.vms() {
            cluster.add(vm);
        }
        if network {
            cluster.start_network(self.domain_delay(), 30, 3_750_000)?;
        }
        cluster.start_vms()?;
        ensure(cluster.wait_ready().await, "the nodes did not find each other")?;
        Ok(cluster)
    }
}

/// Returns an error unless a condition holds.
pub fn ensure(condition: bool, message: &str) -> io::Result<()> {
    if condition { Ok(()) } else { Err(io::Error::other(message.to_owned())) }
}

/// Creates a mix from the end of each phase in seconds and its rate.
pub fn mix(name: &str, method: &str, path: &str, phases: &[(u64, f64)]) -> Mix {
    let phase =
        |(until, rate): &(u64, f64)| Phase { until: Duration::from_secs(*until), rate: *rate };
    Mix::new(name, method, path, phases.iter().map(phase).collect())
}

/// Creates an experiment that sends requests to the nodes of all services but one.
pub fn experiment(cluster: &Cluster, setup: &Setup, excluded: &str, mixes: Vec<Mix>) -> Experiment {
    let entries = cluster
        .vms()
        .iter()
        .filter(|vm| vm.service != excluded)
        .map(|vm| cluster.caller_address(vm))
        .collect();
    Experiment { seed: setup.seed, entries, timeout: Duration::from_secs(4), mixes }
}

/// Runs an experiment; prints its report if `BENCH_VERBOSE` is set.
pub async fn run_load(experiment: &Experiment) -> Vec<load::Summary> {
    let summaries = load::run(experiment).await;
    if std::env::var_os("BENCH_VERBOSE").is_some() {
        eprint!("{}", load::report(&summaries));
    }
    summaries
}

/// Returns the counts of every upstream.
pub async fn upstream_stats(cluster: &Cluster) -> Vec<(Vm, Stats)> {
    let mut all = Vec::new();
    for vm in cluster.vms() {
        if let Some(stats) = cluster.stats(vm).await {
            all.push((vm.clone(), stats));
        }
    }
    all
}

/// Returns the share of the upstreams' work that was done for failed requests.
pub fn wasted_share(stats: &[(Vm, Stats)], failed_ids: &std::collections::HashSet<String>) -> f64 {
    let work = || stats.iter().flat_map(|(_, stats)| &stats.work_us);
    let total: u64 = work().map(|(_, micros)| micros).sum();
    let wasted: u64 =
        work().filter(|(id, _)| failed_ids.contains(*id)).map(|(_, micros)| micros).sum();
    wasted as f64 / total.max(1) as f64
}
