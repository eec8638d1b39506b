//! Handling of one request.

pub mod answer;
pub mod body;
pub mod call;
pub mod entry;
pub mod forward;
pub mod guard;
pub mod identity;
pub mod intake;
pub mod outcome;
pub mod peer;
pub mod received;
pub mod routed;
