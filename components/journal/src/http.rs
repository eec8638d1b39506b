//! The log over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use units::Offset;

use crate::interface::{AppendError, Batch, Entry, Log, ReadError};

/// Time-out of a connect and of a request, in addition to the time that a read waits for records.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client of the log's HTTP service.
#[derive(Debug, Clone)]
pub struct HttpLog {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct RecordJson {
    offset: u64,
    text: String,
}

#[derive(Deserialize)]
struct BatchJson {
    first: u64,
    next: u64,
    records: Vec<RecordJson>,
}

/// Why a request failed, by whether it may have reached the log.
enum Failure {
    /// The connection failed; nothing was sent.
    NotSent(String),
    /// The request may have been sent, but no complete response arrived.
    NoResponse(String),
}

struct Response {
    status: http::StatusCode,
    body: Bytes,
}

impl HttpLog {
    /// A client of the log at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    async fn send(
        &self,
        request: http::Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        let connected =
            tokio::time::timeout(REQUEST_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(Failure::NotSent(err.to_string())),
            Err(_) => return Err(Failure::NotSent("connect timed out".to_owned())),
        };
        match tokio::time::timeout(timeout, exchange(stream, request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) => Err(Failure::NoResponse(err)),
            Err(_) => Err(Failure::NoResponse("no response before the time-out".to_owned())),
        }
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

async fn exchange(
    stream: TcpStream,
    request: http::Request<Full<Bytes>>,
) -> Result<Response, String> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    let connection_task = tokio::spawn(connection);
    let result = async {
        let response = sender.send_request(request).await.map_err(|err| err.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|err| err.to_string())?;
        Ok(Response { status, body: body.to_bytes() })
    }
    .await;
    connection_task.abort();
    result
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, text: String) -> Result<Offset, AppendError> {
        let request = http::Request::post(self.uri(&format!("/streams/{stream}")))
            .header(http::header::HOST, self.address.to_string())
            .body(Full::from(text))
            .map_err(|err| AppendError::Refused(err.to_string()))?;
        let response = match self.send(request, REQUEST_TIMEOUT).await {
            Ok(response) => response,
            Err(Failure::NotSent(reason)) => return Err(AppendError::Refused(reason)),
            Err(Failure::NoResponse(reason)) => return Err(AppendError::Unknown(reason)),
        };
        match response.status {
            http::StatusCode::OK => {}
            http::StatusCode::TOO_MANY_REQUESTS => {
                return Err(AppendError::Refused("too many appends".to_owned()));
            }
            // A gateway in front of the log may report an error after the write.
            other => return Err(AppendError::Unknown(other.to_string())),
        }
        let appended: AppendResponse = serde_json::from_slice(&response.body)
            .map_err(|err| AppendError::Unknown(err.to_string()))?;
        Ok(Offset(appended.offset))
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let unavailable = |reason: String| ReadError::Unavailable(reason);
        let path = format!("/streams/{stream}?from={from}&wait={}", wait.as_millis());
        let request = http::Request::get(self.uri(&path))
            .header(http::header::HOST, self.address.to_string())
            .body(Full::default())
            .map_err(|err| unavailable(err.to_string()))?;
        let response = match self.send(request, wait + REQUEST_TIMEOUT).await {
            Ok(response) if response.status == http::StatusCode::OK => response,
            Ok(response) => return Err(unavailable(response.status.to_string())),
            Err(Failure::NotSent(reason) | Failure::NoResponse(reason)) => {
                return Err(unavailable(reason));
            }
        };
        let batch: BatchJson =
            serde_json::from_slice(&response.body).map_err(|err| unavailable(err.to_string()))?;
        let entries = batch
            .records
            .into_iter()
            .map(|record| Entry { offset: Offset(record.offset), text: record.text });
        Ok(Batch {
            first: Offset(batch.first),
            next: Offset(batch.next),
            entries: entries.collect(),
        })
    }
}
