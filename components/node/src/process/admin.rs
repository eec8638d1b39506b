//! The administration API, which listens on an address of its own.

use std::collections::BTreeMap;
use std::sync::Arc;

use membership::Member;
use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Html, Json};
use poem::{Endpoint, EndpointExt, Request, Route, get, handler, post};
use serde::Serialize;
use units::{Author, Clock, DomainName, NodeId, ServiceName};

use super::report::Report;
use super::shards::lock;
use super::shared::Shared;

/// State of a node for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    node: NodeId,
    domain: DomainName,
    version: Option<u64>,
    service: Option<ServiceName>,
    draining: bool,
    running: u32,
    waiting: u32,
    limit: u32,
    level: u16,
    members: Vec<MemberStatus>,
    domains: Vec<DomainStatus>,
}

#[derive(Debug, Clone, Serialize)]
struct MemberStatus {
    node: NodeId,
    domain: DomainName,
    status: String,
    service: Option<ServiceName>,
    takes_work: bool,
    version: u64,
    incarnation: u64,
}

#[derive(Debug, Clone, Serialize)]
struct DomainStatus {
    domain: DomainName,
    present: u32,
    lowest: u64,
    lagging: Vec<NodeId>,
    stamp: u64,
}

/// The rules in force.
#[derive(Debug, Clone, Serialize)]
struct Rules {
    version: u64,
    author: Option<Author>,
    text: Arc<str>,
}

/// Functions that the handlers call; hides the type of the clock.
#[derive(Clone)]
struct Api {
    status: Arc<dyn Fn() -> Status + Send + Sync>,
    metrics: Arc<dyn Fn() -> String + Send + Sync>,
    rules: Arc<dyn Fn() -> Option<Rules> + Send + Sync>,
    services: Arc<dyn Fn() -> BTreeMap<ServiceName, usize> + Send + Sync>,
    report: Arc<dyn Fn() -> Report + Send + Sync>,
    drain: Arc<dyn Fn(bool) + Send + Sync>,
    ready: Arc<dyn Fn() -> bool + Send + Sync>,
}

/// Serves the administration API; returns only on an error.
pub async fn serve<C: Clock>(
    shared: Arc<Shared<C>>,
    listener: tokio::net::TcpListener,
) -> std::io::Result<()> {
    let (for_status, for_metrics, for_ready) = (shared.clone(), shared.clone(), shared.clone());
    let (for_rules, for_services) = (shared.clone(), shared.clone());
    let (for_report, for_drain) = (shared.clone(), shared.clone());
    let token = shared.settings.token.clone();
    let api = Api {
        status: Arc::new(move || status(&for_status)),
        metrics: Arc::new(move || metrics(&for_metrics)),
        rules: Arc::new(move || rules(&for_rules)),
        services: Arc::new(move || services(&for_services)),
        report: Arc::new(move || report(&for_report)),
        drain: Arc::new(move |drained| for_drain.drain(drained)),
        ready: Arc::new(move || for_ready.active().is_some()),
    };
    let app = Route::new()
        .at("/healthz", get(healthz))
        .at("/metrics", get(metrics_text))
        .at("/status", get(status_json))
        .at("/rules", get(rules_json))
        .at("/services", get(services_json))
        .at("/", get(report_html))
        .at("/report", get(report_text))
        .at("/drain", post(drain))
        .at("/undrain", post(undrain))
        .data(api)
        .around(move |endpoint, request| require_token(token.clone(), endpoint, request));
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    poem::Server::new_with_acceptor(acceptor).run(app).await
}

/// Requires the bearer token of the settings, except for health probes and metrics scrapes.
async fn require_token<E: Endpoint>(
    token: Option<String>,
    endpoint: Arc<E>,
    request: Request,
) -> poem::Result<E::Output> {
    let is_public = matches!(request.uri().path(), "/healthz" | "/metrics");
    let has_token = |token: &String| {
        request.header("authorization") == Some(format!("Bearer {token}").as_str())
    };
    if is_public || token.as_ref().is_none_or(has_token) {
        return endpoint.call(request).await;
    }
    Err(poem::Error::from_string(
        "expected `Authorization: Bearer` with the token of the settings",
        StatusCode::UNAUTHORIZED,
    ))
}

#[handler]
fn report_html(api: Data<&Api>) -> Html<String> {
    Html((api.report)().page())
}

#[handler]
fn report_text(api: Data<&Api>) -> String {
    (api.report)().lines().join("\n") + "\n"
}

#[handler]
fn drain(api: Data<&Api>) -> &'static str {
    (api.drain)(true);
    "draining\n"
}

#[handler]
fn undrain(api: Data<&Api>) -> &'static str {
    (api.drain)(false);
    "taking new work\n"
}

fn report<C: Clock>(shared: &Shared<C>) -> Report {
    let active = shared.active();
    let version = active.map_or("none yet".to_owned(), |active| {
        let author = active.author.as_ref().map_or("settings", |author| author.as_str());
        format!("version {} by {author}", active.version)
    });
    let table = lock(&shared.members);
    let is_leaving = |member: &&Member| {
        !member.is_present() || (member.upstream.is_some() && !member.accepts_requests())
    };
    let leaving = table.all().filter(is_leaving).map(|member| member.node.to_string()).collect();
    let summaries = lock(&shared.summaries);
    let lagging = summaries.values().filter(|summary| !summary.lagging.is_empty());
    Report {
        node: shared.settings.node.to_string(),
        version,
        rows: lock(&shared.call_stats).rows(shared.unix_time()),
        quarantined: lock(&shared.quarantine)
            .quarantined()
            .map(|(_, entry)| entry.call.clone())
            .collect(),
        leaving,
        lagging: lagging.map(|summary| summary.domain.to_string()).collect(),
        log_down: shared.metrics.log_down.get() == 1,
    }
}

#[handler]
fn healthz(api: Data<&Api>) -> (StatusCode, &'static str) {
    if (api.ready)() {
        (StatusCode::OK, "ok")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no rules yet")
    }
}

#[handler]
fn metrics_text(api: Data<&Api>) -> String {
    (api.metrics)()
}

#[handler]
fn status_json(api: Data<&Api>) -> Json<Status> {
    Json((api.status)())
}

#[handler]
fn rules_json(api: Data<&Api>) -> poem::Result<Json<Rules>> {
    let rules = (api.rules)();
    rules.map(Json).ok_or_else(|| poem::Error::from_string("no rules yet", StatusCode::NOT_FOUND))
}

#[handler]
fn services_json(api: Data<&Api>) -> Json<BTreeMap<ServiceName, usize>> {
    Json((api.services)())
}

fn rules<C: Clock>(shared: &Shared<C>) -> Option<Rules> {
    let active = shared.active()?;
    Some(Rules {
        version: active.version.0,
        author: active.author.clone(),
        text: active.text.clone(),
    })
}

fn services<C: Clock>(shared: &Shared<C>) -> BTreeMap<ServiceName, usize> {
    let routes = shared.routes();
    routes.services().map(|(service, targets)| (service.clone(), targets)).collect()
}

fn metrics<C: Clock>(shared: &Shared<C>) -> String {
    shared.metrics.text().unwrap_or_default()
}

fn status<C: Clock>(shared: &Shared<C>) -> Status {
    let now = shared.clock.now();
    *lock(&shared.status_requested) = Some(now);
    let load = shared.admission.load(now);
    let upstream = shared.local_upstream();
    let table = lock(&shared.members);
    let members = table.all().map(|member| MemberStatus {
        node: member.node.clone(),
        domain: member.domain.clone(),
        status: format!("{:?}", member.status).to_lowercase(),
        service: member.upstream.as_ref().map(|upstream| upstream.service.clone()),
        takes_work: member.accepts_requests(),
        version: member.version.0,
        incarnation: member.incarnation.0,
    });
    let mut members: Vec<MemberStatus> = members.collect();
    members.sort_by(|a, b| (&a.domain, &a.node).cmp(&(&b.domain, &b.node)));
    let summaries = lock(&shared.summaries);
    let domains = summaries.values().map(|summary| DomainStatus {
        domain: summary.domain.clone(),
        present: summary.present,
        lowest: summary.lowest.0,
        lagging: summary.lagging.clone(),
        stamp: summary.stamped_ms,
    });
    Status {
        node: shared.settings.node.clone(),
        domain: shared.settings.domain.clone(),
        version: shared.active().map(|active| active.version.0),
        service: upstream.as_ref().map(|upstream| upstream.service.clone()),
        draining: upstream.is_some_and(|upstream| upstream.draining),
        running: load.running,
        waiting: load.waiting,
        limit: load.limit,
        level: shared.admission.level().0,
        members,
        domains: domains.collect(),
    }
}
