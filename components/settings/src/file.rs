//! Reading and parsing a settings file.

use std::fs;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

use crate::check;
use crate::model::{Settings, VERSION};

quick_error! {
    /// Why settings were refused.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("{}: can't be read: {}", path.display(), err)
            source(err)
        }
        /// A field is invalid.
        Field(path: PathBuf, field: String, message: String) {
            display("{}: field `{}`: {}", path.display(), field, message)
        }
        /// The format version is newer than this program supports.
        NewerVersion(path: PathBuf, found: u64) {
            display("{}: field `version`: {} is newer than this program reads (expected {} or lower)", path.display(), found, VERSION)
        }
        /// Two files have the same node id or address.
        Duplicate(path: PathBuf, other: PathBuf, field: &'static str, value: String) {
            display("{}: field `{}`: `{}` is also used in {} (expected a value of its own)", path.display(), field, value, other.display())
        }
    }
}

/// Reads and checks one settings file.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(|err| Error::Read(path.to_owned(), err))?;
    let mut settings = parse(path, &text)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    settings.rules = settings.rules.map(|rules| folder.join(rules));
    Ok(settings)
}

/// Parses and checks the text of a settings file; `path` is used in errors only.
pub fn parse(path: &Path, text: &str) -> Result<Settings, Error> {
    check_version(path, text)?;
    let input = &mut serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(input).map_err(|err| {
        Error::Field(path.to_owned(), err.path().to_string(), err.inner().to_string())
    })?;
    check::check_one(path, &settings)?;
    Ok(settings)
}

/// Checks the version first, since a newer format may have fields that are unknown here.
fn check_version(path: &Path, text: &str) -> Result<(), Error> {
    let Ok(value) = serde_json::from_str::<serde_json::Value>(text) else {
        return Ok(());
    };
    match value.get("version").and_then(serde_json::Value::as_u64) {
        Some(found) if found > u64::from(VERSION) => {
            Err(Error::NewerVersion(path.to_owned(), found))
        }
        _ => Ok(()),
    }
}
