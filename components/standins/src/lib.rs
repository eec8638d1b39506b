//! Small stand-ins for the systems around almondknot: an upstream, the platform's append-only log, and a network link.
//!
//! They serve tests, experiments and the demo, and are no part of a release. Each has a control endpoint, so that a
//! test or a person can switch a fault on while it runs.

pub mod client;
pub mod cluster;
pub mod log;
pub mod relay;
pub mod serve;
pub mod upstream;
