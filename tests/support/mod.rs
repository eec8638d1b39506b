//! Helpers shared by the system tests.

#![allow(dead_code, clippy::unwrap_used, reason = "each test crate uses only some of the helpers")]

use std::path::Path;
use std::time::Duration;

use http::Request;
use http_body_util::Full;
use load::{Experiment, Mix, Phase, Summary};
use standins::client::{self, Answer};
use standins::cluster::{Cluster, FailureDomain, Vm};

pub const MS: Duration = Duration::from_millis(1);

/// A ready cluster of one failure domain, with rules from the settings.
pub async fn ready_cluster(net: u8, rules: &str, vms: Vec<Vm>) -> Cluster {
    let mut cluster = empty_cluster(net, 1);
    cluster.set_rules(rules).unwrap();
    for vm in vms {
        cluster.add(vm);
    }
    cluster.start_vms().unwrap();
    assert!(cluster.wait_ready().await, "{}", node_logs(&cluster));
    cluster
}

/// A cluster of failure domains without VMs; two failure domains share a region.
pub fn empty_cluster(net: u8, domains: usize) -> Cluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_almondknot")).parent().unwrap();
    let domain =
        |index: usize| FailureDomain::new(&format!("d{index}"), &format!("r{}", index / 2));
    Cluster::new(net, programs, (0..domains).map(domain).collect()).unwrap()
}

/// Logs of all nodes, for the messages of failed assertions.
pub fn node_logs(cluster: &Cluster) -> String {
    cluster.vms().iter().map(|vm| cluster.process_output(&format!("node-{}", vm.name))).collect()
}

/// Sends one request to the caller address of a node.
pub async fn send(
    cluster: &Cluster,
    vm: &Vm,
    request: http::request::Builder,
    body: Vec<u8>,
) -> Answer {
    let path = request.uri_ref().unwrap().to_string();
    let request = request
        .uri(format!("http://{}{path}", cluster.caller_address(vm)))
        .body(Full::from(body))
        .unwrap();
    client::send(&client::new(), request).await.unwrap().unwrap()
}

/// A GET request with an id.
pub fn get(path: &str, id: &str) -> http::request::Builder {
    Request::get(path).header("standin-id", id)
}

/// A POST request with an id.
pub fn post(path: &str, id: &str) -> http::request::Builder {
    Request::post(path).header("standin-id", id)
}

/// Value of a header, empty if it is missing.
pub fn header<'a>(answer: &'a Answer, name: &str) -> &'a str {
    answer.head.headers.get(name).map_or("", |value| value.to_str().unwrap())
}

/// Runs the open-loop load of one mix through the entry nodes.
pub async fn run_load(cluster: &Cluster, entries: &[Vm], mix: Mix) -> Summary {
    let entries = entries.iter().map(|vm| cluster.caller_address(vm)).collect();
    let experiment =
        Experiment { seed: 1, entries, timeout: Duration::from_secs(10), mixes: vec![mix] };
    load::run(&experiment).await.remove(0)
}

/// A mix with a constant rate.
pub fn mix(method: &str, path: &str, seconds: u64, rate: f64) -> Mix {
    Mix::new("mix", method, path, vec![Phase { until: Duration::from_secs(seconds), rate }])
}
