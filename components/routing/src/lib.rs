//! Choosing the node that a call is sent to.
//!
//! A call stays in its own failure domain while there is room, then in its region, and goes to another region only
//! when its own has none and the byte budget of the link allows it. Within a tier the less loaded of two random
//! candidates is taken. Load is what the last answer said, discounted by its age, and what this node has in flight.

mod budget;
mod choose;
mod peer;
mod subset;

pub use budget::LinkBudget;
pub use choose::{Candidate, Tier, choose};
pub use peer::{Peer, Report};
pub use subset::subset;
