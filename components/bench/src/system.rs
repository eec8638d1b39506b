//! The systems that are measured.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use clap::ValueEnum;
use load::{Experiment, Mix, Phase};
use serde_json::{Value, json};
use standins::cluster::{Cluster, Place, Vm};
use standins::upstream::Stats;

/// What every experiment is started with.
#[derive(Debug)]
pub struct Setup {
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Name of the programs' commit.
    pub commit: String,
    /// No baselines.
    pub only: bool,
}

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// No control, and three retries at each hop.
    Naive,
    /// The announced slots as a limit, and three retries at each hop.
    Static,
    /// Everything on.
    Full,
}

/// The users' systems.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Example {
    /// Dala Oat Trading.
    Dala,
    /// Tuiwai Fountain Care Franchising.
    Tuiwai,
}

impl Setup {
    /// The variants to measure.
    pub fn variants(&self) -> Vec<Variant> {
        if self.only {
            vec![Variant::Full]
        } else {
            vec![Variant::Naive, Variant::Static, Variant::Full]
        }
    }
}

impl Variant {
    /// Its name in tables.
    pub fn name(self, setup: &Setup) -> String {
        match self {
            Self::Naive => "no control, 3 retries a hop".to_owned(),
            Self::Static => "static limits, 3 retries a hop".to_owned(),
            Self::Full => setup.commit.clone(),
        }
    }

    /// Settings that make it so.
    pub fn settings(self) -> Value {
        let off = |limit: &str| json!({ "limit": limit, "levels": false, "allowance": false, "quarantine": false });
        match self {
            Self::Naive => json!({ "mechanisms": off("off") }),
            Self::Static => json!({ "mechanisms": off("static") }),
            Self::Full => json!({}),
        }
    }
}

impl Example {
    /// Requests a second that its scarcest service can do.
    pub fn capacity(self) -> f64 {
        match self {
            Self::Dala => 4.0 * 10.0 / 0.040,
            Self::Tuiwai => 4.0 * 25.0 / 0.080,
        }
    }

    /// Its failure domains.
    pub fn places(self) -> Vec<Place> {
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
        pairs.iter().map(|(domain, region)| Place::new(domain, region)).collect()
    }

    /// Its rules.
    pub fn rules(self) -> &'static str {
        match self {
            Self::Dala => include_str!("../../../examples/dala/rules.txt"),
            Self::Tuiwai => include_str!("../../../examples/tuiwai/rules.txt"),
        }
    }

    /// One-way delay between failure domains of a region, in milliseconds.
    fn near(self) -> u64 {
        match self {
            Self::Dala => 2,
            Self::Tuiwai => 1,
        }
    }

    fn vms(self) -> Vec<Vm> {
        let ms = Duration::from_millis;
        let place = |place: usize| match self {
            Self::Dala => {
                let vm = |service: &str, number: u8| {
                    let mut vm = Vm::new(&format!("{service}-{place}"), place, number, service)
                        .sized(40, ms(20));
                    vm.connections = 350;
                    vm
                };
                vec![
                    vm("catalog", 1).calls("GET:/stock@/prices"),
                    vm("orders", 2).calls("GET:/stock"),
                    vm("deliveries", 3).calls("POST:/bills"),
                    vm("warehouse", 4).sized(10, ms(40)),
                ]
            }
            Self::Tuiwai => {
                let vm = |service: &str, number: u8| {
                    let mut vm = Vm::new(&format!("{service}-{place}"), place, number, service)
                        .sized(220, ms(20));
                    vm.connections = 1_400;
                    vm
                };
                vec![
                    vm("catalogue", 1),
                    vm("warranty", 2).calls("GET:/price"),
                    vm("bookings", 3).calls("GET:/price"),
                    vm("pricing", 4).sized(25, ms(80)),
                ]
            }
        };
        (0..4).flat_map(place).collect()
    }

    /// A running system, without a network between its domains unless `network`.
    pub async fn start(
        self,
        setup: &Setup,
        variant: Variant,
        network: bool,
    ) -> io::Result<Cluster> {
        let net = if self == Self::Dala { 31 } else { 32 };
        let mut cluster = Cluster::new(net, &setup.programs, self.places())?;
        // Without a log there are no claims.
        cluster.rules(&self.rules().replace(" once ", " "))?;
        cluster.tweak(variant.settings());
        for vm in self.vms() {
            cluster.add(vm);
        }
        if network {
            cluster.start_network(self.near(), 30, 3_750_000)?;
        }
        cluster.start_vms()?;
        must(cluster.ready().await, "the nodes did not find each other")?;
        Ok(cluster)
    }
}

/// An error unless a condition holds.
pub fn must(condition: bool, what: &str) -> io::Result<()> {
    if condition { Ok(()) } else { Err(io::Error::other(what.to_owned())) }
}

/// A mix with a path and rates, each until a second.
pub fn mix(name: &str, method: &str, path: &str, phases: &[(u64, f64)]) -> Mix {
    let phase =
        |(until, rate): &(u64, f64)| Phase { until: Duration::from_secs(*until), rate: *rate };
    Mix::new(name, method, path, phases.iter().map(phase).collect())
}

/// An experiment with every node, but those of one service, as an entry.
pub fn experiment(cluster: &Cluster, setup: &Setup, without: &str, mixes: Vec<Mix>) -> Experiment {
    let entries = cluster
        .vms()
        .iter()
        .filter(|vm| vm.service != without)
        .map(|vm| cluster.callers(vm))
        .collect();
    Experiment { seed: setup.seed, entries, timeout: Duration::from_secs(4), mixes }
}

/// Runs an experiment; with `BENCH_VERBOSE` set, prints what became of the requests.
pub async fn play(plan: &Experiment) -> Vec<load::Summary> {
    let summaries = load::run(plan).await;
    if std::env::var_os("BENCH_VERBOSE").is_some() {
        eprint!("{}", load::text(&summaries));
    }
    summaries
}

/// What every upstream saw.
pub async fn witnesses(cluster: &Cluster) -> Vec<(Vm, Stats)> {
    let mut all = Vec::new();
    for vm in cluster.vms() {
        if let Some(witness) = cluster.witness(vm).await {
            all.push((vm.clone(), witness));
        }
    }
    all
}

/// Share of the upstreams' work that was done for requests that failed.
pub fn wasted(witnesses: &[(Vm, Stats)], lost: &std::collections::HashSet<String>) -> f64 {
    let work = || witnesses.iter().flat_map(|(_, witness)| &witness.work_us);
    let total: u64 = work().map(|(_, micros)| micros).sum();
    let wasted: u64 = work().filter(|(id, _)| lost.contains(*id)).map(|(_, micros)| micros).sum();
    wasted as f64 / total.max(1) as f64
}
