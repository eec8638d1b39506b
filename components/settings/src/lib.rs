//! Settings of one node: a JSON file, validated as a whole before the node starts.
//!
//! An error names the file, the field, the value and what was expected. The settings of several nodes can be checked
//! against each other, to find nodes with the same id or address before they start.

mod check;
mod file;
mod model;

pub use check::check_all;
pub use file::{Error, parse, read};
pub use model::{
    Advertise, Bounds, Control, LimitKind, Listen, LogSource, Mechanisms, Settings, VERSION,
};
