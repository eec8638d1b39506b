//! HTTP client without retries.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;

/// Client that keeps connections alive.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that reports a lost connection instead of retrying the request.
pub fn new() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector)
}

/// A response with its complete body.
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

/// Sends a request and reads the complete response; `None` if the connection was lost while the body was read.
pub async fn send(
    http: &Http,
    request: http::Request<Full<Bytes>>,
) -> Result<Option<Answer>, Error> {
    let (head, body) = http.request(request).await?.into_parts();
    Ok(body.collect().await.ok().map(|body| Answer { head, body: body.to_bytes() }))
}
