//! Components that live as long as the process.

pub mod active;
pub mod announced;
pub mod backoff;
pub mod confirmation;
pub mod control;
pub mod departures;
pub mod epoch;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod limiter;
pub mod locality;
pub mod metrics;
pub mod node;
pub mod peer_connections;
pub mod quotas;
pub mod relay;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod shutdown;
pub mod slow_start;
pub mod store;
pub mod suspects;
pub mod traffic;
pub mod upstream;
