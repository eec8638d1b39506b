//! All nodes together keep each tenant's quota in every sliding window, under random faults by seed: guards against
//! tokens that are counted twice, and shares that are in two places.

mod fleet;

use fleet::{Fleet, Tenant};
use rand::RngExt;

const RATES: [f64; 4] = [5.0, 25.0, 120.0, 518.0];
const ZONES: usize = 4;

fn fleet(seed: u64, nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, nodes, ZONES);
    for rate in RATES {
        let all = (0..nodes).collect();
        fleet.tenants.push(Tenant::new(&format!("t{rate}"), rate, 8.0 * rate, all));
    }
    (fleet.loss, fleet.late, fleet.repeated) = (0.03, 0.02, 0.03);
    fleet
}

/// One random fault.
fn fault(fleet: &mut Fleet, next_name: &mut usize) {
    let living = fleet.living();
    let place = living[fleet.rng.random_range(0..living.len())];
    match fleet.rng.random_range(0..13) {
        0 | 1 => partition(fleet),
        2 | 3 => fleet.processes.iter_mut().for_each(|process| process.group = 0),
        4 => {
            let name = fleet.processes[place].name;
            fleet.processes[place].alive = false;
            fleet.start(name);
        }
        5 => {
            let time = fleet.rng.random_range(0.3..20.0);
            fleet.suspend(place, time);
        }
        6 => {
            // Another process with the name of a running one.
            let name = fleet.processes[place].name;
            let rivals = living.iter().filter(|place| fleet.processes[**place].name == name);
            if rivals.count() == 1 {
                fleet.start(name);
            }
        }
        7 if *next_name < 200 => {
            fleet.start(*next_name);
            *next_name += 1;
        }
        8 => {
            let by = fleet.rng.random_range(-5.0..5.0);
            fleet.shift_wall_clock(place, by);
        }
        9 => limit(fleet),
        10 => {
            let tenant = fleet.rng.random_range(0..fleet.tenants.len());
            let name = fleet.processes[place].name;
            let nodes = if fleet.rng.random_bool(0.5) { vec![name] } else { (0..10).collect() };
            fleet.tenants[tenant].at = nodes;
        }
        11 | 12 => surge(fleet),
        _ => {}
    }
}

/// Cuts a random part of the nodes off, in one group or two.
fn partition(fleet: &mut Fleet) {
    let groups = fleet.rng.random_range(2..4);
    let cut = fleet.rng.random_range(0.0..1.0);
    for process in fleet.living() {
        let apart = fleet.rng.random_bool(cut);
        let group = if apart { fleet.rng.random_range(0..groups) } else { 0 };
        fleet.processes[process].group = group;
    }
}

/// Changes the limit of a tenant.
fn limit(fleet: &mut Fleet) {
    let tenant = fleet.rng.random_range(0..fleet.tenants.len());
    let rate = RATES[tenant] * fleet.rng.random_range(0.2..1.0);
    fleet.set_rate(tenant, rate);
    fleet.tenants[tenant].demand = 8.0 * rate;
}

/// Fills the buckets, then sends everything at once.
fn surge(fleet: &mut Fleet) {
    let tenants = fleet.tenants.iter_mut();
    let demands: Vec<f64> = tenants.map(|tenant| std::mem::take(&mut tenant.demand)).collect();
    fleet.run(3.0);
    for (tenant, demand) in fleet.tenants.iter_mut().zip(demands) {
        tenant.demand = demand;
    }
}

fn play(seed: u64, nodes: usize, seconds: f64) -> f64 {
    let mut fleet = fleet(seed, nodes);
    let mut next_name = nodes;
    fleet.run(8.0);
    let end = fleet.now + seconds;
    while fleet.now < end {
        fault(&mut fleet, &mut next_name);
        let pause = fleet.rng.random_range(0.1..3.0);
        fleet.run(pause);
    }
    let permitted: Vec<u64> = fleet.tenants.iter().map(|tenant| tenant.permitted).collect();
    let highest = fleet.tenants.iter().map(|tenant| tenant.highest).fold(0.0, f64::max);
    println!("{nodes} nodes, seed {seed}: {permitted:?} permitted, {highest:.3} of the bound");
    assert!(permitted.iter().all(|count| *count > 0));
    highest
}

fn seeds() -> u64 {
    std::env::var("QUOTA_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(6)
}

#[test]
fn ten_nodes_keep_the_window_under_random_faults() {
    (0..2 * seeds()).for_each(|seed| {
        play(seed, 10, 60.0);
    });
}

#[test]
fn forty_nodes_keep_the_window_under_random_faults() {
    (0..seeds()).for_each(|seed| {
        play(100 + seed, 40, 60.0);
    });
}

#[test]
fn a_hundred_and_sixty_nodes_keep_the_window_under_random_faults() {
    (0..seeds().div_ceil(3)).for_each(|seed| {
        play(200 + seed, 160, 40.0);
    });
}
