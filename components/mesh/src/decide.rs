//! Decisions as functions of state, event and time, without network, tasks or a clock of their own.

pub mod admission;
pub mod aggregate;
pub mod budget;
pub mod budgets;
pub mod choose;
pub mod class;
pub mod demand;
pub mod epoch;
pub mod fairness;
pub mod follow;
pub mod locality;
pub mod members;
pub mod meter;
pub mod notice;
pub mod parents;
pub mod queue;
pub mod rate_limit;
pub mod retry_window;
pub mod returning;
pub mod revision;
pub mod select;
pub mod server_load;
pub mod service_time;
pub mod shedding;
pub mod slow_start;
pub mod split;
