//! Response bodies, which are buffered unless they are large. Request bodies are read in [`super::received`].
//!
//! What a node holds of them until their readers have taken it is counted in its byte budget.
//!
//! A large response is streamed until its deadline. What it holds is released then even if its reader has stalled.

use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use bounds::Holding;
use bounds::choice::STREAM_BYTES;
use bounds::connections::Bound;
use bounds::ledger::Use;
use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::task::AbortHandle;

use super::guard::HeldSlot;
use super::peer::InFlight;
use crate::connection::pool::PooledConnection;
use crate::platform::Platform;
use crate::process::shared::{Shared, lock};

/// Largest response that is buffered before it is passed on.
const MAX_BUFFERED_BYTES: usize = 128 << 10;

/// Largest response that is covered by what its connection takes.
const SHORT_BYTES: usize = 8 << 10;
/// Steps in which memory is taken for a response of unknown length.
const STEP_BYTES: usize = 32 << 10;

/// Bytes of a buffered response, with their share of the byte budget.
struct CountedBytes {
    bytes: Bytes,
    /// Given back with the bytes.
    _memory: Holding,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Takes memory for a response as it grows.
struct Growing<'a, P: Platform> {
    shared: &'a Shared<P>,
    memory: Option<Holding>,
    deadline: Instant,
}

impl<P: Platform> Growing<'_, P> {
    /// Waits until the response may take `bytes` in all.
    async fn reserve(&mut self, bytes: usize) -> Result<(), BodyError> {
        let shared = self.shared;
        let memory = self.memory.get_or_insert_with(|| shared.bodies.holding(Use::Response));
        let missing = (bytes as u64).saturating_sub(memory.bytes());
        let clock = shared.platform.clock();
        if missing == 0 || shared.clients.hold(memory, missing, self.deadline, clock).await {
            return Ok(());
        }
        shared.record_bound(Bound::Memory);
        Err(BodyError::Memory)
    }

    /// The same for a response of which `bytes` have been read.
    async fn reserve_step(&mut self, bytes: usize) -> Result<(), BodyError> {
        if bytes <= SHORT_BYTES {
            return Ok(());
        }
        self.reserve(bytes.next_multiple_of(STEP_BYTES)).await
    }

    /// The bytes, which keep their share until they are written.
    fn count(self, bytes: Bytes) -> Bytes {
        match self.memory {
            Some(memory) => Bytes::from_owner(CountedBytes { bytes, _memory: memory }),
            None => bytes,
        }
    }
}

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
        /// There is no memory for it.
        Memory {
            display("there is no memory for the body")
        }
    }
}

/// A response that is being streamed.
pub struct OpenStream<P: Platform> {
    rest: Incoming,
    resources: Resources<P>,
    /// Given back with the stream.
    _memory: Option<Holding>,
    /// Task that waits for the next frame.
    reader: Option<Waker>,
}

/// Task that ends a stream at its deadline; dropped with the stream.
pub struct Expiry(AbortHandle);

impl Drop for Expiry {
    fn drop(&mut self) {
        self.0.abort();
    }
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
        /// Ends it at its deadline.
        expiry: Expiry,
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
        shared: &Shared<P>,
        mut rest: Incoming,
        mut resources: Resources<P>,
        deadline: Instant,
    ) -> Result<(Self, Option<Resources<P>>), BodyError> {
        let mut memory = Growing { shared, memory: None, deadline };
        let mut buffered = BytesMut::new();
        let least = rest.size_hint().lower() as usize;
        if least <= MAX_BUFFERED_BYTES {
            memory.reserve_step(least).await?;
            while let Some(frame) = rest.frame().await {
                if let Ok(data) = frame?.into_data() {
                    memory.reserve_step(buffered.len() + data.len()).await?;
                    if buffered.is_empty() && rest.is_end_stream() {
                        return Ok((Self::buffered(memory.count(data)), Some(resources)));
                    }
                    buffered.extend_from_slice(&data);
                }
                if buffered.len() > MAX_BUFFERED_BYTES {
                    let first = Some(buffered.freeze());
                    return Ok((Self::stream(first, rest, resources, memory).await?, None));
                }
            }
            return Ok((Self::buffered(memory.count(buffered.freeze())), Some(resources)));
        }
        if let Some(slot) = &mut resources.slot {
            slot.complete = true;
        }
        Ok((Self::stream(None, rest, resources, memory).await?, None))
    }

    async fn stream(
        first: Option<Bytes>,
        rest: Incoming,
        resources: Resources<P>,
        mut memory: Growing<'_, P>,
    ) -> Result<Self, BodyError> {
        memory.reserve(first.as_ref().map_or(0, Bytes::len) + STREAM_BYTES as usize).await?;
        let stream = OpenStream { rest, resources, _memory: memory.memory, reader: None };
        let open = Arc::new(Mutex::new(Some(stream)));
        let expiry = tokio::spawn(expire(Arc::downgrade(&open), memory.deadline));
        Ok(Self::Stream { first, open, ended: false, expiry: Expiry(expiry.abort_handle()) })
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
            Self::Stream { first, open, ended, .. } => {
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
