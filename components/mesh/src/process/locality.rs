//! Which regions lack upstreams for the calls of a request's tree, as far as this node knows.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::events::Event;
use super::shared::{Shared, lock};
use crate::decide::demand::Demand;
use crate::decide::locality::{Locality, Names};
use crate::decide::members::UpstreamState;
use crate::platform::Platform;

/// Updates the regions from what arrives at nodes and where upstreams are.
pub fn update<P: Platform>(shared: &Shared<P>, demand: &Demand) {
    let calls = called_services(shared, demand);
    let locality = Locality::new(&calls, &regions_by_service(shared));
    let mut known = lock(&shared.locality);
    if *known != locality {
        shared.log(&Event::LocalityChanged { incomplete: locality.describe() });
        *known = locality;
    }
}

/// The services that the upstreams of each service call.
fn called_services<P: Platform>(shared: &Shared<P>, demand: &Demand) -> BTreeMap<Arc<str>, Names> {
    let Some(configuration) = shared.configuration() else { return BTreeMap::new() };
    let internal = {
        let traffic = lock(&shared.traffic);
        let routes =
            configuration.routes().filter(|route| traffic.admission.is_internal(&route.name));
        routes.map(|route| (&*route.name, &route.services)).collect::<BTreeMap<_, _>>()
    };
    let mut calls: BTreeMap<Arc<str>, Names> = BTreeMap::new();
    for (service, route) in demand.called_routes() {
        let services = internal.get(route).map(|services| &services[..]).unwrap_or_default();
        let total: u64 = services.iter().map(|target| u64::from(target.weight)).sum();
        // A service that gets the smaller part of the calls is not worth moving whole requests for.
        let main = services.iter().filter(|target| u64::from(target.weight) * 2 > total);
        let called = main.map(|target| target.service.clone());
        calls.entry(service.clone()).or_default().extend(called);
    }
    calls
}

/// The regions in which upstreams of a service accept requests.
fn regions_by_service<P: Platform>(shared: &Shared<P>) -> BTreeMap<Arc<str>, Names> {
    let mut regions: BTreeMap<Arc<str>, Names> = BTreeMap::new();
    for (member, silent) in lock(&shared.members).all(shared.now()) {
        let record = &member.record;
        let entry = regions.entry(record.service.clone()).or_default();
        if record.state == UpstreamState::Ready && !silent {
            entry.insert(record.region.clone());
        }
    }
    regions
}
