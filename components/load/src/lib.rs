//! Load generator: open-loop arrivals described by an experiment file, and the results of the requests.
//!
//! The same experiment with the same seed gives the same arrivals. A request succeeds only if its response is complete
//! and carries its own id, which the upstream stand-in writes into the body.

mod client;
mod experiment;
mod outcome;
mod report;
mod run;

pub use experiment::{Error, Experiment, Mix, Phase, read};
pub use outcome::{Bucket, Recorder, Summary};
pub use report::report;
pub use run::run;
