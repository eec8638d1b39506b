//! Handling of one request.

pub mod body;
pub mod call;
pub mod entry;
pub mod forward;
pub mod guard;
pub mod outcome;
pub mod peer;
