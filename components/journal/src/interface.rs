//! Interface of the platform's log.

use std::time::Duration;

use quick_error::quick_error;
use units::Offset;

quick_error! {
    /// Why an append returned no offset.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AppendError {
        /// The record was not appended.
        Refused(reason: String) {
            display("the log refused the record: {}", reason)
        }
        /// The response was lost: the record may be in the log.
        Unknown(reason: String) {
            display("the log's answer was lost ({}); the record may have been appended", reason)
        }
    }
}

quick_error! {
    /// Why a read failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadError {
        /// The log can't be read at present.
        Unavailable(reason: String) {
            display("the log can't be read: {}", reason)
        }
    }
}

units::record! {
    /// One record of a stream.
    pub struct Entry {
        /// Its position in the stream.
        pub offset: Offset,
        /// Its text.
        pub text: String,
    }

    /// Result of a read.
    pub struct Batch {
        /// First offset that the stream still retains.
        pub first: Offset,
        /// Offset after the last record of the stream.
        pub next: Offset,
        /// Records from the requested offset on, possibly not all of them.
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

    /// Reads records from an offset on; waits up to `wait` if there is none yet.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, ReadError>> + Send;
}

/// Stands in for the log of a node that has none configured: every call fails.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnconfiguredLog;

impl Log for UnconfiguredLog {
    async fn append(&self, _: &str, _: String) -> Result<Offset, AppendError> {
        Err(AppendError::Refused("no log is configured".to_owned()))
    }

    async fn read(&self, _: &str, _: Offset, _: Duration) -> Result<Batch, ReadError> {
        Err(ReadError::Unavailable("no log is configured".to_owned()))
    }
}
