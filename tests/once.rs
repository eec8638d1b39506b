//! Requests with an idempotency key run at most once. Runs are counted in the upstreams.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use standins::client::Answer;
use standins::cluster::{Cluster, Signal, Vm};
use standins::log;
use standins::upstream::Faults;
use support::{MS, empty_cluster, header, mix, node_logs, post, run_load, send};

const RULES: &str = "call POST /orders to orders class customer deadline 4s retries 2 once # test\n\
                     call GET /echo to orders class customer deadline 4s # test\n";

/// A ready cluster of failure domains with two upstreams of the service `orders` each.
async fn orders_cluster(net: u8, domains: usize, service_time: Duration) -> Cluster {
    let mut cluster = empty_cluster(net, domains);
    for domain in 0..domains {
        for number in 1..=2 {
            cluster.add(
                Vm::new(&format!("o{domain}-{number}"), domain, number, "orders")
                    .with_capacity(20, service_time),
            );
        }
    }
    cluster.start_log(&[]).unwrap();
    cluster.start_vms().unwrap();
    let path = cluster.dir().join("rules.txt");
    std::fs::write(&path, RULES).unwrap();
    let (path, log) = (path.display().to_string(), cluster.log_address().to_string());
    let (text, code) =
        cluster.run(&["publish", "--rules", &path, "--log", &log, "--author", "hana"]).unwrap();
    assert_eq!(code, 0, "{text}");
    assert!(cluster.wait_ready().await, "{}", node_logs(&cluster));
    cluster
}

async fn order(cluster: &Cluster, vm: &Vm, key: &str) -> Answer {
    send(cluster, vm, post("/orders", key).header("idempotency-key", key), b"oats".to_vec()).await
}

/// Number of runs of each key, summed over all reachable upstreams.
async fn runs(cluster: &Cluster) -> BTreeMap<String, u32> {
    let mut all = BTreeMap::new();
    for vm in cluster.vms() {
        for (key, runs) in cluster.stats(vm).await.map(|stats| stats.keys).unwrap_or_default() {
            *all.entry(key).or_default() += runs;
        }
    }
    all
}

async fn ticket(cluster: &Cluster, vm: &Vm) -> String {
    let value =
        cluster.get(cluster.caller_address(vm), "/almondknot/ticket?service=orders").await.unwrap();
    value["ticket"].as_str().unwrap().to_owned()
}

#[tokio::test]
async fn concurrent_requests_with_one_key_run_once_and_share_the_answer() {
    let cluster = orders_cluster(81, 2, 50 * MS).await;
    let vms = cluster.vms().to_vec();
    for round in 0..5 {
        let key = format!("order-{round}");
        let all = vms.iter().chain(&vms).map(|vm| order(&cluster, vm, &key));
        for answer in futures_util::future::join_all(all).await {
            let reason = header(&answer, "almondknot-reason").to_owned();
            assert_eq!(answer.head.status, 200, "{reason}{}", node_logs(&cluster));
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            assert_eq!(body["id"], key.as_str());
        }
    }
    assert!(runs(&cluster).await.values().all(|runs| *runs == 1), "{:?}", runs(&cluster).await);
}

#[tokio::test]
async fn an_at_most_once_call_requires_a_key() {
    let cluster = orders_cluster(82, 1, 5 * MS).await;
    let vm = cluster.vms()[0].clone();
    let answer = send(&cluster, &vm, post("/orders", "x"), vec![]).await;
    assert_eq!(
        (answer.head.status.as_u16(), header(&answer, "almondknot-reason")),
        (400, "key-missing")
    );
    let malformed =
        send(&cluster, &vm, post("/orders", "x").header("idempotency-key", "a b"), vec![]).await;
    assert_eq!(
        (malformed.head.status.as_u16(), header(&malformed, "almondknot-verdict")),
        (400, "not-run")
    );
}

/// While the log is down, requests with plain keys are refused and requests with tickets are served.
#[tokio::test]
async fn tickets_are_served_without_the_log() {
    let cluster = orders_cluster(83, 2, 5 * MS).await;
    let vms = cluster.vms().to_vec();
    cluster.set_log_faults(&log::Faults { outage: true, ..log::Faults::default() }).await;
    let refused = order(&cluster, &vms[0], "plain").await;
    assert_eq!(
        (refused.head.status.as_u16(), header(&refused, "almondknot-reason")),
        (503, "log-unavailable")
    );
    let ticket = ticket(&cluster, &vms[0]).await;
    for vm in vms.iter().chain(&vms) {
        let answer = order(&cluster, vm, &ticket).await;
        assert_eq!(answer.head.status, 200, "{}", header(&answer, "almondknot-reason"));
    }
    assert_eq!(runs(&cluster).await[&ticket], 1);
    cluster.set_log_faults(&log::Faults::default()).await;
    assert_eq!(order(&cluster, &vms[1], "plain").await.head.status, 200);
    assert_eq!(runs(&cluster).await["plain"], 1);
}

/// The response of an append is lost after the claim was written: the claim is effective, and only once.
#[tokio::test]
async fn a_claim_is_effective_after_its_append_response_was_lost() {
    let cluster = orders_cluster(84, 1, 5 * MS).await;
    let vms = cluster.vms().to_vec();
    cluster.set_log_faults(&log::Faults { lose: 1, ..log::Faults::default() }).await;
    for vm in [&vms[0], &vms[1]] {
        assert_eq!(order(&cluster, vm, "lost-answer").await.head.status, 200);
    }
    assert_eq!(runs(&cluster).await["lost-answer"], 1);
}

/// The nodes that know the outcome of a key are killed: the key is not run again, and no node reports it as `not-run`.
#[tokio::test]
async fn keys_of_a_dead_holder_are_never_reported_as_not_run() {
    let mut cluster = orders_cluster(85, 2, 5 * MS).await;
    let vms = cluster.vms().to_vec();
    let ticket = ticket(&cluster, &vms[0]).await;
    for key in ["plain", &ticket] {
        assert_eq!(order(&cluster, &vms[0], key).await.head.status, 200);
    }
    let before = runs(&cluster).await;
    let mut holders = Vec::new();
    for vm in &vms {
        if cluster.stats(vm).await.unwrap().keys.keys().any(|key| before.contains_key(key)) {
            holders.push(vm.clone());
        }
    }
    for vm in &holders {
        cluster.kill(&format!("node-{}", vm.name));
    }
    let alive: Vec<Vm> = vms
        .iter()
        .filter(|vm| holders.iter().all(|holder| holder.name != vm.name))
        .cloned()
        .collect();
    let assert_never_not_run = async |cluster: &Cluster, entry: &Vm| {
        for key in ["plain", &ticket] {
            let answer = order(cluster, entry, key).await;
            assert!(!answer.head.status.is_success());
            assert_ne!(
                header(&answer, "almondknot-verdict"),
                "not-run",
                "{}",
                header(&answer, "almondknot-reason")
            );
        }
    };
    assert_never_not_run(&cluster, &alive[0]).await;
    for vm in &holders {
        cluster.start_node(vm).unwrap();
    }
    assert!(cluster.wait_ready().await);
    assert_never_not_run(&cluster, &alive[0]).await;
    assert_never_not_run(&cluster, &holders[0]).await;
    assert_eq!(runs(&cluster).await, before);
}

/// A holder is paused while it runs a key and resumes later: no other node runs the key in the meantime.
#[tokio::test]
async fn a_paused_holder_does_not_cause_a_second_run() {
    let run_time = 300 * MS;
    let mut cluster = orders_cluster(86, 1, run_time).await;
    let vms = cluster.vms().to_vec();
    let first = {
        let (entry, cluster) = (vms[0].clone(), &cluster);
        async move { order(cluster, &entry, "frozen").await }
    };
    // The first attempt may be lost in the pause; whatever its answer, the key must not run twice.
    let _ = tokio::time::timeout(150 * MS, first).await;
    let mut holder = None;
    for vm in &vms {
        if cluster.stats(vm).await.unwrap().started > 0 {
            holder = Some(vm.clone());
        }
    }
    let holder = holder.expect("the run has started").name;
    cluster.process(&format!("node-{holder}")).unwrap().signal(Signal::SIGSTOP).unwrap();
    let other = vms.iter().find(|vm| vm.name != holder).unwrap().clone();
    let short_deadline = post("/orders", "frozen")
        .header("idempotency-key", "frozen")
        .header("almondknot-deadline-ms", "400");
    let during_pause = send(&cluster, &other, short_deadline, vec![]).await;
    assert_ne!(header(&during_pause, "almondknot-verdict"), "not-run");
    cluster.process(&format!("node-{holder}")).unwrap().signal(Signal::SIGCONT).unwrap();
    let replayed = cluster
        .wait_until(async |cluster| order(cluster, &other, "frozen").await.head.status == 200)
        .await;
    assert!(replayed, "{}", node_logs(&cluster));
    assert_eq!(runs(&cluster).await["frozen"], 1);
}

/// Callers disconnect and retry under overload, with a slow upstream and lost responses of the log.
#[tokio::test]
async fn aggressive_retries_under_overload_run_nothing_twice() {
    let cluster = orders_cluster(87, 2, 30 * MS).await;
    let vms = cluster.vms().to_vec();
    cluster.set_log_faults(&log::Faults { lose: 20, delay: 5, ..log::Faults::default() }).await;
    cluster.set_faults(&vms[1], &Faults { slow: 20.0, ..Faults::default() }).await;
    let mut load = mix("POST", "/orders", 3, 400.0);
    load.keyed = true;
    load.resend = 4;
    let summary = run_load(&cluster, &vms, load).await;
    assert!(summary.succeeded > 0);
    assert_eq!(summary.mismatched, 0);
    let runs = runs(&cluster).await;
    assert!(
        runs.values().all(|runs| *runs == 1),
        "{:?}",
        runs.iter().filter(|(_, runs)| **runs > 1).collect::<Vec<_>>()
    );
    let wrong_verdicts: Vec<&String> =
        summary.not_run.iter().filter(|id| runs.contains_key(*id)).collect();
    assert!(wrong_verdicts.is_empty(), "{wrong_verdicts:?}");
}
