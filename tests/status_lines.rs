//! Status lines of an upstream beside a node: only a status between 100 and 599 makes a response.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use emulator::raw::{End, RawServer, Received, Reply};
use standins::cluster::{Cluster, Vm};
use standins::upstream::{self, Config, Upstream};
use support::{MS, header, post, ready_cluster, send};

const RULES: &str = "call POST /once to echo class customer deadline 5s retries 0 # test\n";
const MALFORMED: [&str; 6] = ["20", "2000", "-20", "2ff", "OK", ""];

/// Answers with the status that the id names.
fn reply(request: &Received) -> Reply {
    let text = if request.path() == "/_load" {
        let load = r#"{"busy":0,"waiting":0,"slots":8}"#;
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{load}",
            load.len()
        )
    } else {
        let status = request.path().rsplit('/').next().unwrap_or_default();
        format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
    };
    Reply { bytes: text.into_bytes(), end: End::Close }
}

fn config(listen: SocketAddr, node: SocketAddr) -> Config {
    Config {
        service: "echo".parse().unwrap(),
        listen,
        node: Some(node),
        slots: 8,
        announced_slots: None,
        connections: 100,
        service_time: MS,
        cold_time: Duration::ZERO,
        children: Vec::new(),
        seed: 1,
    }
}

/// Replaces the upstream of a VM by one that writes raw bytes.
async fn replace_upstream(cluster: &mut Cluster, vm: &Vm) -> RawServer {
    cluster.kill(&format!("upstream-{}", vm.name));
    let (listen, node) = (cluster.upstream_address(vm), cluster.upstream_side_address(vm));
    let server = RawServer::start(listen, reply).await.unwrap();
    tokio::spawn(upstream::keep_announcing(Upstream::new(config(listen, node))));
    server
}

/// Guards against a status that no client has to understand, passed on to a caller beside the upstream or another node.
#[tokio::test]
async fn only_a_status_of_the_five_classes_makes_a_response() {
    let vms =
        vec![Vm::new("entry", 0, 1, "other"), Vm::new("a", 0, 2, "echo").with_capacity(8, MS)];
    let mut cluster = ready_cluster(152, RULES, vms).await;
    let (entry, beside) = (cluster.vms()[0].clone(), cluster.vms()[1].clone());
    let _server = replace_upstream(&mut cluster, &beside).await;
    let get = async |vm: &Vm, status: &str| {
        let answer = send(&cluster, vm, post(&format!("/once/{status}"), "r"), vec![]).await;
        (answer.head.status.as_u16(), header(&answer, "almondknot-verdict").to_owned())
    };
    for vm in [&entry, &beside] {
        cluster.wait_until(async |_| get(vm, "200").await.0 == 200).await;
        let mut wrong = Vec::new();
        let codes = (0..1_000).map(|code| format!("{code:03}"));
        for code in codes.chain(MALFORMED.map(str::to_owned)) {
            let number = code.parse::<u16>().ok().filter(|_| code.len() == 3);
            let (status, verdict) = get(vm, &code).await;
            let correct = match number.filter(|number| (200..600).contains(number)) {
                Some(number) => status == number,
                None => (status, verdict.as_str()) == (502, "may-have-run"),
            };
            if !correct {
                wrong.push((code, status, verdict));
            }
        }
        assert!(wrong.is_empty(), "from {}: {wrong:?}", vm.name);
    }
}
