//! Asking a node's administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::error::Error;

const TIMEOUT: Duration = Duration::from_secs(3);

/// Asks for a JSON document.
pub async fn json(address: SocketAddr, path: &str) -> Result<Value, Error> {
    let unreachable = |why: String| Error::Unreachable(address, why);
    let asked = tokio::time::timeout(TIMEOUT, exchange(address, path)).await;
    let body =
        asked.map_err(|_| unreachable("it took too long".to_owned()))?.map_err(unreachable)?;
    serde_json::from_slice(&body).map_err(|err| unreachable(err.to_string()))
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Bytes, String> {
    let stream = TcpStream::connect(address).await.map_err(|err| err.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    let driver = tokio::spawn(connection);
    let request = http::Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|err| err.to_string())?;
    let response = sender.send_request(request).await.map_err(|err| err.to_string())?;
    let body = response.into_body().collect().await.map_err(|err| err.to_string())?;
    driver.abort();
    Ok(body.to_bytes())
}
