//! Settings of one node: a JSON file, checked whole before anything starts.
//!
//! An error names the file, the field, the value and what was expected. Settings of several nodes are checked
//! against each other, so that two nodes with one id or one address are found before they start.

mod check;
mod file;
mod model;

pub use check::together;
pub use file::{Error, parse, read};
pub use model::{
    Advertise, Bounds, Control, LimitKind, Listen, LogSource, Mechanisms, Settings, VERSION,
};
