//! Memory and descriptors of a process that a test has started.

#![allow(dead_code, clippy::unwrap_used, reason = "each test crate uses only some of the helpers")]

use std::collections::HashSet;
use std::fs;
use std::net::{IpAddr, SocketAddr};

/// State of a listener in `/proc/net/tcp`.
const LISTEN_STATE: &str = "0A";

/// Memory that a process takes, with what its sockets have received and not read; `None` if it has ended.
pub fn memory(pid: u32) -> Option<u64> {
    Some(resident(pid)? + unread(pid))
}

/// Resident memory of a process; `None` if it has ended.
pub fn resident(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    // A process that has ended and isn't waited for has no memory.
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() << 10)
}

/// Open descriptors of a process.
pub fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |links| links.count())
}

/// Bytes in the receive queues of a process' sockets.
pub fn unread(pid: u32) -> u64 {
    let inodes = sockets(pid);
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let queued = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, queue) = fields.get(4)?.split_once(':')?;
        inodes.contains(*fields.get(9)?).then(|| u64::from_str_radix(queue, 16).ok())?
    });
    queued.sum()
}

/// Bytes in the queues of a process' sockets.
#[derive(Debug, Clone, Copy, Default)]
pub struct Queues {
    /// Received and not read by the process.
    pub received: u64,
    /// Written by the process and not acknowledged.
    pub sent: u64,
    /// Both of connections to its listeners that it has not accepted yet, or has closed.
    pub orphaned: u64,
}

impl Queues {
    /// All of them.
    pub fn sum(&self) -> u64 {
        self.received + self.sent + self.orphaned
    }
}

/// Bytes in the queues of a process' sockets, and of connections to its listeners that have no process.
pub fn queued(pid: u32, listeners: &[SocketAddr]) -> Queues {
    let inodes = sockets(pid);
    let listeners: Vec<String> = listeners.iter().map(|address| table_form(*address)).collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let mut queues = Queues::default();
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, queue, _, _, _, _, inode, ..] = fields[..] else { continue };
        // The queues of a listener are counts of connections.
        let Some((sent, received)) = queue.split_once(':').filter(|_| state != LISTEN_STATE) else {
            continue;
        };
        let bytes = |text| u64::from_str_radix(text, 16).unwrap();
        let (sent, received) = (bytes(sent), bytes(received));
        if inodes.contains(inode) {
            queues.sent += sent;
            queues.received += received;
        } else if inode == "0" && listeners.iter().any(|address| address == local) {
            queues.orphaned += sent + received;
        }
    }
    queues
}

/// Inodes of a process' sockets.
fn sockets(pid: u32) -> HashSet<String> {
    let Ok(links) = fs::read_dir(format!("/proc/{pid}/fd")) else { return HashSet::new() };
    links
        // A descriptor may be closed meanwhile.
        .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
        .filter_map(|path| {
            let path = path.to_str()?.to_owned();
            Some(path.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect()
}

/// An address as `/proc/net/tcp` has it.
fn table_form(address: SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else { panic!("{address}: expected an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port())
}
