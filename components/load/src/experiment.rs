//! Format of the experiment file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Error of an experiment file.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("{}: can't be read: {}", path.display(), err)
            source(err)
        }
        /// A field is invalid.
        Field(path: PathBuf, field: String, reason: String) {
            display("{}: field `{}`: {}", path.display(), field, reason)
        }
    }
}

units::json_record! {
    /// Description of an experiment.
    pub struct Experiment {
        /// Seed of the arrival times.
        pub seed: u64,
        /// Caller-side addresses of the nodes, used in turn.
        pub entries: Vec<SocketAddr>,
        /// Time that a caller waits for a response.
        #[serde(with = "units::span")]
        pub timeout: Duration,
        /// Request types.
        pub mixes: Vec<Mix>,
    }

    /// Requests of one type.
    pub struct Mix {
        /// Name in the results.
        pub name: String,
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Size of the body in bytes.
        #[serde(default)]
        pub body: usize,
        /// Send an idempotency key with each request.
        #[serde(default)]
        pub keyed: bool,
        /// How often the caller resends a failed request.
        #[serde(default)]
        pub resend: u32,
        /// Let each request crash the upstream that runs it.
        #[serde(default)]
        pub crash: bool,
        /// Addresses to use instead of those of the experiment.
        #[serde(default)]
        pub entries: Option<Vec<SocketAddr>>,
        /// Consecutive arrival rates.
        pub phases: Vec<Phase>,
    }

    /// A time with a constant arrival rate.
    pub struct Phase {
        /// End of the phase, from the start of the experiment.
        #[serde(with = "units::span")]
        pub until: Duration,
        /// Requests per second.
        pub rate: f64,
    }
}

impl Mix {
    /// Requests without a body, keys, resends or crashes.
    pub fn new(name: &str, method: &str, path: &str, phases: Vec<Phase>) -> Self {
        Self {
            name: name.to_owned(),
            method: method.to_owned(),
            path: path.to_owned(),
            body: 0,
            keyed: false,
            resend: 0,
            crash: false,
            entries: None,
            phases,
        }
    }
}

impl Experiment {
    /// End of the last phase.
    pub fn end(&self) -> Duration {
        let ends = self.mixes.iter().filter_map(|mix| mix.phases.last()).map(|phase| phase.until);
        ends.max().unwrap_or_default()
    }
}

/// Reads and validates an experiment file.
pub fn read(path: &Path) -> Result<Experiment, Error> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::Read(path.to_owned(), err))?;
    let input = &mut serde_json::Deserializer::from_str(&text);
    let experiment: Experiment = serde_path_to_error::deserialize(input).map_err(|err| {
        Error::Field(path.to_owned(), err.path().to_string(), err.inner().to_string())
    })?;
    validate(path, &experiment)?;
    Ok(experiment)
}

fn validate(path: &Path, experiment: &Experiment) -> Result<(), Error> {
    let invalid =
        |field: String, reason: &str| Err(Error::Field(path.to_owned(), field, reason.to_owned()));
    if experiment.mixes.is_empty() {
        return invalid("mixes".to_owned(), "expected at least one");
    }
    for (index, mix) in experiment.mixes.iter().enumerate() {
        let field = |name: &str| format!("mixes[{index}].{name}");
        if mix.entries.as_ref().unwrap_or(&experiment.entries).is_empty() {
            return invalid(field("entries"), "expected at least one address here or in `entries`");
        }
        if !mix.path.starts_with('/') {
            return invalid(field("path"), "expected a path that starts with `/`");
        }
        if mix.method.parse::<http::Method>().is_err() {
            return invalid(field("method"), "expected an HTTP method");
        }
        if mix.phases.iter().any(|phase| !phase.rate.is_finite() || phase.rate < 0.0) {
            return invalid(field("phases"), "expected rates of 0 or more");
        }
        if !mix.phases.is_sorted_by_key(|phase| phase.until) {
            return invalid(
                field("phases"),
                "expected each `until` to be later than the one before",
            );
        }
    }
    Ok(())
}
