//! Clusters of node processes: publishing, draining, stops, crashes and network partitions.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use standins::cluster::{Cluster, Signal, Vm};
use standins::log;
use standins::relay::{Link, LinkChange};
use standins::upstream::Faults;
use support::{
    MS, empty_cluster, get, header, mix, node_logs, post, ready_cluster, run_load, send,
};

const RULES: &str = "call * /echo to echo class customer deadline 5s retries 2 # test\n";

/// A cluster with a log and two VMs in each failure domain.
async fn cluster_with_log(net: u8, domains: usize) -> Cluster {
    let mut cluster = empty_cluster(net, domains);
    for domain in 0..domains {
        for number in 1..=2 {
            cluster.add(
                Vm::new(&format!("n{domain}-{number}"), domain, number, "echo")
                    .with_capacity(20, 5 * MS),
            );
        }
    }
    cluster.start_network(1, 10, 0).unwrap();
    cluster.start_log(&[]).unwrap();
    cluster.start_vms().unwrap();
    cluster
}

fn publish(cluster: &Cluster, text: &str, extra: &[&str]) -> (String, i32) {
    let path = cluster.dir().join("rules-to-publish.txt");
    std::fs::write(&path, text).unwrap();
    let (path, log) = (path.display().to_string(), cluster.log_address().to_string());
    let mut args = vec!["publish", "--rules", &path, "--log", &log, "--author", "hana"];
    args.extend(extra);
    cluster.run(&args).unwrap()
}

async fn reaches_version(cluster: &Cluster, version: u64, vms: &[Vm]) -> bool {
    cluster
        .wait_until(async |cluster| {
            for vm in vms {
                let status = cluster.status(vm).await.unwrap_or_default();
                if status["version"].as_u64() != Some(version) {
                    return false;
                }
            }
            true
        })
        .await
}

#[tokio::test]
async fn a_publish_is_in_force_everywhere_and_a_concurrent_one_conflicts() {
    let cluster = cluster_with_log(61, 4).await;
    let all = cluster.vms().to_vec();
    let node = cluster.admin_address(&all[0]).to_string();
    let (text, code) = publish(&cluster, RULES, &["--node", &node]);
    assert_eq!(code, 0, "{text}{}", node_logs(&cluster));
    assert!(text.contains("accepted at 1") && text.contains("in force everywhere"), "{text}");
    assert!(cluster.wait_ready().await);
    let (text, code) = publish(&cluster, RULES, &["--base", "0"]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("conflict") && text.contains("--base 1"), "{text}");
    let (text, code) = publish(&cluster, "call GET /x to x", &[]);
    assert_eq!(code, 3, "{text}");
    let log = cluster.log_address().to_string();
    let (audit, _) = cluster.run(&["audit", "--log", &log]).unwrap();
    assert!(audit.contains("accepted version 1 by hana") && audit.contains("rejected"), "{audit}");
}

#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_and_nothing_is_appended_twice() {
    let cluster = cluster_with_log(62, 1).await;
    cluster.set_log_faults(&log::Faults { lose: 1, ..log::Faults::default() }).await;
    let (text, code) = publish(&cluster, RULES, &["--id", "change-1"]);
    assert_eq!((code, text.trim()), (0, "accepted at 1"));
    let (text, code) = publish(&cluster, RULES, &["--id", "change-1"]);
    assert_eq!((code, text.trim()), (0, "accepted at 1"), "a retry published again");
    assert!(reaches_version(&cluster, 1, cluster.vms()).await);
}

#[tokio::test]
async fn without_the_log_nodes_keep_serving_and_a_new_node_gets_rules_from_a_peer() {
    let mut cluster = cluster_with_log(63, 2).await;
    assert_eq!(publish(&cluster, RULES, &[]).1, 0);
    assert!(cluster.wait_ready().await, "{}", node_logs(&cluster));
    cluster.set_log_faults(&log::Faults { outage: true, ..log::Faults::default() }).await;
    let (_, code) = publish(&cluster, RULES, &[]);
    assert_eq!(code, 4, "the log can't be read");
    let vms = cluster.vms().to_vec();
    assert_eq!(send(&cluster, &vms[0], get("/echo", "1"), vec![]).await.head.status, 200);
    cluster.kill("node-n1-2");
    cluster.start_node(&vms[3]).unwrap();
    assert!(
        reaches_version(&cluster, 1, &vms[3..]).await,
        "{}",
        cluster.process_output("node-n1-2")
    );
    cluster.set_log_faults(&log::Faults::default()).await;
    assert_eq!(publish(&cluster, &RULES.replace("5s", "4s"), &[]).1, 0);
    assert!(reaches_version(&cluster, 2, &vms).await);
}

/// A node that is paused while versions are published gets the newest when it resumes, and never shows an older one.
#[tokio::test]
async fn a_paused_node_catches_up_and_versions_never_go_down() {
    let mut cluster = cluster_with_log(64, 2).await;
    assert_eq!(publish(&cluster, RULES, &[]).1, 0);
    assert!(cluster.wait_ready().await);
    let vms = cluster.vms().to_vec();
    cluster.process("node-n1-2").unwrap().signal(Signal::SIGSTOP).unwrap();
    for deadline in ["4s", "3s"] {
        assert_eq!(publish(&cluster, &RULES.replace("5s", deadline), &[]).1, 0);
    }
    assert!(reaches_version(&cluster, 3, &vms[..3]).await);
    cluster.process("node-n1-2").unwrap().signal(Signal::SIGCONT).unwrap();
    assert!(reaches_version(&cluster, 3, &vms).await);
}

/// Suspends the nodes beside the upstreams of a service again and again, and sends requests as soon as they go on.
async fn send_after_pauses(cluster: &mut Cluster, nodes: &[&str], pause: Duration, gap: Duration) {
    let entry = cluster.vms()[0].clone();
    for round in 0..5 {
        for signal in [Signal::SIGSTOP, Signal::SIGCONT] {
            for node in nodes {
                cluster.process(node).unwrap().signal(signal).unwrap();
            }
            if signal == Signal::SIGSTOP {
                tokio::time::sleep(pause).await;
            }
        }
        for _ in 0..5 {
            let answer = send(cluster, &entry, post("/echo", "r"), vec![]).await;
            let reason = header(&answer, "almondknot-reason");
            assert_eq!(answer.head.status, 200, "round {round}: {reason}\n{}", node_logs(cluster));
        }
        tokio::time::sleep(gap).await;
    }
}

/// Guards against a node that stood still, takes the announcements that it has not read yet for the end of its
/// upstream, and refuses its requests.
#[tokio::test]
async fn a_paused_node_does_not_give_its_upstream_up() {
    let vms = vec![Vm::new("entry", 0, 1, "other"), Vm::new("e2", 0, 2, "echo")];
    let mut cluster = ready_cluster(69, RULES, vms).await;
    let (pause, gap) = (Duration::from_millis(2_600), Duration::from_secs(2));
    send_after_pauses(&mut cluster, &["node-e2"], pause, gap).await;
    let log = cluster.process_output("node-e2");
    assert!(!log.contains("the upstream stopped announcing itself"), "{log}");
}

/// Guards against requests that are refused because all nodes of a service were silent for a while and count as dead.
#[tokio::test]
async fn nodes_that_count_as_dead_are_used_when_there_are_no_others() {
    let vms = vec![
        Vm::new("entry", 0, 1, "other"),
        Vm::new("e2", 0, 2, "echo"),
        Vm::new("e3", 0, 3, "echo"),
    ];
    let mut cluster = ready_cluster(70, RULES, vms).await;
    let (pause, gap) = (Duration::from_secs(4), Duration::ZERO);
    send_after_pauses(&mut cluster, &["node-e2", "node-e3"], pause, gap).await;
}

/// A draining upstream gets no new work from any failure domain after three seconds, also while the log is down.
#[tokio::test]
async fn a_draining_upstream_gets_no_new_work_and_no_request_fails() {
    let cluster = cluster_with_log(65, 4).await;
    assert_eq!(publish(&cluster, RULES, &[]).1, 0);
    assert!(cluster.wait_ready().await, "{}", node_logs(&cluster));
    cluster.set_log_faults(&log::Faults { outage: true, ..log::Faults::default() }).await;
    let vms = cluster.vms().to_vec();
    let drain = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        cluster.set_faults(&vms[0], &Faults { drain: true, ..Faults::default() }).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        cluster.stats(&vms[0]).await.unwrap().started
    };
    let (summary, after_three_seconds) =
        tokio::join!(run_load(&cluster, &vms, mix("POST", "/echo", 6, 200.0)), drain);
    assert_eq!(cluster.stats(&vms[0]).await.unwrap().started, after_three_seconds);
    assert!(after_three_seconds > 0);
    assert_eq!(summary.succeeded, summary.requests, "{:?}", summary.failed);
}

/// A graceful stop of a node completes the requests in flight.
#[tokio::test]
async fn a_graceful_stop_interrupts_no_request() {
    let mut cluster = cluster_with_log(66, 2).await;
    assert_eq!(publish(&cluster, RULES, &[]).1, 0);
    assert!(cluster.wait_ready().await);
    let vms = cluster.vms().to_vec();
    cluster.set_faults(&vms[1], &Faults { slow: 40.0, ..Faults::default() }).await;
    let pid = cluster.process("node-n0-2").unwrap().id();
    let stop = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        std::process::Command::new("kill").arg(pid.to_string()).status().unwrap();
    };
    let others = [vms[0].clone(), vms[2].clone(), vms[3].clone()];
    let (summary, ()) =
        tokio::join!(run_load(&cluster, &others, mix("POST", "/echo", 4, 200.0)), stop);
    assert_eq!(summary.succeeded, summary.requests, "{:?}", summary.failed);
    let ended = cluster
        .wait_until(async |_| !std::path::Path::new(&format!("/proc/{pid}/fd")).exists())
        .await;
    assert!(ended || cluster.process("node-n0-2").unwrap().exit_status().unwrap().is_some());
    assert!(cluster.process("node-n0-2").unwrap().exit_status().unwrap().unwrap().success());
}

/// Killing a node loses at most its requests in flight; none fails once its death is known.
#[tokio::test]
async fn no_request_fails_once_a_node_is_known_dead() {
    let mut cluster = cluster_with_log(67, 2).await;
    assert_eq!(publish(&cluster, RULES, &[]).1, 0);
    assert!(cluster.wait_ready().await);
    let vms = cluster.vms().to_vec();
    cluster.kill("node-n0-2");
    let dead = cluster
        .wait_until(async |cluster| {
            let status = cluster.status(&vms[2]).await.unwrap_or_default();
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.iter().any(|member| member["node"] == "n0-2" && member["status"] == "dead")
        })
        .await;
    assert!(dead, "the other failure domain did not see the node as dead");
    let others = [vms[0].clone(), vms[2].clone(), vms[3].clone()];
    let summary = run_load(&cluster, &others, mix("POST", "/echo", 2, 200.0)).await;
    assert_eq!(summary.succeeded, summary.requests, "{:?}", summary.failed);
}

/// A partitioned failure domain serves its own callers, and rejoins after the partition.
#[tokio::test]
async fn a_partitioned_failure_domain_keeps_serving() {
    let cluster = cluster_with_log(68, 2).await;
    assert_eq!(publish(&cluster, RULES, &[]).1, 0);
    assert!(cluster.wait_ready().await);
    let vms = cluster.vms().to_vec();
    let partition = |cut: bool| LinkChange {
        a: "d0".into(),
        b: "d1".into(),
        link: Link { cut, ..Link::default() },
    };
    cluster.set_links(&[partition(true)]).await;
    for vm in &vms {
        let summary =
            run_load(&cluster, std::slice::from_ref(vm), mix("POST", "/echo", 1, 50.0)).await;
        assert_eq!(summary.succeeded, summary.requests, "{:?}", summary.failed);
    }
    cluster.set_links(&[partition(false)]).await;
    assert_eq!(publish(&cluster, &RULES.replace("5s", "4s"), &[]).1, 0);
    assert!(reaches_version(&cluster, 2, &vms).await);
    assert!(cluster.wait_ready().await);
}

#[tokio::test]
async fn a_node_without_rules_refuses_with_that_reason() {
    let cluster = cluster_with_log(69, 1).await;
    let vm = cluster.vms()[0].clone();
    assert!(cluster.wait_until(async |cluster| cluster.status(&vm).await.is_some()).await);
    let answer = send(&cluster, &vm, get("/echo", "1"), vec![]).await;
    assert_eq!(
        (header(&answer, "almondknot-reason"), header(&answer, "almondknot-verdict")),
        ("no-rules", "not-run")
    );
}
