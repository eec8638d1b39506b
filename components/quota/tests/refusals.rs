//! Demand within the quota is served wherever it arrives: guards against tokens that are where the requests are not. At
//! most 5% may be refused while nothing fails, a bound from before the first measurement.

mod fleet;

use std::ops::Range;

use fleet::{Fleet, Tenant};
use rand::RngExt;

const MAX_REFUSED: f64 = 0.05;
/// Usual demand of a tenant is its rate divided by this.
const HEADROOM: f64 = 1.6;
const ZONES: usize = 4;
/// Time in which a fleet that was just started fills its buckets.
const WARM_UP: f64 = 8.0;

/// Refused share of each tenant's requests while `step` moves the demand every `pause` seconds.
fn refused(
    fleet: &mut Fleet,
    steps: Range<usize>,
    pause: f64,
    mut step: impl FnMut(&mut Fleet, usize),
) -> Vec<f64> {
    fleet.run(WARM_UP);
    for tenant in &mut fleet.tenants {
        (tenant.offered, tenant.refused) = (0, 0);
    }
    for number in steps {
        step(fleet, number);
        fleet.run(pause);
    }
    let shares = fleet.tenants.iter().map(|tenant| tenant.refused as f64 / tenant.offered as f64);
    let shares: Vec<f64> = shares.collect();
    let offered: u64 = fleet.tenants.iter().map(|tenant| tenant.offered).sum();
    let refused: u64 = fleet.tenants.iter().map(|tenant| tenant.refused).sum();
    println!(
        "{refused} of {offered} refused, worst tenant {:.4}, {:.2} messages a request",
        shares.iter().copied().fold(0.0, f64::max),
        fleet.messages as f64 / offered as f64
    );
    shares
}

fn tenants(fleet: &mut Fleet, rates: &[f64], nodes: usize) {
    for (index, rate) in rates.iter().enumerate() {
        let name = format!("t{index}-{rate}");
        let all = (0..nodes).collect();
        fleet.tenants.push(Tenant::new(&name, *rate, rate / HEADROOM, all));
    }
}

fn hot_zone(seed: u64, nodes: usize) {
    let mut fleet = Fleet::new(seed, nodes, ZONES);
    tenants(&mut fleet, &[5.0, 25.0, 120.0, 518.0], nodes);
    let shares = refused(&mut fleet, 0..12, 5.0, |fleet, number| {
        let zone = (0..nodes).filter(|node| node % ZONES == number % ZONES);
        let zone: Vec<usize> = zone.collect();
        fleet.tenants.iter_mut().for_each(|tenant| tenant.at = zone.clone());
    });
    assert!(shares.iter().all(|share| *share <= MAX_REFUSED), "{shares:?}");
}

#[test]
fn a_hot_spot_that_moves_between_zones_is_served() {
    for nodes in [10, 40, 160] {
        hot_zone(nodes as u64, nodes);
    }
}

#[test]
fn a_hot_spot_that_moves_between_nodes_is_served() {
    for nodes in [10, 40, 160] {
        let mut fleet = Fleet::new(nodes as u64, nodes, ZONES);
        tenants(&mut fleet, &[5.0, 25.0, 120.0, 518.0], nodes);
        let shares = refused(&mut fleet, 0..20, 3.0, |fleet, _| {
            let node = fleet.rng.random_range(0..nodes);
            fleet.tenants.iter_mut().for_each(|tenant| tenant.at = vec![node]);
        });
        assert!(shares.iter().all(|share| *share <= MAX_REFUSED), "{shares:?}");
    }
}

/// The share of a tenant of 5 requests a second at each of 79 nodes is 0.06 requests a second.
#[test]
fn small_tenants_on_many_nodes_are_served() {
    let mut fleet = Fleet::new(1, 79, ZONES);
    tenants(&mut fleet, &[5.0; 40], 79);
    let shares = refused(&mut fleet, 0..1, 60.0, |_, _| {});
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    assert!(mean <= MAX_REFUSED, "{mean}");
    assert!(shares.iter().all(|share| *share <= MAX_REFUSED), "{shares:?}");
}
