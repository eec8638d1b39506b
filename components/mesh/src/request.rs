//! What lives for a request.

pub mod body;
pub mod call;
pub mod entry;
pub mod guard;
pub mod outcome;
pub mod peer;
pub mod tries;
