//! Messages of the control traffic between nodes, and their conversion to and from the node's own types.

#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod control_capnp;
mod convert;
mod summary;
mod suspect;

pub use convert::{read_member, read_members, write_member, write_members};
pub use summary::{DomainSummary, read_summaries, write_summaries};
pub use suspect::{read_suspects, write_suspects};
