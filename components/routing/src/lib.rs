//! Choice of the node that a call is sent to.
//!
//! A call stays in its own failure domain while that has capacity, then in its region, and goes to another region only
//! when its own has no capacity and the byte budget of the link allows it. Within a tier the less loaded of two random
//! candidates is chosen. Load is that of the last report, discounted by age, plus this node's calls in flight.

mod budget;
mod choose;
mod peer;
mod subset;

pub use budget::LinkBudget;
pub use choose::{Candidate, Tier, choose};
pub use peer::{LoadReport, Peer};
pub use subset::subset;
