//! Tenants of a configuration, and their keys.
//!
//! A key is found by a keyed hash and compared in constant time, so that the time of a lookup tells nothing of the keys.
//! Keys are never displayed: errors name the tenants.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use http::HeaderValue;
use xxhash_rust::xxh3;

use super::Route;

/// Highest priority number that is told apart, for tenants and routes alike.
const MAX_PRIORITY: u8 = 15;

/// Requests that a tenant may send, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be sent at once besides.
    pub burst: f64,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: Arc<str>,
    /// The name as a header value.
    pub header: HeaderValue,
    /// Its priority, if it has one; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
}

impl Tenant {
    /// A tenant; fails if the name can't be told to upstreams.
    pub fn new(name: &str, priority: Option<u8>, quota: Option<Quota>) -> Result<Self, String> {
        let header = HeaderValue::from_str(name).ok().filter(|_| !name.trim().is_empty());
        let header = header
            .ok_or_else(|| format!("tenant `{}`: no name for a header", name.escape_debug()))?;
        Ok(Self { name: name.into(), header, priority, quota })
    }

    /// Priority of its requests on a route: in the order of the tenants' priorities, and of the routes' within them.
    pub fn priority_on(&self, route: &Route) -> u8 {
        let Some(priority) = self.priority else { return route.priority };
        priority.min(MAX_PRIORITY) * (MAX_PRIORITY + 1) + route.priority.min(MAX_PRIORITY)
    }
}

struct Entry {
    key: Box<[u8]>,
    tenant: Arc<Tenant>,
}

/// The tenants by their keys.
#[derive(Clone)]
pub struct Tenants {
    seed: u64,
    by_hash: HashMap<u64, Vec<Arc<Entry>>>,
    names: HashSet<Arc<str>>,
    list: Vec<Arc<Tenant>>,
}

impl Default for Tenants {
    fn default() -> Self {
        Self {
            seed: rand::random(),
            by_hash: HashMap::new(),
            names: HashSet::new(),
            list: Vec::new(),
        }
    }
}

impl fmt::Debug for Tenants {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_list().entries(&self.list).finish()
    }
}

impl Tenants {
    /// Adds a tenant with its keys; fails if its name or one of its keys is another tenant's.
    pub fn add<'a>(
        &mut self,
        tenant: Tenant,
        keys: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), String> {
        let tenant = Arc::new(tenant);
        let name = &tenant.name;
        if !self.names.insert(name.clone()) {
            return Err(format!("tenant `{name}` is defined twice"));
        }
        for key in keys {
            if key.is_empty() {
                return Err(format!("tenant `{name}` has an empty key"));
            }
            match self.find(key) {
                Some(other) if other.name != *name => {
                    let other = &other.name;
                    return Err(format!("tenants `{other}` and `{name}` have the same key"));
                }
                Some(_) => {}
                None => {
                    let entry = Entry { key: key.into(), tenant: tenant.clone() };
                    self.by_hash.entry(self.hash(key)).or_default().push(Arc::new(entry));
                }
            }
        }
        self.list.push(tenant);
        Ok(())
    }

    /// The tenant that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Tenant>> {
        let candidates = self.by_hash.get(&self.hash(key))?;
        candidates.iter().find(|entry| is_equal(&entry.key, key)).map(|entry| &entry.tenant)
    }

    /// All tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.list.iter()
    }

    fn hash(&self, key: &[u8]) -> u64 {
        xxh3::xxh3_64_with_seed(key, self.seed)
    }
}

/// Whether two keys are equal, in a time that depends on their lengths only.
fn is_equal(one: &[u8], two: &[u8]) -> bool {
    one.len() == two.len()
        && one.iter().zip(two).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
