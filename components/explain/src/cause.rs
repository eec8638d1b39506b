//! Finds why a request ended as it did, and the log lines that show the node state behind it.

use super::line::{Event, Line};

/// Largest distance in time between a failed request and the lost connection, stop or stall that explains it.
const CORRELATION_WINDOW_MS: u64 = 1_500;

/// Result of the analysis.
#[derive(Debug, Default)]
pub struct Findings {
    /// Log lines that show the node state behind the outcome.
    pub evidence: Vec<Line>,
    /// Causes, one sentence each.
    pub causes: Vec<String>,
}

/// Adds the cause of one line of a request to the findings.
pub fn analyze(lines: &[Line], line: &Line, findings: &mut Findings) {
    match &line.event {
        Event::Refused { reason, route, share, attempts, version, .. } => match reason.as_str() {
            "overload" => explain_overload(lines, line, route, *share, findings),
            "unconfigured" => {
                findings.causes.push(format!("{} had no configuration yet", line.node));
            }
            "leaving" | "no-upstream" | "unreachable" => {
                add_unavailable(lines, line, findings);
                findings.causes.push(if reason == "leaving" {
                    format!(
                        "all nodes that {} tried on route {route} were leaving ({attempts} attempts)",
                        line.node
                    )
                } else {
                    format!(
                        "{} knew no available upstream on route {route} (version {version})",
                        line.node
                    )
                });
            }
            "stopping" => explain_stop(lines, line, "", findings),
            _ => findings.causes.push(no_capacity(route, reason, *attempts)),
        },
        Event::Unrouted { path, version, .. } => {
            explain_unrouted(lines, line, path, *version, findings);
        }
        Event::Failed { target, reason, .. } if reason == "stopped" => {
            explain_stop(lines, line, target, findings);
        }
        Event::Failed { target, reason, .. } => {
            explain_failure(lines, line, target, reason, findings);
        }
        Event::Rejected { reason, rate: Some(rate), .. } if reason == "limited" => {
            explain_rate_limit(lines, line, *rate, findings);
        }
        Event::Rejected { running, limit, waiting, .. } => findings.causes.push(format!(
            "{running} of {limit} slots were in use at {}, and {waiting} requests were queued",
            line.node
        )),
        Event::UpstreamFailed { upstream, reason, .. } => findings.causes.push(format!(
            "upstream {upstream} of {} did not answer the request: {reason}",
            line.node
        )),
        _ => {}
    }
}

/// Explains a request that a node ended because it had to exit: the one that answered, or the one that it asked last.
fn explain_stop(lines: &[Line], line: &Line, target: &str, findings: &mut Findings) {
    let stopping = [line.node.as_str(), target].map(|node| {
        let before = |other: &&Line| other.node == node && other.at_ms <= line.at_ms;
        let stops = |other: &&Line| matches!(other.event, Event::Stopping {});
        lines.iter().filter(before).filter(stops).max_by_key(|other| other.at_ms)
    });
    let stopping = stopping.into_iter().flatten().max_by_key(|other| other.at_ms);
    let node = stopping.map_or("a node", |stopping| &stopping.node);
    findings
        .causes
        .push(format!("{node} was stopped and had to exit before the request was answered"));
    findings.evidence.extend(stopping.cloned());
}

fn no_capacity(route: &str, reason: &str, attempts: u32) -> String {
    let lacking = if reason == "limited" {
        "was within its upstream's rate limit"
    } else {
        "had a free slot"
    };
    format!("{attempts} nodes were tried on route {route}, and none {lacking} in time ({reason})")
}

fn explain_rate_limit(lines: &[Line], line: &Line, rate: f64, findings: &mut Findings) {
    let limit = latest(lines, line, |event| matches!(event, Event::RateLimitChanged { .. }));
    findings.evidence.extend(limit.cloned());
    findings.causes.push(format!(
        "the upstream of {} accepts {rate} requests a second, as it announced",
        line.node
    ));
}

fn explain_overload(lines: &[Line], line: &Line, route: &str, share: f64, findings: &mut Findings) {
    let plan = latest(lines, line, |event| matches!(event, Event::PlanChanged { .. }));
    let bottleneck = plan.and_then(|plan| match &plan.event {
        Event::PlanChanged { loads, .. } => most_loaded(loads),
        _ => None,
    });
    findings.evidence.extend(plan.cloned());
    let bottleneck = bottleneck.unwrap_or_else(|| "a service in its call tree".to_owned());
    findings.causes.push(format!(
        "route {route} is limited to {:.0}% of its requests because {bottleneck} is at capacity",
        share * 100.0
    ));
}

/// The service with the highest utilization; `loads` has the form `service=running+waiting/slots ...`.
fn most_loaded(loads: &str) -> Option<String> {
    let utilization = |text: &str| -> Option<(f64, String)> {
        let (service, figures) = text.split_once('=')?;
        let (demand, slots) = figures.split_once('/')?;
        let (running, waiting) = demand.split_once('+')?;
        let demand = running.parse::<f64>().ok()? + waiting.parse::<f64>().ok()?;
        Some((demand / slots.parse::<f64>().ok()?, service.to_owned()))
    };
    let loads = loads.split(' ').filter_map(utilization);
    loads.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, service)| service)
}

/// Adds the lines by which the node knew members or upstreams to be unavailable.
fn add_unavailable(lines: &[Line], line: &Line, findings: &mut Findings) {
    let mut seen: Vec<&str> = Vec::new();
    let before = |other: &&Line| other.at_ms <= line.at_ms;
    // Only the latest state of each member counts.
    for other in lines.iter().filter(before).rev() {
        match &other.event {
            Event::MemberChanged { member, state, .. }
                if other.node == line.node && !seen.contains(&member.as_str()) =>
            {
                seen.push(member);
                if state != "ready" {
                    findings.evidence.push(other.clone());
                }
            }
            Event::UpstreamChanged { state, .. } if state == "leaving" => {
                findings.evidence.push(other.clone());
            }
            _ => {}
        }
    }
}

fn explain_unrouted(
    lines: &[Line],
    line: &Line,
    path: &str,
    version: u64,
    findings: &mut Findings,
) {
    let applied = latest(lines, line, |event| matches!(event, Event::ConfigurationApplied { .. }));
    let store = latest(lines, line, |event| {
        matches!(event, Event::StoreLost { .. } | Event::StoreRecovered { .. })
    });
    let refused = latest(lines, line, |event| matches!(event, Event::ConfigurationRefused { .. }));
    findings
        .causes
        .push(format!("version {version}, in force at {}, has no route for {path}", line.node));
    // The order in time is approximate, as clocks differ between nodes; still, this node lacked the newer version.
    let newer = lines.iter().find(|other| {
        let Event::ConfigurationApplied { version: applied, .. } = &other.event else {
            return false;
        };
        *applied > version && other.at_ms <= line.at_ms
    });
    if let Some(newer) = newer {
        findings.causes.push(format!("{} already had a newer version", newer.node));
        findings.evidence.push(newer.clone());
    }
    if let Some(Line { event: Event::StoreLost { .. }, .. }) = store {
        findings.causes.push(format!("{} had lost the store", line.node));
    }
    let restored = latest(lines, line, |event| matches!(event, Event::StoreRestored { .. }));
    let before_restore =
        |line: &Line| restored.is_some_and(|restored| line.at_ms <= restored.at_ms);
    if applied.is_some_and(before_restore) {
        findings.causes.push("the store was restored from an older copy since then".to_owned());
    }
    findings.evidence.extend([applied, store, restored, refused].into_iter().flatten().cloned());
}

fn explain_failure(
    lines: &[Line],
    line: &Line,
    target: &str,
    reason: &str,
    findings: &mut Findings,
) {
    let near = |other: &&Line| other.at_ms.abs_diff(line.at_ms) <= CORRELATION_WINDOW_MS;
    let lost_connection = lines.iter().filter(near).find(|other| {
        other.node == line.node
            && matches!(&other.event, Event::PeerLost { peer, .. } if peer == target)
    });
    let upstream_failed = lines.iter().any(|other| {
        other.event.request_id() == line.event.request_id()
            && matches!(other.event, Event::UpstreamFailed { .. })
    });
    let interruption = lines.iter().filter(near).find(|other| {
        other.node == target && matches!(other.event, Event::Stopping {} | Event::Resumed { .. })
    });
    findings.evidence.extend(lost_connection.into_iter().chain(interruption).cloned());
    if reason == "quarantined" {
        findings.causes.push("upstreams crashed while running the same request earlier".to_owned());
    } else if !upstream_failed && lost_connection.is_some() {
        findings.causes.push(format!("the connection from {} to {target} was lost", line.node));
    } else if !upstream_failed {
        findings
            .causes
            .push(format!("{target} did not answer in time and logged nothing about the request"));
    }
}

/// The latest line of the same node, up to this one, with a matching event.
fn latest<'a>(
    lines: &'a [Line],
    line: &Line,
    matches: impl Fn(&Event) -> bool,
) -> Option<&'a Line> {
    let own = lines.iter().filter(|other| other.node == line.node && other.at_ms <= line.at_ms);
    own.filter(|other| matches(&other.event)).max_by_key(|other| other.at_ms)
}
