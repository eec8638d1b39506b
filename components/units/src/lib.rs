//! Newtypes for ids, sizes, rates and spans of time, and the clock interface.
//!
//! Every crate of the workspace shares these, so that an id of one kind can't be handed over where another is meant.

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
