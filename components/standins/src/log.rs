//! The platform's append-only log: streams of text records with offsets, kept for a limited time.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

const LONGEST_WAIT: Duration = Duration::from_secs(30);
const LARGEST_READ: usize = 1_000;

/// Faults and bounds of the log; each may be changed while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request is refused.
    pub outage: bool,
    /// Milliseconds that every request waits.
    pub delay: u64,
    /// Appends whose answer is lost after they took effect.
    pub lose: u32,
    /// Appends a second that are taken.
    pub rate: u32,
    /// Milliseconds that a record is kept.
    pub retention: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { outage: false, delay: 0, lose: 0, rate: 400, retention: 3_600_000 }
    }
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<(Instant, Arc<str>)>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, retention: Duration) {
        let now = Instant::now();
        while self.records.front().is_some_and(|(at, _)| now - *at > retention) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    faults: Faults,
    /// Appends taken in the current second.
    recent: VecDeque<Instant>,
    appends: u64,
    reads: u64,
}

/// The log's state, shared by its handlers.
#[derive(Clone)]
pub struct Log {
    state: Arc<Mutex<State>>,
    grown: watch::Sender<u64>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Serialize)]
struct Record {
    offset: u64,
    text: Arc<str>,
}

#[derive(Serialize)]
struct Batch {
    first: u64,
    next: u64,
    records: Vec<Record>,
}

#[derive(Deserialize)]
struct ReadFrom {
    from: u64,
    #[serde(default)]
    wait: u64,
}

#[derive(Serialize)]
struct Counts {
    appends: u64,
    reads: u64,
}

impl Log {
    /// An empty log.
    pub fn new(faults: Faults) -> Self {
        let state = State { faults, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), grown: watch::Sender::new(0) }
    }

    /// Its HTTP service.
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

    async fn admit(&self) -> Result<(), StatusCode> {
        let (outage, delay) = {
            let state = self.lock();
            (state.faults.outage, state.faults.delay)
        };
        tokio::time::sleep(Duration::from_millis(delay)).await;
        if outage { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
    }

    /// Appends a record; the answer may be lost after that.
    fn append(&self, name: &str, text: String) -> Result<u64, StatusCode> {
        let mut state = self.lock();
        let now = Instant::now();
        while state.recent.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            state.recent.pop_front();
        }
        if state.recent.len() >= state.faults.rate as usize {
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        state.recent.push_back(now);
        state.appends += 1;
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back((now, text.into()));
        self.grown.send_modify(|count| *count += 1);
        if state.faults.lose > 0 {
            state.faults.lose -= 1;
            return Err(StatusCode::GATEWAY_TIMEOUT);
        }
        Ok(offset)
    }

    fn batch(&self, name: &str, from: u64) -> Batch {
        let mut state = self.lock();
        let retention = Duration::from_millis(state.faults.retention);
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.expire(retention);
        let skipped = from.saturating_sub(stream.first);
        let records = stream.records.iter().enumerate().skip(skipped as usize).take(LARGEST_READ);
        let records = records
            .map(|(index, (_, text))| Record {
                offset: stream.first + index as u64,
                text: text.clone(),
            })
            .collect();
        Batch { first: stream.first, next: stream.next(), records }
    }
}

#[handler]
async fn append(
    log: Data<&Log>,
    Path(name): Path<String>,
    text: String,
) -> poem::Result<Json<Appended>> {
    log.admit().await.map_err(|status| poem::Error::from_string("refused", status))?;
    let appended = log.append(&name, text);
    appended
        .map(|offset| Json(Appended { offset }))
        .map_err(|status| poem::Error::from_string("refused", status))
}

#[handler]
async fn read(
    log: Data<&Log>,
    Path(name): Path<String>,
    Query(query): Query<ReadFrom>,
) -> poem::Result<Json<Batch>> {
    log.admit().await.map_err(|status| poem::Error::from_string("refused", status))?;
    log.lock().reads += 1;
    let deadline = Instant::now() + Duration::from_millis(query.wait).min(LONGEST_WAIT);
    let mut grown = log.grown.subscribe();
    loop {
        grown.borrow_and_update();
        let batch = log.batch(&name, query.from);
        if !batch.records.is_empty() || batch.first > query.from {
            return Ok(Json(batch));
        }
        if tokio::time::timeout_at(deadline, grown.changed()).await.is_err() {
            return Ok(Json(batch));
        }
    }
}

#[handler]
fn control(log: Data<&Log>, Json(faults): Json<Faults>) -> Json<Faults> {
    log.lock().faults = faults.clone();
    Json(faults)
}

#[handler]
fn counts(log: Data<&Log>) -> Json<Counts> {
    let state = log.lock();
    Json(Counts { appends: state.appends, reads: state.reads })
}
