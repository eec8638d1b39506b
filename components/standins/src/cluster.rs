//! A whole system on loopback, as separate processes: a log, a network, and VMs with an upstream and a node each.
//!
//! Each VM has a loopback address of its own, `127.<net>.<domain>.<number>`, so that several systems can run at once.
//! Every process that is started is ended when the cluster is dropped.

mod plan;
mod process;

pub use plan::{Place, Vm};
pub use process::{Process, Signal};

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
use crate::relay::{Change, Link, Passed};
use crate::upstream::{Faults, Witness};

const LOG_PORT: u16 = 7_000;
const RELAY_PORT: u16 = 7_001;
const CALLERS: u16 = 8_001;
const UPSTREAM: u16 = 8_002;
const PEERS: u16 = 8_003;
const CONTROL: u16 = 8_004;
const ADMIN: u16 = 8_005;
const SERVICE: u16 = 9_000;
const SERVICE_CONTROL: u16 = 9_001;
/// Added to a domain's number for the addresses of the network in front of it.
const FRONT: u8 = 100;
const SOON: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

/// A running system.
pub struct Cluster {
    /// Second number of its addresses.
    net: u8,
    folder: PathBuf,
    dir: TempDir,
    places: Vec<Place>,
    vms: Vec<Vm>,
    processes: HashMap<String, Process>,
    http: Http,
    network: bool,
    rules: Option<String>,
    tweak: Value,
}

impl Cluster {
    /// A system whose programs are in `folder`.
    pub fn new(net: u8, folder: &Path, places: Vec<Place>) -> io::Result<Self> {
        Ok(Self {
            net,
            folder: folder.to_owned(),
            dir: tempfile::tempdir()?,
            places,
            vms: Vec::new(),
            processes: HashMap::new(),
            http: client::new(),
            network: false,
            rules: None,
            tweak: json!({}),
        })
    }

    /// Rules that nodes start with, for systems without a log.
    pub fn rules(&mut self, text: &str) -> io::Result<()> {
        let path = self.dir.path().join("rules.txt");
        std::fs::write(&path, text)?;
        self.rules = Some(path.display().to_string());
        Ok(())
    }

    /// Settings of the nodes that differ from the defaults.
    pub fn tweak(&mut self, settings: Value) {
        self.tweak = settings;
    }

    /// Adds a VM; nothing is started yet.
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
        self.listens(self.log_address())
    }

    /// Waits until a process listens; whoever comes earlier is refused.
    fn listens(&self, address: SocketAddr) -> io::Result<()> {
        let start = Instant::now();
        while let Err(err) = TcpStream::connect(address) {
            if start.elapsed() > SOON {
                return Err(err);
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    /// Starts the network: the delay between failure domains and between regions in milliseconds, and the bytes a
    /// second between two regions' domains.
    pub fn start_network(&mut self, near: u64, far: u64, cap: u64) -> io::Result<()> {
        let places: HashMap<String, &str> = self
            .places
            .iter()
            .enumerate()
            .map(|(index, place)| (self.prefix(index), place.domain.as_str()))
            .collect();
        let routes: Vec<Value> = self
            .vms
            .iter()
            .flat_map(|vm| {
                [PEERS, CONTROL].map(|port| (self.front(vm, port), self.address(vm, port)))
            })
            .map(|(listen, to)| json!({ "listen": listen, "to": to }))
            .collect();
        let network =
            json!({ "places": places, "routes": routes, "links": self.links(near, far, cap) });
        let path = self.dir.path().join("network.json");
        std::fs::write(&path, network.to_string())?;
        let path = path.display().to_string();
        let control = self.relay_address().to_string();
        self.network = true;
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
        let listen = self.address(vm, SERVICE).to_string();
        let control = self.address(vm, SERVICE_CONTROL).to_string();
        let node = self.address(vm, UPSTREAM).to_string();
        let mut args = vec!["--listen".to_owned(), listen, "--control".to_owned(), control];
        args.extend(["--node".to_owned(), node]);
        args.extend(vm.args());
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.start(&format!("upstream-{}", vm.name), "standin-upstream", &args)
    }

    /// A process by its name: `log`, `relay`, `node-<vm>` or `upstream-<vm>`.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes.get_mut(name)
    }

    /// Ends a process at once.
    pub fn kill(&mut self, name: &str) {
        self.processes.remove(name);
    }

    /// Runs the program to its end and gives what it printed and its exit code.
    pub fn run(&self, args: &[&str]) -> io::Result<(String, i32)> {
        let output =
            std::process::Command::new(self.folder.join("almondknot")).args(args).output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        Ok((text, output.status.code().unwrap_or(-1)))
    }

    /// Folder for files of a test.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Output of a process so far.
    pub fn output(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Address of the log.
    pub fn log_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net, 0, 1)), LOG_PORT)
    }

    /// Address for callers of a VM's node.
    pub fn callers(&self, vm: &Vm) -> SocketAddr {
        self.address(vm, CALLERS)
    }

    /// Address for operators of a VM's node.
    pub fn admin(&self, vm: &Vm) -> SocketAddr {
        self.address(vm, ADMIN)
    }

    /// Address of a VM's upstream itself.
    pub fn upstream(&self, vm: &Vm) -> SocketAddr {
        self.address(vm, SERVICE)
    }

    /// Address that a VM's upstream calls further by.
    pub fn upstream_side(&self, vm: &Vm) -> SocketAddr {
        self.address(vm, UPSTREAM)
    }

    /// Switches faults of an upstream.
    pub async fn fault(&self, vm: &Vm, faults: &Faults) -> bool {
        self.post(self.address(vm, SERVICE_CONTROL), "/control", &json!(faults)).await.is_some()
    }

    /// Switches faults of the log.
    pub async fn log_fault(&self, faults: &crate::log::Faults) -> bool {
        self.post(self.log_address(), "/control", &json!(faults)).await.is_some()
    }

    /// Changes links of the network.
    pub async fn set_links(&self, changes: &[Change]) -> bool {
        self.post(self.relay_address(), "/links", &json!(changes)).await.is_some()
    }

    /// Bytes that passed between places.
    pub async fn passed(&self) -> Vec<Passed> {
        let value = self.get(self.relay_address(), "/passed").await;
        value.and_then(|value| serde_json::from_value(value).ok()).unwrap_or_default()
    }

    /// What an upstream saw.
    pub async fn witness(&self, vm: &Vm) -> Option<Witness> {
        serde_json::from_value(self.get(self.address(vm, SERVICE_CONTROL), "/witness").await?).ok()
    }

    /// Status of a VM's node.
    pub async fn status(&self, vm: &Vm) -> Option<Value> {
        self.get(self.admin(vm), "/status").await
    }

    /// Metrics of a VM's node.
    pub async fn metrics(&self, vm: &Vm) -> Option<String> {
        let request = Request::get(format!("http://{}/metrics", self.admin(vm)))
            .body(Full::default())
            .ok()?;
        let answer = client::send(&self.http, request).await.ok()??;
        String::from_utf8(answer.body.to_vec()).ok()
    }

    /// Waits until a condition holds; false when it doesn't in good time.
    pub async fn eventually(&self, mut condition: impl AsyncFnMut(&Self) -> bool) -> bool {
        let until = tokio::time::Instant::now() + SOON;
        while tokio::time::Instant::now() < until {
            if condition(self).await {
                return true;
            }
            tokio::time::sleep(POLL).await;
        }
        false
    }

    /// Waits until every node has rules and knows every VM's upstream.
    pub async fn ready(&self) -> bool {
        let wanted = self.vms.len();
        self.eventually(async |cluster| {
            for vm in &cluster.vms {
                let Some(status) = cluster.status(vm).await else { return false };
                let members = status["members"].as_array().map(Vec::as_slice).unwrap_or_default();
                let serving = members.iter().filter(|member| member["takes_work"] == true).count();
                if status["version"].is_null() || serving < wanted {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Asks for a JSON document.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default()).ok()?;
        let answer = client::send(&self.http, request).await.ok()??;
        serde_json::from_slice(&answer.body).ok()
    }

    async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> Option<()> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::from(body.to_string()))
            .ok()?;
        let answer = client::send(&self.http, request).await.ok()??;
        answer.head.status.is_success().then_some(())
    }

    fn start(&mut self, name: &str, program: &str, args: &[&str]) -> io::Result<()> {
        let output = self.dir.path().join(format!("{name}.log"));
        let process = Process::start(&self.folder.join(program), args, &output)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn settings(&self, vm: &Vm) -> Value {
        let place = &self.places[vm.place];
        let address = |port: u16| self.address(vm, port);
        let mut settings = json!({
            "version": 1,
            "node": vm.name,
            "domain": place.domain,
            "region": place.region,
            "listen": {
                "callers": address(CALLERS), "upstream": address(UPSTREAM), "peers": address(PEERS),
                "control": address(CONTROL), "admin": address(ADMIN),
            },
            "seeds": self.seeds(),
        });
        if self.network {
            let advertise =
                json!({ "peers": self.front(vm, PEERS), "control": self.front(vm, CONTROL) });
            settings["advertise"] = advertise;
        }
        match &self.rules {
            Some(rules) => settings["rules"] = json!(rules),
            None => settings["log"] = json!({ "address": self.log_address() }),
        }
        for (field, value) in self.tweak.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        settings
    }

    /// The first two nodes of each failure domain.
    fn seeds(&self) -> Vec<SocketAddr> {
        let first = |vm: &&Vm| vm.number <= 2;
        let address = |vm: &Vm| {
            if self.network { self.front(vm, CONTROL) } else { self.address(vm, CONTROL) }
        };
        self.vms.iter().filter(first).map(address).collect()
    }

    fn links(&self, near: u64, far: u64, cap: u64) -> Vec<Change> {
        let mut links = Vec::new();
        for (index, a) in self.places.iter().enumerate() {
            for b in &self.places[index + 1..] {
                let same = a.region == b.region;
                let link = match same {
                    true => Link { delay: near, ..Link::default() },
                    false => Link { delay: far, cap, ..Link::default() },
                };
                links.push(Change { a: a.domain.clone(), b: b.domain.clone(), link });
            }
        }
        links
    }

    fn prefix(&self, place: usize) -> String {
        format!("127.{}.{}.", self.net, place + 1)
    }

    fn address(&self, vm: &Vm, port: u16) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.net, vm.place as u8 + 1, vm.number)),
            port,
        )
    }

    fn front(&self, vm: &Vm, port: u16) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.net, vm.place as u8 + 1 + FRONT, vm.number)),
            port,
        )
    }

    fn relay_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net, 0, 1)), RELAY_PORT)
    }
}
