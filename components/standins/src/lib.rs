//! Stand-ins for the systems around almondknot: an upstream, the platform's append-only log, and a network link.
//!
//! They are for tests, experiments and the demo, and not part of a release. Each has a control endpoint through which
//! faults are injected while it runs.

pub mod client;
pub mod cluster;
pub mod log;
pub mod relay;
pub mod serve;
pub mod upstream;
