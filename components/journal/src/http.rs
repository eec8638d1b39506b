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

/// Time for one request, over the time that a read waits.
const PATIENCE: Duration = Duration::from_secs(5);
const LARGEST_ANSWER: usize = 16 << 20;

/// Client of the log's HTTP service.
#[derive(Debug, Clone)]
pub struct HttpLog {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct WireRecord {
    offset: u64,
    text: String,
}

#[derive(Deserialize)]
struct WireBatch {
    first: u64,
    next: u64,
    records: Vec<WireRecord>,
}

/// How far a request got before it failed.
enum Failure {
    /// Nothing was sent.
    Unsent(String),
    /// It was sent and no whole answer came.
    Lost(String),
}

struct Answer {
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
        patience: Duration,
    ) -> Result<Answer, Failure> {
        let connected = tokio::time::timeout(PATIENCE, TcpStream::connect(self.address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(Failure::Unsent(err.to_string())),
            Err(_) => return Err(Failure::Unsent("connecting took too long".to_owned())),
        };
        match tokio::time::timeout(patience, exchange(stream, request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(err)) => Err(Failure::Lost(err)),
            Err(_) => Err(Failure::Lost("no answer in time".to_owned())),
        }
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

async fn exchange(
    stream: TcpStream,
    request: http::Request<Full<Bytes>>,
) -> Result<Answer, String> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    let driver = tokio::spawn(connection);
    let answer = async {
        let response = sender.send_request(request).await.map_err(|err| err.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), LARGEST_ANSWER)
            .collect()
            .await
            .map_err(|err| err.to_string())?;
        Ok(Answer { status, body: body.to_bytes() })
    }
    .await;
    driver.abort();
    answer
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, text: String) -> Result<Offset, AppendError> {
        let request = http::Request::post(self.uri(&format!("/streams/{stream}")))
            .header(http::header::HOST, self.address.to_string())
            .body(Full::from(text))
            .map_err(|err| AppendError::Refused(err.to_string()))?;
        let answer = match self.send(request, PATIENCE).await {
            Ok(answer) => answer,
            Err(Failure::Unsent(why)) => return Err(AppendError::Refused(why)),
            Err(Failure::Lost(why)) => return Err(AppendError::Unknown(why)),
        };
        match answer.status {
            http::StatusCode::OK => {}
            http::StatusCode::TOO_MANY_REQUESTS => {
                return Err(AppendError::Refused("too many appends".to_owned()));
            }
            // An error behind the log's front end may come after the write.
            other => return Err(AppendError::Unknown(other.to_string())),
        }
        let appended: Appended = serde_json::from_slice(&answer.body)
            .map_err(|err| AppendError::Unknown(err.to_string()))?;
        Ok(Offset(appended.offset))
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let unavailable = |why: String| ReadError::Unavailable(why);
        let path = format!("/streams/{stream}?from={from}&wait={}", wait.as_millis());
        let request = http::Request::get(self.uri(&path))
            .header(http::header::HOST, self.address.to_string())
            .body(Full::default())
            .map_err(|err| unavailable(err.to_string()))?;
        let answer = match self.send(request, wait + PATIENCE).await {
            Ok(answer) if answer.status == http::StatusCode::OK => answer,
            Ok(answer) => return Err(unavailable(answer.status.to_string())),
            Err(Failure::Unsent(why) | Failure::Lost(why)) => return Err(unavailable(why)),
        };
        let batch: WireBatch =
            serde_json::from_slice(&answer.body).map_err(|err| unavailable(err.to_string()))?;
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
