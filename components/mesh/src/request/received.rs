//! Reads request bodies into blocks, within the byte budget of the node. They are buffered so that they can be sent again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bounds::blocks::Builder;
use bounds::{Budget, Discarded, RequestBody};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use units::Clock;

/// Why a request body can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// Larger than allowed.
    TooLarge,
    /// The sender closed the connection.
    Incomplete,
    /// The deadline passed.
    Late,
    /// Its bytes were needed for other bodies.
    Discarded,
}

impl From<Discarded> for ReadError {
    fn from(_: Discarded) -> Self {
        Self::Discarded
    }
}

/// Bounds of a body.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Most bytes.
    pub limit: usize,
    /// When it has to be in.
    pub deadline: Instant,
    /// Time for which the rest of a discarded body is read, so that its sender gets the answer: a connection that is
    /// closed while it is sending loses it.
    pub drain: Duration,
}

/// Reads a request body.
pub async fn read(
    mut body: Incoming,
    bounds: Bounds,
    budget: &Arc<Budget>,
    clock: &impl Clock,
) -> Result<RequestBody, ReadError> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > bounds.limit as u64) {
        return Err(ReadError::TooLarge);
    }
    let reservation = budget.open(length, clock);
    let builder = Builder::new(length.map(|length| length as usize), reservation);
    let read = fill(&mut body, builder, bounds.limit, clock);
    let result = tokio::time::timeout_at(bounds.deadline.into(), read).await;
    let result = result.unwrap_or(Err(ReadError::Late));
    if matches!(result, Err(ReadError::Discarded)) {
        // Whether the sender ends in time makes no difference.
        let _ = tokio::time::timeout(bounds.drain, drain(body)).await;
    }
    result
}

async fn fill(
    body: &mut Incoming,
    mut builder: Builder,
    limit: usize,
    clock: &impl Clock,
) -> Result<RequestBody, ReadError> {
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            discarded = builder.reservation().discarded() => return Err(discarded.into()),
        };
        let Some(frame) = frame else { return Ok(builder.finish()) };
        let Ok(data) = frame.map_err(|_| ReadError::Incomplete)?.into_data() else { continue };
        if builder.length() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        builder.push(&data, clock).await?;
    }
}

/// Reads a body to its end and drops it.
pub async fn drain(mut body: Incoming) {
    while body.frame().await.is_some_and(|frame| frame.is_ok()) {}
}
