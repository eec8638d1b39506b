//! State of one request.

pub mod attempt;
pub mod body;
pub mod context;
pub mod dispatch;
pub mod headers;
pub mod idempotency;
pub mod lease;
pub mod local;
pub mod parent;
pub mod prepare;
pub mod resources;
