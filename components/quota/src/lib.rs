//! Quotas of tenants across all nodes, by leased shares, as pure functions of state, message and time.
//!
//! Each node is entitled to a share of every tenant's token bucket ([`Census`]). It leases the share, for all tenants at
//! once, to one quota leader, which may be the node itself ([`Contributor`]). A quota leader adds up what is leased to it
//! and grants tokens ([`Pool`]); a node holds granted tokens for a short time ([`Purse`]).
//!
//! Two rules keep the sum over all nodes within the quota, whatever messages are lost, late or repeated. A share is in one
//! place: it returns to its node only once the quota leader can no longer use it and all tokens granted from it have
//! expired. A token is granted once. Times after which something must not be used are measured by the clock that shows
//! more ([`Moment::since`]); times after which something may be used again, and the refill of buckets, by the monotonic
//! clock, which never shows more than the time that has passed.
//!
//! Designed for 160 nodes and 10,000 tenants; leases cost the same for any number of tenants.

mod bucket;
mod census;
mod contributor;
mod member;
pub mod message;
mod moment;
mod pool;
mod purse;

use std::time::Duration;

pub use bucket::{Limit, Tolerance};
pub use census::{Census, Sighting};
pub use contributor::Contributor;
pub use member::{Decision, Member, View};
pub use moment::Moment;
pub use pool::{Pool, Renewed};
pub use purse::{Permit, Purse};

/// Time for which a quota leader uses a share, from the timestamp that its owner echoes: three renewals.
pub const LEASE: Duration = Duration::from_millis(1_500);
/// Time for which granted tokens may be used.
pub const GRANT: Duration = Duration::from_millis(600);
/// Time from a renewal after which the share is its owner's again: no token granted from it is left by then.
pub const RETURN: Duration = Duration::from_millis(2_100);
