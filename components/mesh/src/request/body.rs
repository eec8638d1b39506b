//! Request and response bodies. Requests are buffered so that they can be sent again; responses are buffered unless
//! they are large.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::guard::HeldSlot;
use super::peer::InFlight;
use crate::connection::pool::PooledConnection;
use crate::platform::Platform;

/// Largest response that is buffered before it is passed on.
const MAX_BUFFERED_BYTES: usize = 128 << 10;

/// What a response holds while its body is being read.
pub struct Resources<P: Platform> {
    /// Slot of the upstream beside this node.
    pub slot: Option<HeldSlot<P>>,
    /// Request counted as in flight to another node.
    pub in_flight: Option<InFlight<P>>,
    /// Connection that is reused afterwards.
    pub connection: Option<PooledConnection>,
}

/// Body of a response.
pub enum Payload<P: Platform> {
    /// Buffered in memory.
    Buffered(Option<Bytes>),
    /// Streamed from a connection.
    Stream {
        /// Data read before the body turned out to be large.
        first: Option<Bytes>,
        /// Rest of the body.
        rest: Incoming,
        /// Released when the body ends.
        resources: Option<Box<Resources<P>>>,
    },
}

impl<P: Platform> Payload<P> {
    /// A buffered body.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// A response with an empty body.
    pub fn empty(status: StatusCode) -> Response<Self> {
        let mut response = Response::new(Self::buffered(""));
        *response.status_mut() = status;
        response
    }

    /// Reads a response body; returns `resources` if it was read completely, otherwise the body holds them.
    pub async fn read(
        mut rest: Incoming,
        mut resources: Resources<P>,
    ) -> Result<(Self, Option<Resources<P>>), hyper::Error> {
        let mut buffered = BytesMut::new();
        if rest.size_hint().lower() <= MAX_BUFFERED_BYTES as u64 {
            while let Some(frame) = rest.frame().await {
                if let Ok(data) = frame?.into_data() {
                    if buffered.is_empty() && rest.is_end_stream() {
                        return Ok((Self::buffered(data), Some(resources)));
                    }
                    buffered.extend_from_slice(&data);
                }
                if buffered.len() > MAX_BUFFERED_BYTES {
                    let first = Some(buffered.freeze());
                    return Ok((
                        Self::Stream { first, rest, resources: Some(Box::new(resources)) },
                        None,
                    ));
                }
            }
            return Ok((Self::buffered(buffered.freeze()), Some(resources)));
        }
        if let Some(slot) = &mut resources.slot {
            slot.complete = true;
        }
        Ok((Self::Stream { first: None, rest, resources: Some(Box::new(resources)) }, None))
    }
}

impl<P: Platform> Body for Payload<P> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { first, rest, resources } => {
                if let Some(first) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(first))));
                }
                let frame = ready!(Pin::new(rest).poll_frame(cx));
                if frame.as_ref().is_none_or(|frame| frame.is_err()) {
                    // The connection of a streamed response is not reused.
                    *resources = None;
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream { first, rest, .. } => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream { first: None, rest, .. } => rest.size_hint(),
            Self::Stream { first: Some(first), rest, .. } => {
                let hint = rest.size_hint();
                let mut total = SizeHint::new();
                total.set_lower(hint.lower() + first.len() as u64);
                if let Some(upper) = hint.upper() {
                    total.set_upper(upper + first.len() as u64);
                }
                total
            }
        }
    }
}

/// Why a request body can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// Larger than allowed.
    TooLarge,
    /// The caller stopped sending.
    Incomplete,
}

/// Reads a request body of at most `limit` bytes.
pub async fn read_request(body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Err(_) => Err(ReadError::Incomplete),
    }
}
