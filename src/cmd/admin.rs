//! Client of a node's administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
pub use http::Method;
use http::{StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::error::Error;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests a JSON document.
pub async fn json(address: SocketAddr, path: &str, token: Option<&str>) -> Result<Value, Error> {
    let text = text(address, Method::GET, path, token).await?;
    serde_json::from_str(&text).map_err(|err| Error::Unreachable(address, err.to_string()))
}

/// Requests a text.
pub async fn text(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
) -> Result<String, Error> {
    let unreachable = |reason: String| Error::Unreachable(address, reason);
    let result =
        tokio::time::timeout(REQUEST_TIMEOUT, exchange(address, method, path, token)).await;
    let response =
        result.map_err(|_| unreachable("request timed out".to_owned()))?.map_err(unreachable)?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if response.status == StatusCode::OK { Ok(text) } else { Err(Error::Refused(text)) }
}

struct Response {
    status: StatusCode,
    body: Bytes,
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
) -> Result<Response, String> {
    let stream = TcpStream::connect(address).await.map_err(|err| err.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    let driver = tokio::spawn(connection);
    let mut request =
        http::Request::builder().method(method).uri(path).header(header::HOST, address.to_string());
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Empty::<Bytes>::new()).map_err(|err| err.to_string())?;
    let response = sender.send_request(request).await.map_err(|err| err.to_string())?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|err| err.to_string())?;
    driver.abort();
    Ok(Response { status, body: body.to_bytes() })
}
