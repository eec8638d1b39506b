//! Why a request ended as a line says, and what the nodes believed at that moment.

use super::line::{Event, Line};

/// Time, before and after, in which a lost connection belongs to a failed request, in milliseconds.
const NEAR: u64 = 1_500;

/// What was found.
#[derive(Debug, Default)]
pub struct Told {
    /// Lines that tell what a node believed.
    pub beliefs: Vec<Line>,
    /// Sentences.
    pub causes: Vec<String>,
}

/// Finds the cause of one line of a request.
pub fn tell(lines: &[Line], line: &Line, told: &mut Told) {
    match &line.event {
        Event::Refused { why, route, share, tries, version, .. } => match why.as_str() {
            "overload" => overload(lines, line, route, *share, told),
            "unconfigured" => told.causes.push(format!("{} had no configuration yet", line.node)),
            "leaving" | "no-upstream" | "unreachable" => {
                leaving(lines, line, told);
                told.causes.push(if why == "leaving" {
                    format!("all that {} asked on {route} were leaving ({tries})", line.node)
                } else {
                    format!(
                        "{} knew no upstream that takes work on {route} (version {version})",
                        line.node
                    )
                });
            }
            _ => told.causes.push(format!(
                "{tries} nodes were asked on {route}, and none had room in time ({why})"
            )),
        },
        Event::Unrouted { path, version, .. } => unrouted(lines, line, path, *version, told),
        Event::Failed { asked, why, .. } => failed(lines, line, asked, why, told),
        Event::Turned { running, limit, waiting, .. } => told.causes.push(format!(
            "at {} {running} of {limit} slots were taken and {waiting} requests waited",
            line.node
        )),
        Event::Broken { upstream, why, .. } => told
            .causes
            .push(format!("upstream {upstream} beside {} gave no answer to it: {why}", line.node)),
        _ => {}
    }
}

fn overload(lines: &[Line], line: &Line, route: &str, share: f64, told: &mut Told) {
    let plan = last(lines, line, |event| matches!(event, Event::PlanChanged { .. }));
    let short = plan.and_then(|plan| match &plan.event {
        Event::PlanChanged { loads, .. } => fullest(loads),
        _ => None,
    });
    told.beliefs.extend(plan.cloned());
    let short = short.unwrap_or_else(|| "a service in its tree".to_owned());
    told.causes.push(format!(
        "route {route} is limited to {:.0}% of its requests, as {short} has no room for more",
        share * 100.0
    ));
}

/// The service whose slots are taken the most, of `service=taken+waiting/slots ...`.
fn fullest(loads: &str) -> Option<String> {
    let load = |text: &str| -> Option<(f64, String)> {
        let (service, figures) = text.split_once('=')?;
        let (taken, slots) = figures.split_once('/')?;
        let (taken, waiting) = taken.split_once('+')?;
        let taken = taken.parse::<f64>().ok()? + waiting.parse::<f64>().ok()?;
        Some((taken / slots.parse::<f64>().ok()?, service.to_owned()))
    };
    let loads = loads.split(' ').filter_map(load);
    loads.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, service)| service)
}

fn leaving(lines: &[Line], line: &Line, told: &mut Told) {
    let mut left: Vec<&str> = Vec::new();
    let before = |other: &&Line| other.at <= line.at;
    // The newest word of each node counts.
    for other in lines.iter().filter(before).rev() {
        match &other.event {
            Event::MemberChanged { member, standing, .. }
                if other.node == line.node && !left.contains(&member.as_str()) =>
            {
                left.push(member);
                if standing != "ready" {
                    told.beliefs.push(other.clone());
                }
            }
            Event::UpstreamChanged { standing, .. } if standing == "leaving" => {
                told.beliefs.push(other.clone());
            }
            _ => {}
        }
    }
}

fn unrouted(lines: &[Line], line: &Line, path: &str, version: u64, told: &mut Told) {
    let taken = last(lines, line, |event| matches!(event, Event::ConfigurationTaken { .. }));
    let lost = last(lines, line, |event| {
        matches!(event, Event::StoreLost { .. } | Event::StoreRegained { .. })
    });
    let refused = last(lines, line, |event| matches!(event, Event::ConfigurationRefused { .. }));
    told.causes
        .push(format!("version {version}, in force at {}, has no route for {path}", line.node));
    // Clocks differ, but a version that others took before is one that this node lacked.
    let newer = lines.iter().find(|other| {
        let Event::ConfigurationTaken { version: theirs, .. } = &other.event else { return false };
        *theirs > version && other.at <= line.at
    });
    if let Some(newer) = newer {
        told.causes.push(format!("{} had a newer one before", newer.node));
        told.beliefs.push(newer.clone());
    }
    if let Some(Line { event: Event::StoreLost { .. }, .. }) = lost {
        told.causes.push(format!("{} had lost the store", line.node));
    }
    told.beliefs.extend([taken, lost, refused].into_iter().flatten().cloned());
}

fn failed(lines: &[Line], line: &Line, asked: &str, why: &str, told: &mut Told) {
    let near = |other: &&Line| other.at.abs_diff(line.at) <= NEAR;
    let link = lines.iter().filter(near).find(|other| {
        other.node == line.node
            && matches!(&other.event, Event::PeerLost { peer, .. } if peer == asked)
    });
    let broken = lines.iter().any(|other| {
        other.event.id() == line.event.id() && matches!(other.event, Event::Broken { .. })
    });
    let stopped = lines.iter().filter(near).find(|other| {
        other.node == asked && matches!(other.event, Event::Stopping {} | Event::Woke { .. })
    });
    told.beliefs.extend(link.into_iter().chain(stopped).cloned());
    if why == "quarantined" {
        told.causes.push("upstreams died while they ran the same request earlier".to_owned());
    } else if !broken && link.is_some() {
        told.causes.push(format!("the connection from {} to {asked} was lost with it", line.node));
    } else if !broken {
        told.causes.push(format!("{asked} gave no answer to it in time, and logged nothing of it"));
    }
}

/// The newest line of the same node, not after this one, that says such a thing.
fn last<'a>(lines: &'a [Line], line: &Line, says: impl Fn(&Event) -> bool) -> Option<&'a Line> {
    let own = lines.iter().filter(|other| other.node == line.node && other.at <= line.at);
    own.filter(|other| says(&other.event)).max_by_key(|other| other.at)
}
