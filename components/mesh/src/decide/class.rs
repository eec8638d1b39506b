//! Classes of root requests: a route, and the priority of the request where a tenant gives it another one than its route.
//!
//! The name of a class stands wherever that of a route would: in measurements, their sums, and the calls of its trees.
//! Requests whose priority is that of their route are of the class that has the route's name, so that deployments
//! without tenants exchange the same names as before.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Stands between the route and the priority.
const SEPARATOR: char = '#';

/// Names of classes that are not those of routes.
#[derive(Debug, Default)]
pub struct Names(HashMap<Arc<str>, BTreeMap<u8, Arc<str>>>);

impl Names {
    /// Name of the class of requests with this priority; `usual` is that of the route.
    pub fn name(&mut self, route: &Arc<str>, usual: u8, priority: u8) -> Arc<str> {
        if priority == usual {
            return route.clone();
        }
        let names = self.0.entry(route.clone()).or_default();
        let name = || format!("{route}{SEPARATOR}{priority}").into();
        names.entry(priority).or_insert_with(name).clone()
    }

    /// Drops the names of routes that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.0.retain(|route, _| is_known(route));
    }
}

/// The route and the priority that a class name states; a name without a priority is that of a route.
pub fn parse(name: &str) -> (&str, Option<u8>) {
    let parts = name.rsplit_once(SEPARATOR);
    let parsed = parts.and_then(|(route, priority)| Some((route, priority.parse().ok()?)));
    parsed.map_or((name, None), |(route, priority)| (route, Some(priority)))
}

/// Priority of a class, from those of the routes; the lowest if its route is unknown.
pub fn priority(name: &str, routes: &BTreeMap<Arc<str>, u8>) -> u8 {
    if let Some(priority) = routes.get(name) {
        return *priority;
    }
    match parse(name) {
        (route, Some(priority)) if routes.contains_key(route) => priority,
        _ => u8::MAX,
    }
}
