//! Request bodies that a node holds: their storage in blocks, and the budget that bounds all of them together.

pub mod blocks;
pub mod budget;

pub use blocks::RequestBody;
pub use budget::{Budget, Discarded, Reservation};
