//! What the tests of whole systems share.

#![allow(dead_code, clippy::unwrap_used, reason = "each test program uses a part of it")]

use std::path::Path;
use std::time::Duration;

use http::Request;
use http_body_util::Full;
use load::{Experiment, Mix, Phase, Summary};
use standins::client::{self, Answer};
use standins::cluster::{Cluster, Place, Vm};

pub const MS: Duration = Duration::from_millis(1);

/// A system in one failure domain with rules from the settings.
pub async fn system(net: u8, rules: &str, vms: Vec<Vm>) -> Cluster {
    let mut cluster = empty(net, 1);
    cluster.rules(rules).unwrap();
    for vm in vms {
        cluster.add(vm);
    }
    cluster.start_vms().unwrap();
    assert!(cluster.ready().await, "{}", outputs(&cluster));
    cluster
}

/// A system of some failure domains, two a region, with nothing in it.
pub fn empty(net: u8, domains: usize) -> Cluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_almondknot")).parent().unwrap();
    let place = |index: usize| Place::new(&format!("d{index}"), &format!("r{}", index / 2));
    Cluster::new(net, programs, (0..domains).map(place).collect()).unwrap()
}

/// What the nodes logged, for a test that fails.
pub fn outputs(cluster: &Cluster) -> String {
    cluster.vms().iter().map(|vm| cluster.output(&format!("node-{}", vm.name))).collect()
}

/// Sends one request to a node's caller side.
pub async fn send(
    cluster: &Cluster,
    vm: &Vm,
    request: http::request::Builder,
    body: Vec<u8>,
) -> Answer {
    let path = request.uri_ref().unwrap().to_string();
    let request = request
        .uri(format!("http://{}{path}", cluster.callers(vm)))
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

/// Text of a header.
pub fn header<'a>(answer: &'a Answer, name: &str) -> &'a str {
    answer.head.headers.get(name).map_or("", |value| value.to_str().unwrap())
}

/// Runs an open loop of one mix through some nodes.
pub async fn run(cluster: &Cluster, entries: &[Vm], mix: Mix) -> Summary {
    let entries = entries.iter().map(|vm| cluster.callers(vm)).collect();
    let plan = Experiment { seed: 1, entries, timeout: Duration::from_secs(10), mixes: vec![mix] };
    load::run(&plan).await.remove(0)
}

/// A mix with one rate for some seconds.
pub fn mix(method: &str, path: &str, seconds: u64, rate: f64) -> Mix {
    Mix::new("mix", method, path, vec![Phase { until: Duration::from_secs(seconds), rate }])
}
