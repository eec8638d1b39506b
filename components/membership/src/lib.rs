//! Cluster membership: which nodes exist, where they are and which upstream each one serves.
//!
//! Within a failure domain nodes probe each other and gossip, in the manner of SWIM (Das et al., DSN 2002). Between
//! failure domains a few delegates compare digests and forward changes. Every decision is a function of the table,
//! the event and the time; the node does the sending and receiving.

mod delegates;
mod member;
mod table;
mod updates;

pub use delegates::{DELEGATES_PER_DOMAIN, rank};
pub use member::{Member, ServedUpstream, Status, UpstreamState};
pub use table::{Change, Config, Table};
