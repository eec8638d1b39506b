//! What the system needs of the log.

use std::time::Duration;

use quick_error::quick_error;
use units::Offset;

quick_error! {
    /// Why an append has no offset.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AppendError {
        /// The record was not appended.
        Refused(why: String) {
            display("the log refused the record: {}", why)
        }
        /// The answer was lost: the record may be in the log.
        Unknown(why: String) {
            display("the log's answer was lost ({}); the record may have been appended", why)
        }
    }
}

quick_error! {
    /// Why a read gave nothing.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadError {
        /// The log can't be read now.
        Unavailable(why: String) {
            display("the log can't be read: {}", why)
        }
    }
}

units::record! {
    /// One record of a stream.
    pub struct Entry {
        /// Its position.
        pub offset: Offset,
        /// Its text.
        pub text: String,
    }

    /// What a read gave.
    pub struct Batch {
        /// First offset that the stream still has.
        pub first: Offset,
        /// Offset behind its last record.
        pub next: Offset,
        /// Records from the wanted offset on; not always all of them.
        pub entries: Vec<Entry>,
    }
}

/// The platform's log.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record to a stream.
    fn append(
        &self,
        stream: &str,
        text: String,
    ) -> impl Future<Output = Result<Offset, AppendError>> + Send;

    /// Reads records from an offset on, and waits for one where there is none yet.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, ReadError>> + Send;
}

/// The log of a node that has none.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoLog;

impl Log for NoLog {
    async fn append(&self, _: &str, _: String) -> Result<Offset, AppendError> {
        Err(AppendError::Refused("no log is set".to_owned()))
    }

    async fn read(&self, _: &str, _: Offset, _: Duration) -> Result<Batch, ReadError> {
        Err(ReadError::Unavailable("no log is set".to_owned()))
    }
}
