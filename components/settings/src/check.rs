//! Semantic checks of well-formed settings.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use units::ByteSize;

use crate::file::Error;
use crate::model::{Listen, Settings};

const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);
const MAX_CALL_DEPTH: u8 = 64;
/// Memory with which a few callers can be served.
const MIN_CLIENT_BYTES: u64 = 4 << 20;

/// Checks one node's settings.
pub fn check_one(path: &Path, settings: &Settings) -> Result<(), Error> {
    let invalid = |field: &str, message: String| {
        Err(Error::Field(path.to_owned(), field.to_owned(), message))
    };
    if settings.version == 0 {
        return invalid("version", "0 is not a version (expected 1)".to_owned());
    }
    check_listeners(path, &settings.listen)?;
    check_window(path, settings)?;
    if settings.bounds.replay > settings.bounds.body {
        return invalid(
            "bounds.replay",
            format!(
                "`{}` is over bounds.body (expected at most `{}`)",
                settings.bounds.replay, settings.bounds.body
            ),
        );
    }
    if settings.bounds.depth == 0 || settings.bounds.depth > MAX_CALL_DEPTH {
        return invalid(
            "bounds.depth",
            format!("`{}` (expected 1 to {MAX_CALL_DEPTH})", settings.bounds.depth),
        );
    }
    if settings.bounds.connections == 0 {
        return invalid("bounds.connections", "`0` (expected at least 1)".to_owned());
    }
    if settings.bounds.memory.0 < MIN_CLIENT_BYTES {
        return invalid(
            "bounds.memory",
            format!(
                "`{}` (expected at least `{}`)",
                settings.bounds.memory,
                ByteSize(MIN_CLIENT_BYTES)
            ),
        );
    }
    if settings.control.probe < MIN_PROBE_INTERVAL {
        return invalid(
            "control.probe",
            format!("`{}` (expected at least `10ms`)", units::span::format(settings.control.probe)),
        );
    }
    Ok(())
}

/// Checks that each listener has a distinct address that others can reach.
fn check_listeners(path: &Path, listen: &Listen) -> Result<(), Error> {
    let invalid = |field: &str, message: String| {
        Err(Error::Field(path.to_owned(), field.to_owned(), message))
    };
    let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
    for (field, address) in addresses(listen) {
        if address.port() == 0 || address.ip().is_unspecified() {
            return invalid(
                field,
                format!(
                    "`{address}` can't be reached by others (expected an IP address and a port)"
                ),
            );
        }
        if let Some(other) = seen.insert(address, field) {
            return invalid(
                field,
                format!("`{address}` is also `{other}` (expected an address of its own)"),
            );
        }
    }
    Ok(())
}

/// Checks that the log retains the claim of a key for at least twice as long as the key is remembered.
fn check_window(path: &Path, settings: &Settings) -> Result<(), Error> {
    let invalid = |field: &str, message: String| {
        Err(Error::Field(path.to_owned(), field.to_owned(), message))
    };
    if let Some(log) =
        settings.log.as_ref().filter(|log| log.retention / 2 < settings.bounds.window)
    {
        let retention = units::span::format(log.retention);
        return invalid(
            "bounds.window",
            format!(
                "`{}` is over half of log.retention (expected at most half of `{retention}`)",
                units::span::format(settings.bounds.window)
            ),
        );
    }
    Ok(())
}

/// Checks the settings of several nodes against each other.
pub fn check_all(files: &[(PathBuf, Settings)]) -> Result<(), Error> {
    let mut ids: HashMap<&str, &Path> = HashMap::new();
    let mut taken: HashMap<SocketAddr, &Path> = HashMap::new();
    for (path, settings) in files {
        if let Some(other) = ids.insert(settings.node.as_str(), path) {
            return Err(Error::Duplicate(
                path.clone(),
                other.to_owned(),
                "node",
                settings.node.to_string(),
            ));
        }
        for (field, address) in addresses(&settings.listen) {
            if let Some(other) = taken.insert(address, path) {
                return Err(Error::Duplicate(
                    path.clone(),
                    other.to_owned(),
                    field,
                    address.to_string(),
                ));
            }
        }
    }
    Ok(())
}

fn addresses(listen: &Listen) -> [(&'static str, SocketAddr); 5] {
    [
        ("listen.callers", listen.callers),
        ("listen.upstream", listen.upstream),
        ("listen.peers", listen.peers),
        ("listen.control", listen.control),
        ("listen.admin", listen.admin),
    ]
}
