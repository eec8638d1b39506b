//! The callers' HTTP client. It never sends a request twice by itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::experiment::Mix;

/// What became of one try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Tried {
    /// The whole answer to this very request.
    Whole,
    /// A whole answer, but to another request.
    Crossed,
    /// An error, with its reason and verdict where they were given.
    Refused {
        /// Why.
        reason: String,
        /// Whether it may have run.
        verdict: String,
    },
    /// No answer in time.
    TimedOut,
    /// The connection failed.
    Lost,
}

impl Tried {
    /// Whether the answer said that the request did not run.
    pub fn is_unrun(&self) -> bool {
        matches!(self, Self::Refused { verdict, .. } if verdict == "not-run")
    }
}

/// Client of all callers.
#[derive(Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http }
    }

    /// Sends one request.
    pub async fn send(&self, to: SocketAddr, mix: &Mix, id: &str, timeout: Duration) -> Tried {
        match tokio::time::timeout(timeout, self.exchange(to, mix, id)).await {
            Ok(tried) => tried,
            Err(_) => Tried::TimedOut,
        }
    }

    async fn exchange(&self, to: SocketAddr, mix: &Mix, id: &str) -> Tried {
        let mut request = Request::builder()
            .method(mix.method.as_str())
            .uri(format!("http://{to}{}", mix.path))
            .header("standin-id", id);
        if mix.keyed {
            request = request.header("idempotency-key", id);
        }
        if mix.crash {
            request = request.header("standin-crash", "1");
        }
        let Ok(request) = request.body(Full::from(vec![b'x'; mix.body])) else {
            return Tried::Lost;
        };
        let Ok(response) = self.http.request(request).await else { return Tried::Lost };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return Tried::Lost };
        if head.status.is_success() {
            return judge(&body.to_bytes(), id);
        }
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        let reason = match text("almondknot-reason") {
            "" => head.status.as_str().to_owned(),
            reason => reason.to_owned(),
        };
        Tried::Refused { reason, verdict: text("almondknot-verdict").to_owned() }
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

fn judge(body: &[u8], id: &str) -> Tried {
    let answer: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    match (answer["whole"] == true, answer["id"] == id) {
        (true, true) => Tried::Whole,
        (true, false) => Tried::Crossed,
        (false, _) => Tried::Lost,
    }
}
