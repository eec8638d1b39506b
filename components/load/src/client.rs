//! HTTP client for load generation, without retries of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::experiment::Mix;

/// Result of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// The complete response to this request.
    Complete,
    /// A complete response, but to another request.
    Mismatched,
    /// An error status, with the reason and verdict where the headers have them.
    Refused {
        /// Reason, or the HTTP status if there is none.
        reason: String,
        /// Whether the request may have run; empty if not given.
        verdict: String,
    },
    /// No response in time.
    TimedOut,
    /// The connection failed, or the response was incomplete.
    ConnectionLost,
}

impl AttemptResult {
    /// Whether the verdict says that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { verdict, .. } if verdict == "not-run")
    }
}

/// Client shared by all requests of an experiment.
#[derive(Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http }
    }

    /// Sends one request.
    pub async fn send(
        &self,
        to: SocketAddr,
        mix: &Mix,
        id: &str,
        timeout: Duration,
    ) -> AttemptResult {
        match tokio::time::timeout(timeout, self.exchange(to, mix, id)).await {
            Ok(result) => result,
            Err(_) => AttemptResult::TimedOut,
        }
    }

    async fn exchange(&self, to: SocketAddr, mix: &Mix, id: &str) -> AttemptResult {
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
            return AttemptResult::ConnectionLost;
        };
        let Ok(response) = self.http.request(request).await else {
            return AttemptResult::ConnectionLost;
        };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return AttemptResult::ConnectionLost };
        if head.status.is_success() {
            return check_body(&body.to_bytes(), id);
        }
        let header = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        let reason = match header("almondknot-reason") {
            "" => head.status.as_str().to_owned(),
            reason => reason.to_owned(),
        };
        AttemptResult::Refused { reason, verdict: header("almondknot-verdict").to_owned() }
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

fn check_body(body: &[u8], id: &str) -> AttemptResult {
    let response: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    match (response["whole"] == true, response["id"] == id) {
        (true, true) => AttemptResult::Complete,
        (true, false) => AttemptResult::Mismatched,
        (false, _) => AttemptResult::ConnectionLost,
    }
}
