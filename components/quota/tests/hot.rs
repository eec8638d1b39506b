//! One tenant far over its quota: guards against token requests and a burst that keep it from what it may send.

mod fleet;

use fleet::{Fleet, Tenant};

const NODES: usize = 79;
const RATE: f64 = 518.0;
/// Usual demand, and that of the surge, in requests per second.
const USUAL: f64 = 324.0;
const SURGE: f64 = 2_000.0;
/// Length of the surge in seconds: more than a window.
const SECONDS: f64 = 12.0;

#[test]
fn a_tenant_far_over_its_quota_is_served_its_rate() {
    for zones in [1, 4] {
        let mut fleet = Fleet::new(1, NODES, zones);
        fleet.tenants.push(Tenant::new("hot", RATE, USUAL, (0..NODES).collect()));
        fleet.run(10.0);
        let tenant = &mut fleet.tenants[0];
        tenant.demand = SURGE;
        (tenant.offered, tenant.refused) = (0, 0);
        let before = fleet.messages;
        fleet.run(SECONDS);
        let tenant = &fleet.tenants[0];
        let served = (tenant.offered - tenant.refused) as f64 / SECONDS;
        let messages = (fleet.messages - before) as f64 / SECONDS;
        println!("{zones} zones: {served:.0} a second served, {messages:.0} messages a second");
        assert!(served >= RATE, "{served}");
        // A quota leader answers a few hundred messages a second beside its other work.
        assert!(messages <= 300.0 * 4.0, "{messages}");
    }
}
