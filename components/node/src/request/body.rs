//! Bodies passing through the node: buffered when small, streamed when not.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use units::{ByteSize, Clock};

use super::resources::Resources;

/// Bytes of an oversized body that are read and dropped, so that the caller stops sending and sees the error.
const DISCARD_LIMIT_BYTES: u64 = 64 << 20;

quick_error! {
    /// Why a body can't be forwarded.
    #[derive(Debug)]
    pub enum BodyError {
        /// It exceeds the size limit.
        TooLarge {
            display("the body is too large")
        }
        /// The connection failed.
        ConnectionLost(err: hyper::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}

/// A body to be forwarded.
pub enum Payload<C: Clock> {
    /// In memory.
    Buffered(Option<Bytes>),
    /// Read from a connection.
    Stream {
        /// Part already read when the body proved too large to buffer.
        prefix: Option<Bytes>,
        /// Unread part.
        rest: Incoming,
        /// Bytes that may still follow.
        remaining: u64,
        /// Resources released at the end of the body.
        resources: Resources<C>,
    },
}

impl<C: Clock> Payload<C> {
    /// A buffered body.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// A streamed body of any size.
    pub fn stream(rest: Incoming, resources: Resources<C>) -> Self {
        Self::Stream { prefix: None, rest, remaining: u64::MAX, resources }
    }
}

impl<C: Clock> Body for Payload<C> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let (prefix, rest, remaining, resources) = match &mut *self {
            Self::Buffered(bytes) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))));
            }
            Self::Stream { prefix, rest, remaining, resources } => {
                (prefix, rest, remaining, resources)
            }
        };
        if let Some(prefix) = prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let Some(frame) = ready!(Pin::new(&mut *rest).poll_frame(task)) else {
            resources.complete();
            return Poll::Ready(None);
        };
        let frame = frame?;
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        resources.add_bytes(size);
        let Some(left) = remaining.checked_sub(size) else {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        };
        *remaining = left;
        if rest.is_end_stream() {
            resources.complete();
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream { prefix, rest, .. } => prefix.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { prefix: None, rest, .. } => rest.size_hint(),
            Self::Stream { prefix: Some(prefix), rest, .. } => {
                add_prefix(prefix.len() as u64, rest.size_hint())
            }
        }
    }
}

fn add_prefix(prefix: u64, rest: SizeHint) -> SizeHint {
    let mut hint = SizeHint::new();
    hint.set_lower(prefix + rest.lower());
    if let Some(upper) = rest.upper() {
        hint.set_upper(prefix + upper);
    }
    hint
}

/// Reads and drops the rest, up to a limit: a caller that is still sending would not see the error.
async fn discard(mut body: Incoming) -> BodyError {
    let mut left = DISCARD_LIMIT_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(rest) = left.checked_sub(size) else { break };
        left = rest;
    }
    BodyError::TooLarge
}

/// Body of a request; a buffered one can be sent again.
pub enum RequestBody<C: Clock> {
    /// In memory.
    Buffered(Bytes),
    /// Streamed, for a single attempt.
    Streamed(Option<Payload<C>>),
}

impl<C: Clock> RequestBody<C> {
    /// Buffers a body of up to `buffer_limit` bytes; a larger one is streamed, up to `max_size`.
    pub async fn read(
        mut body: Incoming,
        buffer_limit: ByteSize,
        max_size: ByteSize,
    ) -> Result<Self, BodyError> {
        if body.size_hint().lower() > max_size.0 {
            return Err(discard(body).await);
        }
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            buffer.extend_from_slice(&data);
            if buffer.len() as u64 > max_size.0 {
                return Err(discard(body).await);
            }
            if buffer.len() as u64 > buffer_limit.0 {
                let remaining = max_size.0 - buffer.len() as u64;
                let prefix = Some(buffer.freeze());
                return Ok(Self::Streamed(Some(Payload::Stream {
                    prefix,
                    rest: body,
                    remaining,
                    resources: Resources::default(),
                })));
            }
        }
        Ok(Self::Buffered(buffer.freeze()))
    }

    /// Body for the next attempt; `None` when a streamed one is used up.
    pub fn next_attempt(&mut self) -> Option<Payload<C>> {
        match self {
            Self::Buffered(bytes) => Some(Payload::buffered(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Whether the body can be sent again.
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}
