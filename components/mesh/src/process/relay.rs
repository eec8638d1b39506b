//! Passes a new configuration on to the other nodes of the failure domain, which don't read the store by themselves.
//!
//! Each of them is sent one version at a time: one that is slow gets the latest version next, and delays no other.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bounds::RequestBody;
use http::{HeaderMap, HeaderName, Request, StatusCode};
use http_body_util::{BodyExt, Limited};

use super::events::Event;
use super::exchange::targets;
use super::shared::{Shared, lock};
use crate::configuration::Configuration;
use crate::decide::members::Record;
use crate::decide::revision::Revision;
use crate::platform::Platform;
use crate::request::call;
use crate::request::peer::PEER_MAX_IDLE;

/// Path to which a configuration is sent.
pub const PATH: &str = "/almondknot/configuration";

/// Header with the name of the sender.
const SENDER: HeaderName = HeaderName::from_static("almondknot-sender");
/// Header with the [`Revision`] of the configuration.
const REVISION: HeaderName = HeaderName::from_static("almondknot-revision");
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
const MAX_ANSWER_BYTES: usize = 4 << 10;

/// Sends each new configuration to the neighbours until the task is aborted.
pub async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let in_progress = Arc::<Mutex<HashSet<Arc<str>>>>::default();
    loop {
        shared.follow.relay_due().await;
        for neighbour in targets::neighbours(&shared, shared.now()) {
            if !lock(&in_progress).insert(neighbour.node.clone()) {
                continue;
            }
            let (shared, in_progress) = (shared.clone(), in_progress.clone());
            tokio::spawn(async move {
                send_latest(&shared, &neighbour).await;
                lock(&in_progress).remove(&neighbour.node);
            });
        }
    }
}

/// Sends the configuration to a node until it has the latest one. A node that was not reached asks in its next exchange.
async fn send_latest<P: Platform>(shared: &Arc<Shared<P>>, target: &Record) {
    while let (Some(configuration), Some((revision, _))) =
        (shared.configuration(), shared.active.revisions())
    {
        let sent = send(shared, target, &configuration, revision);
        let sent = tokio::time::timeout(RELAY_TIMEOUT, sent).await;
        if let Err(reason) = sent.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
            let now = shared.now();
            shared.with_peer(&target.node, |peer| peer.record_failure(now));
            shared.log(&Event::PeerLost { peer: &target.node, reason: &reason });
            return;
        }
        if shared.configuration().is_some_and(|latest| latest.digest == configuration.digest) {
            return;
        }
    }
}

async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Record,
    configuration: &Configuration,
    revision: Revision,
) -> Result<(), String> {
    let request = Request::post(PATH)
        .header(http::header::HOST, target.address.to_string())
        .header(SENDER, &*shared.settings.node)
        .header(REVISION, revision.to_string())
        .body(RequestBody::from(configuration.source.clone()))
        .map_err(|err| err.to_string())?;
    let sent = shared.peer_pool.send(target.address, request, PEER_MAX_IDLE, shared.now()).await;
    let (response, connection) = sent.map_err(|err| err.to_string())?;
    let status = response.status();
    let collected = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    collected.map_err(|err| err.to_string())?;
    connection.release(shared.now());
    if status != StatusCode::OK {
        // A node of an earlier version, which asks in its exchanges.
        let reason = format!("status {status} to a configuration");
        shared.log(&Event::PeerLost { peer: &target.node, reason: &reason });
    }
    Ok(())
}

/// The document that the body of a request to [`PATH`] holds, if it replaces the one in force.
pub fn newer_revision<P: Platform>(shared: &Shared<P>, headers: &HeaderMap) -> Option<Revision> {
    let revision: Revision = call::parse_header(headers, &REVISION)?;
    shared.active.is_replaced_by(&revision, &[]).then_some(revision)
}

/// Applies a configuration from another node.
pub fn receive<P: Platform>(
    shared: &Shared<P>,
    headers: &HeaderMap,
    revision: &Revision,
    body: &[u8],
) {
    let sender: Option<String> = call::parse_header(headers, &SENDER);
    shared.apply_relayed(body, &sender.unwrap_or_default(), revision.origin, &[]);
}
