//! The tenant of a request, by its key.

use std::sync::Arc;

use http::HeaderMap;

use crate::configuration::{Configuration, Route, Tenant};
use crate::platform::{Headers, Platform};
use crate::process::shared::{Shared, lock};

/// A request that needs the key of a tenant and has none that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unauthorized {
    /// Whether it bears a key.
    pub has_key: bool,
}

/// Whether keys of requests on a route may be accepted: a revoked one may still be known where the configuration was not
/// confirmed for too long.
pub fn is_confirmed<P: Platform>(
    shared: &Shared<P>,
    configuration: &Configuration,
    route: &Route,
) -> bool {
    let needs_key = configuration.tenants().is_some() && !route.public;
    !needs_key || lock(&shared.confirmation).is_valid(shared.moment())
}

/// Finds the tenant that sends a request; `None` if the route or the whole configuration needs none.
pub fn identify(
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
    names: &Headers,
) -> Result<Option<Arc<Tenant>>, Unauthorized> {
    let Some(tenants) = configuration.tenants() else { return Ok(None) };
    let mut keys = headers.get_all(&names.key).iter();
    let tenant = match (keys.next(), keys.next()) {
        (Some(key), None) => tenants.find(key.as_bytes()).cloned(),
        // Another node or the upstream may take another one of several keys for the valid one.
        _ => None,
    };
    if tenant.is_some() || route.public {
        return Ok(tenant);
    }
    Err(Unauthorized { has_key: headers.contains_key(&names.key) })
}
