//! Decisions as functions of state, event and time, without network, tasks or a clock of their own.

pub mod admission;
pub mod aggregate;
pub mod bodies;
pub mod budget;
pub mod choose;
pub mod clients;
pub mod demand;
pub mod epoch;
pub mod follow;
pub mod members;
pub mod meter;
pub mod notice;
pub mod parents;
pub mod queue;
pub mod rate_limit;
pub mod revision;
pub mod split;
