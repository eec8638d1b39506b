//! Newtypes for ids, sizes and rates, the text form of durations, and the clock interface.
//!
//! All crates share them, so that an id of one kind can't be passed where another is expected.

mod clock;
mod ids;
mod macros;
mod sizes;
pub mod span;

pub use clock::{Clock, ManualClock, SystemClock};
pub use ids::{
    Author, DomainName, Incarnation, NodeId, Offset, RegionName, RootId, ServiceName, Version,
};
pub use macros::ParseError;
pub use sizes::{ByteSize, Rate};
