//! A request body in blocks: stored once, sent any number of times without a copy.
//!
//! Data is copied into blocks as it arrives, so that a body keeps none of the buffers of its connection, and small chunks
//! cost no more than their bytes.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use units::Clock;

use super::budget::{Discarded, Reservation};

/// Sizes of blocks while the length of the body is not known: each as large as what came before, within these.
const MIN_BLOCK_BYTES: usize = 512;
const MAX_BLOCK_BYTES: usize = 64 << 10;

/// Blocks of a body and its share of the budget.
#[derive(Default)]
struct Stored {
    blocks: Vec<Bytes>,
    length: usize,
    /// Released with the blocks.
    _reservation: Option<Reservation>,
}

/// A whole body; clones share its blocks. As a [`Body`], each is sent from where it stands.
#[derive(Clone, Default)]
pub struct RequestBody {
    stored: Arc<Stored>,
    /// Blocks that were sent.
    sent: usize,
    /// Bytes of them.
    sent_bytes: usize,
}

impl RequestBody {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.stored.length
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Its bytes, block by block.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.stored.blocks.iter().map(|block| &block[..])
    }

    /// Its bytes in one piece, for messages that are parsed.
    pub fn to_bytes(&self) -> Bytes {
        match &self.stored.blocks[..] {
            [only] => only.clone(),
            blocks => blocks.concat().into(),
        }
    }
}

impl<B: Into<Bytes>> From<B> for RequestBody {
    /// A body that is not counted in a budget: the node's own messages.
    fn from(bytes: B) -> Self {
        let bytes = bytes.into();
        let length = bytes.len();
        let blocks = if length > 0 { vec![bytes] } else { Vec::new() };
        let stored = Stored { blocks, length, _reservation: None };
        Self { stored: Arc::new(stored), sent: 0, sent_bytes: 0 }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.stored.blocks.get(self.sent).cloned() else {
            return Poll::Ready(None);
        };
        self.sent += 1;
        self.sent_bytes += block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent >= self.stored.blocks.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.stored.length - self.sent_bytes) as u64)
    }
}

/// A body that is arriving.
pub struct Builder {
    blocks: Vec<Bytes>,
    /// The block that is being filled.
    open: BytesMut,
    length: usize,
    /// Length that the sender declared.
    declared: Option<usize>,
    reservation: Reservation,
}

impl Builder {
    /// An empty body, of this declared length if it is known.
    pub fn new(declared: Option<usize>, reservation: Reservation) -> Self {
        Self { blocks: Vec::new(), open: BytesMut::new(), length: 0, declared, reservation }
    }

    /// Its share of the budget.
    pub fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Bytes that have arrived.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Appends data; waits until the budget allows it.
    pub async fn push(&mut self, mut data: &[u8], clock: &impl Clock) -> Result<(), Discarded> {
        while !data.is_empty() {
            if self.open.len() == self.open.capacity() {
                let size = self.next_block();
                self.reservation.grow(size as u64, clock).await?;
                let full = std::mem::replace(&mut self.open, BytesMut::with_capacity(size));
                self.close_block(full);
            }
            let room = self.open.capacity() - self.open.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.open.extend_from_slice(now);
            self.length += now.len();
            data = later;
        }
        Ok(())
    }

    /// The whole body.
    pub fn finish(mut self) -> RequestBody {
        self.reservation.complete();
        let last = std::mem::take(&mut self.open);
        self.close_block(last);
        let Self { blocks, length, reservation, .. } = self;
        let stored = Stored { blocks, length, _reservation: Some(reservation) };
        RequestBody { stored: Arc::new(stored), sent: 0, sent_bytes: 0 }
    }

    fn close_block(&mut self, block: BytesMut) {
        if !block.is_empty() {
            self.blocks.push(block.freeze());
        }
    }

    fn next_block(&self) -> usize {
        let missing = self.declared.map(|declared| declared.saturating_sub(self.length));
        match missing {
            Some(missing) if missing > 0 => missing.min(MAX_BLOCK_BYTES),
            _ => self.length.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES),
        }
    }
}
