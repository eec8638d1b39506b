//! Decisions of the guard in front of an upstream: how many requests run at once, who waits, and who is refused.
//!
//! Everything here is a function of state, event and the time passed in. There is no I/O, no task and no clock, so
//! that tests can drive each decision through any interleaving.

mod guard;
mod learned;
mod level;
mod limit;
mod priority;
mod queue;

pub use guard::{Config, Decision, Guard, Load, Offer, Outcome, Refused};
pub use learned::Learned;
pub use level::Level;
pub use limit::Limit;
pub use priority::Priority;
