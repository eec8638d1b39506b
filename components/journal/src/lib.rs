//! Access to the platform's append-only log: the interface, its HTTP client, and the configuration as a fold of one of
//! its streams.

mod http;
mod interface;
mod record;
mod state;

pub use crate::http::HttpLog;
pub use interface::{AppendError, Batch, Entry, Log, ReadError, UnconfiguredLog};
pub use record::{Outcome, PublishId, Published, Record, Snapshot};
pub use state::{ConfigurationState, Event, Step};
