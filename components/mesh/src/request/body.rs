//! Response bodies, which are buffered unless they are large. Request bodies are read in [`super::received`].
//!
//! A large response is streamed until its deadline. What it holds is released then even if its reader has stalled.

use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;

use super::guard::HeldSlot;
use super::peer::InFlight;
use crate::connection::pool::PooledConnection;
use crate::platform::Platform;
use crate::process::shared::lock;

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

quick_error! {
    /// Why a response body ended early.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection failed.
        Transport(err: hyper::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The body did not end before its deadline.
        Expired {
            display("the body did not end in time")
        }
    }
}

/// A response that is being streamed.
pub struct OpenStream<P: Platform> {
    rest: Incoming,
    resources: Resources<P>,
    /// Task that waits for the next frame.
    reader: Option<Waker>,
}

/// Body of a response.
pub enum Payload<P: Platform> {
    /// Buffered in memory.
    Buffered(Option<Bytes>),
    /// Streamed from a connection.
    Stream {
        /// Data read before the body turned out to be large.
        first: Option<Bytes>,
        /// Rest of the body; none once it has ended or expired.
        open: Arc<Mutex<Option<OpenStream<P>>>>,
        /// Whether the body is complete.
        ended: bool,
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

    /// Reads a response body; returns `resources` if it was read completely, otherwise the body holds them, until
    /// `deadline` at the latest.
    pub async fn read(
        mut rest: Incoming,
        mut resources: Resources<P>,
        deadline: Instant,
    ) -> Result<(Self, Option<Resources<P>>), BodyError> {
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
                    return Ok((Self::stream(first, rest, resources, deadline), None));
                }
            }
            return Ok((Self::buffered(buffered.freeze()), Some(resources)));
        }
        if let Some(slot) = &mut resources.slot {
            slot.complete = true;
        }
        Ok((Self::stream(None, rest, resources, deadline), None))
    }

    fn stream(
        first: Option<Bytes>,
        rest: Incoming,
        resources: Resources<P>,
        deadline: Instant,
    ) -> Self {
        let open = Arc::new(Mutex::new(Some(OpenStream { rest, resources, reader: None })));
        tokio::spawn(expire(Arc::downgrade(&open), deadline));
        Self::Stream { first, open, ended: false }
    }
}

/// Ends a stream at its deadline. The body itself isn't polled while its reader stalls.
async fn expire<P: Platform>(open: Weak<Mutex<Option<OpenStream<P>>>>, deadline: Instant) {
    tokio::time::sleep_until(deadline.into()).await;
    let Some(open) = open.upgrade() else { return };
    let Some(expired) = lock(&open).take() else { return };
    if let Some(slot) = &expired.resources.slot {
        slot.log_expired();
    }
    if let Some(reader) = expired.reader {
        reader.wake();
    }
}

impl<P: Platform> Body for Payload<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { ended: true, .. } => Poll::Ready(None),
            Self::Stream { first, open, ended } => {
                if let Some(first) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(first))));
                }
                let mut open = lock(open);
                let Some(stream) = open.as_mut() else {
                    *ended = true;
                    return Poll::Ready(Some(Err(BodyError::Expired)));
                };
                let Poll::Ready(frame) = Pin::new(&mut stream.rest).poll_frame(cx) else {
                    stream.reader = Some(cx.waker().clone());
                    return Poll::Pending;
                };
                let failed = frame.as_ref().is_some_and(|frame| frame.is_err());
                if !failed
                    && stream.rest.is_end_stream()
                    && let Some(slot) = &stream.resources.slot
                {
                    slot.response_ended();
                }
                if failed || frame.is_none() {
                    // The connection of a streamed response is not reused.
                    *ended = true;
                    *open = None;
                }
                Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream { ended: true, .. } => true,
            Self::Stream { first, open, .. } => {
                first.is_none()
                    && lock(open).as_ref().is_some_and(|stream| stream.rest.is_end_stream())
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream { first, open, .. } => {
                let Some(hint) = lock(open).as_ref().map(|stream| stream.rest.size_hint()) else {
                    return SizeHint::new();
                };
                let first = first.as_ref().map_or(0, Bytes::len) as u64;
                let mut total = SizeHint::new();
                total.set_lower(hint.lower() + first);
                if let Some(upper) = hint.upper() {
                    total.set_upper(upper + first);
                }
                total
            }
        }
    }
}
