//! At most once: who may run a request with a key, and what became of it.
//!
//! A key runs only at one holder: one life of one node. A ticket names its holder, so no agreement is needed. The
//! holder of a plain key is settled by the platform's log: the first claim in log order wins. The holder keeps in
//! memory what became of each key; when it is gone nobody else ever runs its keys.

mod book;
mod claims;
mod key;

pub use book::{Book, Entry, Outcome};
pub use claims::{Claim, Claims};
pub use key::{Holder, Key};
