//! Access to the platform's append-only log: the interface, its HTTP client, and the configuration as a fold of one of
//! its streams.

mod fold;
mod http;
mod interface;
mod record;

pub use crate::http::HttpLog;
pub use fold::{Event, Fold, Step};
pub use interface::{AppendError, Batch, Entry, Log, NoLog, ReadError};
pub use record::{ChangeId, Outcome, Published, Record, Snapshot};
