//! Stand-in of the platform's append-only log: streams of text records with offsets and a retention time.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

const MAX_READ_WAIT: Duration = Duration::from_secs(30);
const MAX_READ_RECORDS: usize = 1_000;

/// Faults and limits of the log, which can be changed while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuse every request.
    pub outage: bool,
    /// Delay of every request in milliseconds.
    pub delay: u64,
    /// Number of appends to answer with an error although they took effect.
    pub lose: u32,
    /// Limit of appends per second.
    pub rate: u32,
    /// Retention time of records in milliseconds.
    pub retention: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { outage: false, delay: 0, lose: 0, rate: 400, retention: 3_600_000 }
    }
}

#[derive(Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<(Instant, Arc<str>)>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn expire(&mut self, retention: Duration) {
        let now = Instant::now();
        while self.records.front().is_some_and(|(at, _)| now - *at > retention) {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    faults: Faults,
    /// Times of the appends within the last second.
    recent_appends: VecDeque<Instant>,
    appends: u64,
    reads: u64,
}

/// An append-only log; clones share its state.
#[derive(Clone)]
pub struct Log {
    state: Arc<Mutex<State>>,
    /// Number of appends, to wake waiting reads.
    append_count: watch::Sender<u64>,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Serialize)]
struct Record {
    offset: u64,
    text: Arc<str>,
}

#[derive(Serialize)]
struct ReadResponse {
    first: u64,
    next: u64,
    records: Vec<Record>,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait: u64,
}

#[derive(Serialize)]
struct RequestCounts {
    appends: u64,
    reads: u64,
}

impl Log {
    /// Creates an empty log.
    pub fn new(faults: Faults) -> Self {
        let state = State { faults, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), append_count: watch::Sender::new(0) }
    }

    /// Returns the HTTP service.
    pub fn service(&self) -> impl poem::Endpoint + 'static {
        Route::new()
            .at("/streams/:name", post(append).get(read))
            .at("/control", post(control))
            .at("/counts", get(counts))
            .data(self.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the delay and the outage to a request.
    async fn apply_faults(&self) -> Result<(), StatusCode> {
        let (outage, delay) = {
            let state = self.lock();
            (state.faults.outage, state.faults.delay)
        };
        tokio::time::sleep(Duration::from_millis(delay)).await;
        if outage { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
    }

    /// Appends a record; while `lose` is above zero, returns an error although the record was appended.
    fn append(&self, name: &str, text: String) -> Result<u64, StatusCode> {
        let mut state = self.lock();
        let now = Instant::now();
        while state.recent_appends.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            state.recent_appends.pop_front();
        }
        if state.recent_appends.len() >= state.faults.rate as usize {
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        state.recent_appends.push_back(now);
        state.appends += 1;
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.records.push_back((now, text.into()));
        self.append_count.send_modify(|count| *count += 1);
        if state.faults.lose > 0 {
            state.faults.lose -= 1;
            return Err(StatusCode::GATEWAY_TIMEOUT);
        }
        Ok(offset)
    }

    fn read(&self, name: &str, from: u64) -> ReadResponse {
        let mut state = self.lock();
        let retention = Duration::from_millis(state.faults.retention);
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.expire(retention);
        let skipped = from.saturating_sub(stream.first_offset);
        let records =
            stream.records.iter().enumerate().skip(skipped as usize).take(MAX_READ_RECORDS);
        let records = records
            .map(|(index, (_, text))| Record {
                offset: stream.first_offset + index as u64,
                text: text.clone(),
            })
            .collect();
        ReadResponse { first: stream.first_offset, next: stream.next_offset(), records }
    }
}

#[handler]
async fn append(
    log: Data<&Log>,
    Path(name): Path<String>,
    text: String,
) -> poem::Result<Json<AppendResponse>> {
    log.apply_faults().await.map_err(|status| poem::Error::from_string("refused", status))?;
    let result = log.append(&name, text);
    result
        .map(|offset| Json(AppendResponse { offset }))
        .map_err(|status| poem::Error::from_string("refused", status))
}

#[handler]
async fn read(
    log: Data<&Log>,
    Path(name): Path<String>,
    Query(query): Query<ReadQuery>,
) -> poem::Result<Json<ReadResponse>> {
    log.apply_faults().await.map_err(|status| poem::Error::from_string("refused", status))?;
    log.lock().reads += 1;
    let deadline = Instant::now() + Duration::from_millis(query.wait).min(MAX_READ_WAIT);
    let mut appended = log.append_count.subscribe();
    loop {
        appended.borrow_and_update();
        let response = log.read(&name, query.from);
        if !response.records.is_empty() || response.first > query.from {
            return Ok(Json(response));
        }
        if tokio::time::timeout_at(deadline, appended.changed()).await.is_err() {
            return Ok(Json(response));
        }
    }
}

#[handler]
fn control(log: Data<&Log>, Json(faults): Json<Faults>) -> Json<Faults> {
    log.lock().faults = faults.clone();
    Json(faults)
}

#[handler]
fn counts(log: Data<&Log>) -> Json<RequestCounts> {
    let state = log.lock();
    Json(RequestCounts { appends: state.appends, reads: state.reads })
}
