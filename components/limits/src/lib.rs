//! Admission control in front of an upstream: how many requests run at once, which wait and which are refused.
//!
//! Every decision is a function of the state, the event and the time passed in. The crate does no I/O, spawns no task
//! and reads no clock, so tests can drive any interleaving of events.

mod controller;
mod learned;
mod level;
mod limit;
mod priority;
mod queue;

pub use controller::{
    AdmissionController, AdmissionRequest, Config, Decision, Load, Outcome, RefusalReason,
};
pub use learned::LearnedLevel;
pub use level::AdmissionLevel;
pub use limit::ConcurrencyLimit;
pub use priority::Priority;
