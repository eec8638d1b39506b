//! Bodies on their way through the node: kept whole where they are small, streamed where they are not.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use units::{ByteSize, Clock};

use super::hold::Hold;

/// Bytes of a body that is too large which are read so that its caller sees the error.
const DISCARD: u64 = 64 << 20;

quick_error! {
    /// Why a body can't be passed on.
    #[derive(Debug)]
    pub enum BodyError {
        /// It is larger than allowed.
        TooLarge {
            display("the body is too large")
        }
        /// The connection failed.
        Lost(err: hyper::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}

/// A body that is passed on.
pub enum Payload<C: Clock> {
    /// It is in memory.
    Whole(Option<Bytes>),
    /// It is read from a connection.
    Stream {
        /// What was read before it turned out to be large.
        prefix: Option<Bytes>,
        /// The rest.
        rest: Incoming,
        /// Bytes that may still come.
        room: u64,
        /// What is released when it ends.
        hold: Hold<C>,
    },
}

impl<C: Clock> Payload<C> {
    /// A body in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// An answer's body, as long as it likes.
    pub fn answer(rest: Incoming, hold: Hold<C>) -> Self {
        Self::Stream { prefix: None, rest, room: u64::MAX, hold }
    }
}

impl<C: Clock> Body for Payload<C> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let (prefix, rest, room, hold) = match &mut *self {
            Self::Whole(bytes) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))));
            }
            Self::Stream { prefix, rest, room, hold } => (prefix, rest, room, hold),
        };
        if let Some(prefix) = prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let Some(frame) = ready!(Pin::new(&mut *rest).poll_frame(task)) else {
            hold.complete();
            return Poll::Ready(None);
        };
        let frame = frame?;
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        hold.passed(size);
        let Some(left) = room.checked_sub(size) else {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        };
        *room = left;
        if rest.is_end_stream() {
            hold.complete();
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream { prefix, rest, .. } => prefix.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { prefix: None, rest, .. } => rest.size_hint(),
            Self::Stream { prefix: Some(prefix), rest, .. } => {
                after(prefix.len() as u64, rest.size_hint())
            }
        }
    }
}

fn after(prefix: u64, rest: SizeHint) -> SizeHint {
    let mut hint = SizeHint::new();
    hint.set_lower(prefix + rest.lower());
    if let Some(upper) = rest.upper() {
        hint.set_upper(prefix + upper);
    }
    hint
}

/// Reads on for a while, as a caller that is still sending would not see the error.
async fn discard(mut body: Incoming) -> BodyError {
    let mut left = DISCARD;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(rest) = left.checked_sub(size) else { break };
        left = rest;
    }
    BodyError::TooLarge
}

/// A request's body: whole ones can be sent again.
pub enum Kept<C: Clock> {
    /// In memory.
    Whole(Bytes),
    /// Streamed, once.
    Once(Option<Payload<C>>),
}

impl<C: Clock> Kept<C> {
    /// Reads a body up to `replay` bytes; a longer one is streamed up to `most`.
    pub async fn read(
        mut body: Incoming,
        replay: ByteSize,
        most: ByteSize,
    ) -> Result<Self, BodyError> {
        if body.size_hint().lower() > most.0 {
            return Err(discard(body).await);
        }
        let mut kept = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            kept.extend_from_slice(&data);
            if kept.len() as u64 > most.0 {
                return Err(discard(body).await);
            }
            if kept.len() as u64 > replay.0 {
                let room = most.0 - kept.len() as u64;
                let prefix = Some(kept.freeze());
                return Ok(Self::Once(Some(Payload::Stream {
                    prefix,
                    rest: body,
                    room,
                    hold: Hold::default(),
                })));
            }
        }
        Ok(Self::Whole(kept.freeze()))
    }

    /// The body for the next try; `None` when it is gone.
    pub fn next(&mut self) -> Option<Payload<C>> {
        match self {
            Self::Whole(bytes) => Some(Payload::whole(bytes.clone())),
            Self::Once(body) => body.take(),
        }
    }

    /// Whether it can be sent again.
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}
