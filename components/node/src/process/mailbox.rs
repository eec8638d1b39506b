//! The way from the request path, on several threads, to the control traffic on its own.

use quarantine::Told;
use reservation::Holder;
use tokio::sync::{mpsc, oneshot};

/// What the request path hands to the control traffic.
pub struct Outbox {
    /// News of suspects.
    pub news: mpsc::UnboundedSender<News>,
    /// Claims of keys.
    pub claims: mpsc::UnboundedSender<Ask>,
}

/// What the control traffic is handed by the request path.
pub struct Inbox {
    /// News of suspects.
    pub news: mpsc::UnboundedReceiver<News>,
    /// Claims of keys.
    pub claims: mpsc::UnboundedReceiver<Ask>,
}

/// Both ends of the way from the request path to the control traffic.
pub fn open() -> (Outbox, Inbox) {
    let ((news, told), (claims, asked)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
    (Outbox { news, claims }, Inbox { news: told, claims: asked })
}

/// A claim of a key.
pub struct Ask {
    /// The key.
    pub key: String,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Settled>,
}

/// Who may run a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// This node.
    Here,
    /// This node, which has held it before and has forgotten what became of it.
    Forgotten,
    /// Another.
    Elsewhere(Holder),
    /// The log can't be asked.
    Unavailable,
}

/// News of a suspect on its way to other nodes.
pub struct News {
    /// The news.
    pub told: Told,
    /// Told when the first others know.
    pub done: Option<oneshot::Sender<()>>,
}
