//! Channels from the request path, which runs on several threads, to the control thread.

use quarantine::SuspectUpdate;
use reservation::Holder;
use tokio::sync::{mpsc, oneshot};

/// Sending ends, for the request path.
pub struct ControlSender {
    /// Updates on suspects.
    pub suspects: mpsc::UnboundedSender<SuspectReport>,
    /// Claims to idempotency keys.
    pub claims: mpsc::UnboundedSender<ClaimRequest>,
}

/// Receiving ends, for the control thread.
pub struct ControlReceiver {
    /// Updates on suspects.
    pub suspects: mpsc::UnboundedReceiver<SuspectReport>,
    /// Claims to idempotency keys.
    pub claims: mpsc::UnboundedReceiver<ClaimRequest>,
}

/// Opens the channels.
pub fn open() -> (ControlSender, ControlReceiver) {
    let ((suspects, suspect_updates), (claims, claim_requests)) =
        (mpsc::unbounded_channel(), mpsc::unbounded_channel());
    (
        ControlSender { suspects, claims },
        ControlReceiver { suspects: suspect_updates, claims: claim_requests },
    )
}

/// A claim to a key.
pub struct ClaimRequest {
    /// Claimed key.
    pub key: String,
    /// Receives the outcome.
    pub answer: oneshot::Sender<ClaimOutcome>,
}

/// Outcome of a claim: who may run the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This node, which now holds the key.
    Granted,
    /// This node, which has held the key before; the outcome of the run is no longer stored.
    Forgotten,
    /// Another node.
    HeldBy(Holder),
    /// Unknown, as the log can't be read or written.
    LogUnavailable,
}

/// An update on a suspect for other nodes.
pub struct SuspectReport {
    /// Update to send.
    pub update: SuspectUpdate,
    /// Notified when the first nodes have received it.
    pub delivered: Option<oneshot::Sender<()>>,
}
