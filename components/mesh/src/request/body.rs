//! Bodies: requests are kept whole, so that they can be sent again; answers too, unless they are large.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::guard::Run;
use super::peer::Sent;
use crate::connection::pool::Lane;
use crate::platform::Platform;

/// Largest answer that is kept whole before it is passed on.
const KEPT: usize = 128 << 10;

/// What an answer that is still being read holds.
pub struct Hold<P: Platform> {
    /// A slot of the upstream beside this node.
    pub run: Option<Run<P>>,
    /// A call to another node.
    pub sent: Option<Sent<P>>,
    /// The connection, which serves another request afterwards.
    pub lane: Option<Lane>,
}

/// An answer's body.
pub enum Payload<P: Platform> {
    /// In memory.
    Whole(Option<Bytes>),
    /// Read from a connection while it is passed on.
    Stream {
        /// What was read before it turned out to be large.
        first: Option<Bytes>,
        /// The rest.
        rest: Incoming,
        /// Released when it ends.
        hold: Option<Box<Hold<P>>>,
    },
}

impl<P: Platform> Payload<P> {
    /// A body in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// An answer with a status and no body.
    pub fn empty(status: StatusCode) -> Response<Self> {
        let mut response = Response::new(Self::whole(""));
        *response.status_mut() = status;
        response
    }

    /// Reads an answer's body; the parts of `hold` are given back once it has been read whole.
    pub async fn read(
        mut rest: Incoming,
        mut hold: Hold<P>,
    ) -> Result<(Self, Option<Hold<P>>), hyper::Error> {
        let mut kept = BytesMut::new();
        if rest.size_hint().lower() <= KEPT as u64 {
            while let Some(frame) = rest.frame().await {
                if let Ok(data) = frame?.into_data() {
                    if kept.is_empty() && rest.is_end_stream() {
                        return Ok((Self::whole(data), Some(hold)));
                    }
                    kept.extend_from_slice(&data);
                }
                if kept.len() > KEPT {
                    let first = Some(kept.freeze());
                    return Ok((Self::Stream { first, rest, hold: Some(Box::new(hold)) }, None));
                }
            }
            return Ok((Self::whole(kept.freeze()), Some(hold)));
        }
        if let Some(run) = &mut hold.run {
            run.whole = true;
        }
        Ok((Self::Stream { first: None, rest, hold: Some(Box::new(hold)) }, None))
    }
}

impl<P: Platform> Body for Payload<P> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { first, rest, hold } => {
                if let Some(first) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(first))));
                }
                let frame = ready!(Pin::new(rest).poll_frame(task));
                if frame.as_ref().is_none_or(|frame| frame.is_err()) {
                    // A connection whose answer was streamed is not used again.
                    *hold = None;
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream { first, rest, .. } => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream { first: None, rest, .. } => rest.size_hint(),
            Self::Stream { first: Some(first), rest, .. } => {
                let hint = rest.size_hint();
                let mut whole = SizeHint::new();
                whole.set_lower(hint.lower() + first.len() as u64);
                if let Some(upper) = hint.upper() {
                    whole.set_upper(upper + first.len() as u64);
                }
                whole
            }
        }
    }
}

/// Why a request's body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// It is larger than allowed.
    TooLarge,
    /// Its caller broke off.
    Broken,
}

/// Reads a request's body.
pub async fn read_request(body: Incoming, most: usize) -> Result<Bytes, Unread> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Unread::TooLarge),
        Err(_) => Err(Unread::Broken),
    }
}
