//! The load and experiment tool: open-loop arrivals by an experiment file, and what became of them.
//!
//! The same experiment with the same seed gives the same arrivals. A request counts as whole only if its answer is
//! complete and its own; that is checked in the answer of the upstream stand-in.

mod client;
mod experiment;
mod outcome;
mod report;
mod run;

pub use experiment::{Error, Experiment, Mix, Phase, read};
pub use outcome::{Bucket, Outcome, Summary};
pub use report::text;
pub use run::run;
