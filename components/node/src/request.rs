//! What lives for one request.

pub mod account;
pub mod attempt;
pub mod body;
pub mod context;
pub mod entry;
pub mod guard;
pub mod headers;
pub mod hold;
pub mod once;
pub mod parent;
pub mod plan;
