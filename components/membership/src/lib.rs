//! Which nodes there are, where they are and what stands beside them.
//!
//! Within a failure domain nodes probe each other and gossip, in the manner of SWIM (Das et al., DSN 2002). Between
//! failure domains a few delegates compare digests and pass changes on. Every decision is a function of the table,
//! the event and the time; sending and receiving are the node's.

mod delegates;
mod member;
mod outbox;
mod table;

pub use delegates::{DELEGATES, rank};
pub use member::{Member, Serving, State, Status};
pub use table::{Change, Config, Table};
