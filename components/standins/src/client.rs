//! A plain HTTP client that never sends a request twice.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;

/// Client with keep-alive connections.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// A client that reports a lost connection instead of sending again.
pub fn new() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector)
}

/// An answer with its whole body.
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

/// Sends a request and reads the whole answer; `None` when the connection was lost on the way.
pub async fn send(
    http: &Http,
    request: http::Request<Full<Bytes>>,
) -> Result<Option<Answer>, Error> {
    let (head, body) = http.request(request).await?.into_parts();
    Ok(body.collect().await.ok().map(|body| Answer { head, body: body.to_bytes() }))
}
