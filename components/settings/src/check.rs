//! Checks of values that are well-formed but can't work.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::file::Error;
use crate::model::{Listen, Settings};

const SHORTEST_PROBE: Duration = Duration::from_millis(10);
const DEEPEST: u8 = 64;

/// Checks one node's settings.
pub fn alone(path: &Path, settings: &Settings) -> Result<(), Error> {
    let wrong =
        |field: &str, what: String| Err(Error::Field(path.to_owned(), field.to_owned(), what));
    if settings.version == 0 {
        return wrong("version", "0 is not a version (expected 1)".to_owned());
    }
    distinct(path, &settings.listen)?;
    remembered(path, settings)?;
    if settings.bounds.replay > settings.bounds.body {
        return wrong(
            "bounds.replay",
            format!(
                "`{}` is over bounds.body (expected at most `{}`)",
                settings.bounds.replay, settings.bounds.body
            ),
        );
    }
    if settings.bounds.depth == 0 || settings.bounds.depth > DEEPEST {
        return wrong(
            "bounds.depth",
            format!("`{}` (expected 1 to {DEEPEST})", settings.bounds.depth),
        );
    }
    if settings.control.probe < SHORTEST_PROBE {
        return wrong(
            "control.probe",
            format!("`{}` (expected at least `10ms`)", units::span::format(settings.control.probe)),
        );
    }
    Ok(())
}

/// Checks that each listener has an address of its own that others can reach.
fn distinct(path: &Path, listen: &Listen) -> Result<(), Error> {
    let wrong =
        |field: &str, what: String| Err(Error::Field(path.to_owned(), field.to_owned(), what));
    let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
    for (field, address) in addresses(listen) {
        if address.port() == 0 || address.ip().is_unspecified() {
            return wrong(
                field,
                format!(
                    "`{address}` can't be reached by others (expected an IP number and a port)"
                ),
            );
        }
        if let Some(other) = seen.insert(address, field) {
            return wrong(
                field,
                format!("`{address}` is also `{other}` (expected an address of its own)"),
            );
        }
    }
    Ok(())
}

/// Checks that a claim of a key stays in the log longer than the key is remembered.
fn remembered(path: &Path, settings: &Settings) -> Result<(), Error> {
    let wrong =
        |field: &str, what: String| Err(Error::Field(path.to_owned(), field.to_owned(), what));
    if let Some(log) =
        settings.log.as_ref().filter(|log| log.retention / 2 < settings.bounds.window)
    {
        let retention = units::span::format(log.retention);
        return wrong(
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
pub fn together(files: &[(PathBuf, Settings)]) -> Result<(), Error> {
    let mut ids: HashMap<&str, &Path> = HashMap::new();
    let mut taken: HashMap<SocketAddr, &Path> = HashMap::new();
    for (path, settings) in files {
        if let Some(other) = ids.insert(settings.node.as_str(), path) {
            return Err(Error::Clash(
                path.clone(),
                other.to_owned(),
                "node",
                settings.node.to_string(),
            ));
        }
        for (field, address) in addresses(&settings.listen) {
            if let Some(other) = taken.insert(address, path) {
                return Err(Error::Clash(
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
