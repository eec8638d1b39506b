//! The experiment file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Why an experiment can't be run.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("{}: can't be read: {}", path.display(), err)
            source(err)
        }
        /// A field is wrong.
        Field(path: PathBuf, field: String, what: String) {
            display("{}: field `{}`: {}", path.display(), field, what)
        }
    }
}

units::wire! {
    /// An experiment.
    pub struct Experiment {
        /// Seed of the arrivals.
        pub seed: u64,
        /// Caller-side addresses of nodes, taken in turn.
        pub entries: Vec<SocketAddr>,
        /// Time that a caller waits for an answer.
        #[serde(with = "units::span")]
        pub timeout: Duration,
        /// Kinds of requests.
        pub mixes: Vec<Mix>,
    }

    /// One kind of requests.
    pub struct Mix {
        /// Its name in the result.
        pub name: String,
        /// Method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Bytes of the body.
        #[serde(default)]
        pub body: usize,
        /// Each request has an idempotency key.
        #[serde(default)]
        pub keyed: bool,
        /// Times that the caller sends a failed request again.
        #[serde(default)]
        pub resend: u32,
        /// The request crashes the upstream that runs it.
        #[serde(default)]
        pub crash: bool,
        /// Addresses of its own.
        #[serde(default)]
        pub entries: Option<Vec<SocketAddr>>,
        /// Rates, one after the other.
        pub phases: Vec<Phase>,
    }

    /// A rate for a while.
    pub struct Phase {
        /// Until when, from the start of the experiment.
        #[serde(with = "units::span")]
        pub until: Duration,
        /// Requests a second.
        pub rate: f64,
    }
}

impl Mix {
    /// Plain requests of one kind.
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
    /// Time of the last arrival.
    pub fn end(&self) -> Duration {
        let ends = self.mixes.iter().filter_map(|mix| mix.phases.last()).map(|phase| phase.until);
        ends.max().unwrap_or_default()
    }
}

/// Reads and checks an experiment file.
pub fn read(path: &Path) -> Result<Experiment, Error> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::Read(path.to_owned(), err))?;
    let input = &mut serde_json::Deserializer::from_str(&text);
    let experiment: Experiment = serde_path_to_error::deserialize(input).map_err(|err| {
        Error::Field(path.to_owned(), err.path().to_string(), err.inner().to_string())
    })?;
    check(path, &experiment)?;
    Ok(experiment)
}

fn check(path: &Path, experiment: &Experiment) -> Result<(), Error> {
    let wrong =
        |field: String, what: &str| Err(Error::Field(path.to_owned(), field, what.to_owned()));
    if experiment.mixes.is_empty() {
        return wrong("mixes".to_owned(), "expected at least one");
    }
    for (index, mix) in experiment.mixes.iter().enumerate() {
        let field = |name: &str| format!("mixes[{index}].{name}");
        if mix.entries.as_ref().unwrap_or(&experiment.entries).is_empty() {
            return wrong(field("entries"), "expected at least one address here or in `entries`");
        }
        if !mix.path.starts_with('/') {
            return wrong(field("path"), "expected a path that starts with `/`");
        }
        if mix.method.parse::<http::Method>().is_err() {
            return wrong(field("method"), "expected an HTTP method");
        }
        if mix.phases.iter().any(|phase| !phase.rate.is_finite() || phase.rate < 0.0) {
            return wrong(field("phases"), "expected rates of 0 or more");
        }
        if !mix.phases.is_sorted_by_key(|phase| phase.until) {
            return wrong(field("phases"), "expected each `until` to be later than the one before");
        }
    }
    Ok(())
}
