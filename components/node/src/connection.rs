//! What lives for a connection.

pub mod count;
pub mod peers;
pub mod upstream;
