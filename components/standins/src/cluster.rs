//! A complete system of separate processes on loopback: a log, a network, and VMs with an upstream and a node each.
//!
//! Each VM has its own loopback address, `127.<net>.<domain>.<number>`, so that several systems can run at once. All
//! processes are killed when the cluster is dropped.

mod process;
mod topology;

pub use process::{Process, Signal};
pub use topology::{FailureDomain, Vm};

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::client::{self, Http};
use crate::relay::{Link, LinkChange, Traffic};
use crate::upstream::{Faults, Stats};

const LOG_PORT: u16 = 7_000;
const RELAY_PORT: u16 = 7_001;
const CALLER_PORT: u16 = 8_001;
const UPSTREAM_PORT: u16 = 8_002;
const PEER_PORT: u16 = 8_003;
const CONTROL_PORT: u16 = 8_004;
const ADMIN_PORT: u16 = 8_005;
const SERVICE_PORT: u16 = 9_000;
const SERVICE_CONTROL_PORT: u16 = 9_001;
/// Added to the third octet of a VM's address for its address in the network stand-in.
const RELAY_OFFSET: u8 = 100;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running system.
pub struct Cluster {
    /// Second octet of all addresses.
    net: u8,
    programs: PathBuf,
    dir: TempDir,
    domains: Vec<FailureDomain>,
    vms: Vec<Vm>,
    processes: HashMap<String, Process>,
    http: Http,
    has_network: bool,
    /// File with the rules of the nodes.
    rules_file: Option<String>,
    /// Settings of the nodes that differ from the defaults.
    overrides: Value,
}

impl Cluster {
    /// Creates a system without VMs; `programs` is the folder of the binaries.
    pub fn new(net: u8, programs: &Path, domains: Vec<FailureDomain>) -> io::Result<Self> {
        Ok(Self {
            net,
            programs: programs.to_owned(),
            dir: tempfile::tempdir()?,
            domains,
            vms: Vec::new(),
            processes: HashMap::new(),
            http: client::new(),
            has_network: false,
            rules_file: None,
            overrides: json!({}),
        })
    }

    /// Sets the rules of the nodes, for systems without a log.
    pub fn set_rules(&mut self, text: &str) -> io::Result<()> {
        let path = self.dir.path().join("rules.txt");
        std::fs::write(&path, text)?;
        self.rules_file = Some(path.display().to_string());
        Ok(())
    }

    /// Overrides default settings of the nodes.
    pub fn override_settings(&mut self, settings: Value) {
        self.overrides = settings;
    }

    /// Adds a VM without starting it.
    pub fn add(&mut self, vm: Vm) {
        self.vms.push(vm);
    }

    /// The VMs.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Starts the log.
    pub fn start_log(&mut self, args: &[&str]) -> io::Result<()> {
        let listen = self.log_address().to_string();
        let mut all = vec!["--listen", &listen];
        all.extend(args);
        self.start("log", "standin-log", &all)?;
        self.wait_listening(self.log_address())
    }

    /// Waits until a process listens, as earlier connections would be refused.
    fn wait_listening(&self, address: SocketAddr) -> io::Result<()> {
        let start = Instant::now();
        while let Err(err) = TcpStream::connect(address) {
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(err);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Starts the network with one-way delays in milliseconds between the failure domains of a region and between
    /// regions, and a limit in bytes per second between regions.
    pub fn start_network(
        &mut self,
        domain_delay: u64,
        region_delay: u64,
        region_cap: u64,
    ) -> io::Result<()> {
        let domains: HashMap<String, &str> = self
            .domains
            .iter()
            .enumerate()
            .map(|(index, domain)| (self.address_prefix(index), domain.name.as_str()))
            .collect();
        let routes: Vec<Value> = self
            .vms
            .iter()
            .flat_map(|vm| {
                [PEER_PORT, CONTROL_PORT]
                    .map(|port| (self.relayed_address(vm, port), self.address(vm, port)))
            })
            .map(|(listen, to)| json!({ "listen": listen, "to": to }))
            .collect();
        let network = json!({
            "places": domains,
            "routes": routes,
            "links": self.links(domain_delay, region_delay, region_cap),
        });
        let path = self.dir.path().join("network.json");
        std::fs::write(&path, network.to_string())?;
        let path = path.display().to_string();
        let control = self.relay_address().to_string();
        self.has_network = true;
        self.start("relay", "standin-relay", &["--network", &path, "--control", &control])
    }

    /// Starts the upstream and the node of every VM.
    pub fn start_vms(&mut self) -> io::Result<()> {
        for vm in self.vms.clone() {
            self.start_node(&vm)?;
            self.start_upstream(&vm)?;
        }
        Ok(())
    }

    /// Starts the node of a VM.
    pub fn start_node(&mut self, vm: &Vm) -> io::Result<()> {
        let path = self.dir.path().join(format!("{}.json", vm.name));
        std::fs::write(&path, self.settings(vm).to_string())?;
        let path = path.display().to_string();
        self.start(&format!("node-{}", vm.name), "almondknot", &["node", "--settings", &path])
    }

    /// Starts the upstream of a VM.
    pub fn start_upstream(&mut self, vm: &Vm) -> io::Result<()> {
        let listen = self.address(vm, SERVICE_PORT).to_string();
        let control = self.address(vm, SERVICE_CONTROL_PORT).to_string();
        let node = self.address(vm, UPSTREAM_PORT).to_string();
        let mut args = vec!["--listen".to_owned(), listen, "--control".to_owned(), control];
        args.extend(["--node".to_owned(), node]);
        args.extend(vm.args());
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.start(&format!("upstream-{}", vm.name), "standin-upstream", &args)
    }

    /// Returns a process by name: `log`, `relay`, `node-<vm>` or `upstream-<vm>`.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes.get_mut(name)
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        self.processes.remove(name);
    }

    /// Runs `almondknot` to its end and returns its output and exit code.
    pub fn run(&self, args: &[&str]) -> io::Result<(String, i32)> {
        let output =
            std::process::Command::new(self.programs.join("almondknot")).args(args).output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        Ok((text, output.status.code().unwrap_or(-1)))
    }

    /// Temporary folder of the system.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Output of a process so far.
    pub fn process_output(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Address of the log.
    pub fn log_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net, 0, 1)), LOG_PORT)
    }

    /// Caller-side address of a VM's node.
    pub fn caller_address(&self, vm: &Vm) -> SocketAddr {
        self.address(vm, CALLER_PORT)
    }

    /// Administration address of a VM's node.
    pub fn admin_address(&self, vm: &Vm) -> SocketAddr {
        self.address(vm, ADMIN_PORT)
    }

    /// Address of a VM's upstream.
    pub fn upstream_address(&self, vm: &Vm) -> SocketAddr {
        self.address(vm, SERVICE_PORT)
    }

    /// Upstream-side address of a VM's node.
    pub fn upstream_side_address(&self, vm: &Vm) -> SocketAddr {
        self.address(vm, UPSTREAM_PORT)
    }

    /// Sets the faults of an upstream; false if the request fails.
    pub async fn set_faults(&self, vm: &Vm, faults: &Faults) -> bool {
        self.post(self.address(vm, SERVICE_CONTROL_PORT), "/control", &json!(faults))
            .await
            .is_some()
    }

    /// Sets the faults of the log; false if the request fails.
    pub async fn set_log_faults(&self, faults: &crate::log::Faults) -> bool {
        self.post(self.log_address(), "/control", &json!(faults)).await.is_some()
    }

    /// Changes links of the network; false if the request fails.
    pub async fn set_links(&self, changes: &[LinkChange]) -> bool {
        self.post(self.relay_address(), "/links", &json!(changes)).await.is_some()
    }

    /// Traffic between failure domains so far.
    pub async fn traffic(&self) -> Vec<Traffic> {
        let value = self.get(self.relay_address(), "/passed").await;
        value.and_then(|value| serde_json::from_value(value).ok()).unwrap_or_default()
    }

    /// Counts of an upstream.
    pub async fn stats(&self, vm: &Vm) -> Option<Stats> {
        serde_json::from_value(self.get(self.address(vm, SERVICE_CONTROL_PORT), "/witness").await?)
            .ok()
    }

    /// Status of a VM's node.
    pub async fn status(&self, vm: &Vm) -> Option<Value> {
        self.get(self.admin_address(vm), "/status").await
    }

    /// Metrics of a VM's node.
    pub async fn metrics(&self, vm: &Vm) -> Option<String> {
        let request = Request::get(format!("http://{}/metrics", self.admin_address(vm)))
            .body(Full::default())
            .ok()?;
        let response = client::send(&self.http, request).await.ok()??;
        String::from_utf8(response.body.to_vec()).ok()
    }

    /// Waits until a condition holds; false if it does not within the timeout.
    pub async fn wait_until(&self, mut condition: impl AsyncFnMut(&Self) -> bool) -> bool {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if condition(self).await {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Waits until every node has rules and sees every VM's upstream as serving; false on a timeout.
    pub async fn wait_ready(&self) -> bool {
        let expected = self.vms.len();
        self.wait_until(async |cluster| {
            for vm in &cluster.vms {
                let Some(status) = cluster.status(vm).await else { return false };
                let members = status["members"].as_array().map(Vec::as_slice).unwrap_or_default();
                let serving = members.iter().filter(|member| member["takes_work"] == true).count();
                if status["version"].is_null() || serving < expected {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Requests a JSON document.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default()).ok()?;
        let response = client::send(&self.http, request).await.ok()??;
        serde_json::from_slice(&response.body).ok()
    }

    async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> Option<()> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::from(body.to_string()))
            .ok()?;
        let response = client::send(&self.http, request).await.ok()??;
        response.head.status.is_success().then_some(())
    }

    fn start(&mut self, name: &str, program: &str, args: &[&str]) -> io::Result<()> {
        let output = self.dir.path().join(format!("{name}.log"));
        let process = Process::start(&self.programs.join(program), args, &output)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn settings(&self, vm: &Vm) -> Value {
        let domain = &self.domains[vm.domain];
        let address = |port: u16| self.address(vm, port);
        let mut settings = json!({
            "version": 1,
            "node": vm.name,
            "domain": domain.name,
            "region": domain.region,
            "listen": {
                "callers": address(CALLER_PORT), "upstream": address(UPSTREAM_PORT), "peers": address(PEER_PORT),
                "control": address(CONTROL_PORT), "admin": address(ADMIN_PORT),
            },
            "seeds": self.seeds(),
        });
        if self.has_network {
            let advertise = json!({
                "peers": self.relayed_address(vm, PEER_PORT),
                "control": self.relayed_address(vm, CONTROL_PORT),
            });
            settings["advertise"] = advertise;
        }
        match &self.rules_file {
            Some(rules) => settings["rules"] = json!(rules),
            None => settings["log"] = json!({ "address": self.log_address() }),
        }
        for (field, value) in self.overrides.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        settings
    }

    /// Control addresses of the first two nodes of each failure domain.
    fn seeds(&self) -> Vec<SocketAddr> {
        let first = |vm: &&Vm| vm.number <= 2;
        let address = |vm: &Vm| {
            if self.has_network {
                self.relayed_address(vm, CONTROL_PORT)
            } else {
                self.address(vm, CONTROL_PORT)
            }
        };
        self.vms.iter().filter(first).map(address).collect()
    }

    fn links(&self, domain_delay: u64, region_delay: u64, region_cap: u64) -> Vec<LinkChange> {
        let mut links = Vec::new();
        for (index, a) in self.domains.iter().enumerate() {
            for b in &self.domains[index + 1..] {
                let same_region = a.region == b.region;
                let link = match same_region {
                    true => Link { delay: domain_delay, ..Link::default() },
                    false => Link { delay: region_delay, cap: region_cap, ..Link::default() },
                };
                links.push(LinkChange { a: a.name.clone(), b: b.name.clone(), link });
            }
        }
        links
    }

    fn address_prefix(&self, domain: usize) -> String {
        format!("127.{}.{}.", self.net, domain + 1)
    }

    fn address(&self, vm: &Vm, port: u16) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.net, vm.domain as u8 + 1, vm.number)),
            port,
        )
    }

    /// Address of a VM in the network stand-in.
    fn relayed_address(&self, vm: &Vm, port: u16) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.net, vm.domain as u8 + 1 + RELAY_OFFSET, vm.number)),
            port,
        )
    }

    fn relay_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net, 0, 1)), RELAY_PORT)
    }
}
