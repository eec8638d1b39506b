//! Memory and descriptors of a process that a test has started.

#![allow(dead_code, clippy::unwrap_used, reason = "each test crate uses only some of the helpers")]

use std::collections::HashSet;
use std::fs;

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
    let Ok(links) = fs::read_dir(format!("/proc/{pid}/fd")) else { return 0 };
    let inodes: HashSet<String> = links
        // A descriptor may be closed meanwhile.
        .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
        .filter_map(|path| {
            let path = path.to_str()?.to_owned();
            Some(path.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let queued = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, queue) = fields.get(4)?.split_once(':')?;
        inodes.contains(*fields.get(9)?).then(|| u64::from_str_radix(queue, 16).ok())?
    });
    queued.sum()
}
