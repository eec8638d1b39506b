//! Regions in which the calls of a request would have to leave the region.
//!
//! Designed for a region that has lost all upstreams of a service deep in a call tree. A request that is run there makes
//! each of its calls to that service, of which a tree may have eight or more, in another region, with a round trip and
//! the bytes of each of them. Run in a region that has the service, the request itself crosses once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Names of services or regions.
pub type Names = BTreeSet<Arc<str>>;

/// Regions in which upstreams of a service can't make all of their calls, by service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Locality(BTreeMap<Arc<str>, Names>);

impl Locality {
    /// Works out the regions; `calls` has the services that the upstreams of a service call, `present` the regions in which
    /// upstreams of a service accept requests.
    pub fn new(calls: &BTreeMap<Arc<str>, Names>, present: &BTreeMap<Arc<str>, Names>) -> Self {
        let regions: Names = present.values().flatten().cloned().collect();
        let mut incomplete = BTreeMap::new();
        for service in calls.keys() {
            let below = reachable(service, calls);
            // A service that is nowhere present can't be reached from any region.
            let present = below.iter().filter_map(|service| present.get(service));
            let present: Vec<&Names> = present.filter(|regions| !regions.is_empty()).collect();
            let lacks = |region: &Arc<str>| present.iter().any(|present| !present.contains(region));
            let lacking: Names = regions.iter().filter(|region| lacks(region)).cloned().collect();
            if !lacking.is_empty() {
                incomplete.insert(service.clone(), lacking);
            }
        }
        Self(incomplete)
    }

    /// Whether calls of a service's upstreams in a region have to leave it.
    pub fn leaves_region(&self, service: &str, region: &str) -> bool {
        self.0.get(service).is_some_and(|regions| regions.contains(region))
    }

    /// The services and regions, formatted for the log.
    pub fn describe(&self) -> String {
        let entries = self.0.iter().map(|(service, regions)| {
            let regions: Vec<&str> = regions.iter().map(|region| &**region).collect();
            format!("{service}={}", regions.join(","))
        });
        entries.collect::<Vec<_>>().join(" ")
    }
}

/// The services that are called for requests of a service, directly or by others.
fn reachable(service: &Arc<str>, calls: &BTreeMap<Arc<str>, Names>) -> Names {
    let mut found = Names::new();
    let mut open = vec![service];
    while let Some(service) = open.pop() {
        for called in calls.get(service).into_iter().flatten() {
            if found.insert(called.clone()) {
                open.push(called);
            }
        }
    }
    found
}
