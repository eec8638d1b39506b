//! Startup and shutdown of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::events::{Event, Sink};
use super::serve::{self, Clients};
use super::settings::NodeSettings;
use super::shared::{Shared, lock};
use super::{control, epoch, exchange, follow, relay, saved, store};
use crate::decide::members::Record;
use crate::platform::Platform;

/// Time after SIGTERM in which callers still arrive: the platform needs two failed readiness checks, a second apart.
const READINESS_DELAY: Duration = Duration::from_millis(2_600);
/// Time before the listeners close in which other nodes learn not to send here. Until it begins, the upstream is used
/// as usual, as it outlives its node.
const HANDOVER_TIME: Duration = Duration::from_millis(700);
/// Part of the shutdown time reserved for answering what is still open, and for closing connections.
const CLOSE_RESERVE: Duration = Duration::from_millis(500);
/// Time in which the last answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(250);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Why a node can't start.
    #[derive(Debug)]
    pub enum Error {
        /// Listening on an address failed.
        Listen(address: SocketAddr, err: std::io::Error) {
            display("`{}`: {}", address, err)
            source(err)
        }
        /// A metric can't be registered.
        Metrics(err: prometheus::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}

/// A running node.
pub struct Node<P: Platform> {
    shared: Arc<Shared<P>>,
    /// For callers and the upstream.
    callers: Listener,
    /// For other nodes.
    peers: Listener,
    /// Ends the control endpoints.
    stop_control: watch::Sender<bool>,
    background: Vec<JoinHandle<()>>,
}

/// A listener and its connections.
struct Listener {
    stop: watch::Sender<bool>,
    task: Option<JoinHandle<()>>,
}

impl Listener {
    fn start<P: Platform>(
        shared: &Arc<Shared<P>>,
        clients: Clients,
        address: SocketAddr,
    ) -> Result<Self, Error> {
        let stop = watch::Sender::new(false);
        let bound = serve::bind_for(clients, address);
        let listener = bound.map_err(|err| Error::Listen(address, err))?;
        let listen = serve::listen(shared.clone(), clients, listener, stop.subscribe());
        Ok(Self { stop, task: Some(tokio::spawn(listen)) })
    }

    /// Stops accepting connections, and waits until the requests on the present ones are answered.
    async fn close(&mut self) {
        self.stop.send_replace(true);
        if let Some(task) = &mut self.task {
            // A task that panicked has no requests left.
            let _ = task.await;
            self.task = None;
        }
    }
}

impl<P: Platform> Node<P> {
    /// Starts a node, which is listening when this returns.
    pub async fn start(platform: P, settings: NodeSettings, sink: Sink) -> Result<Self, Error> {
        let listen = settings.listen.clone();
        let shared = Arc::new(Shared::new(platform, settings, sink)?);
        let stop_control = watch::Sender::new(false);
        let callers = Listener::start(&shared, Clients::Callers, listen.callers)?;
        let peers = Listener::start(&shared, Clients::Nodes, listen.peers)?;
        let mut background = vec![
            tokio::spawn(follow::run(shared.clone())),
            tokio::spawn(follow::watch(shared.clone())),
            tokio::spawn(store::join(shared.clone())),
            tokio::spawn(exchange::run(shared.clone())),
            tokio::spawn(relay::run(shared.clone())),
        ];
        let state = shared.clone();
        let ready = move |_| control::ready(state.clone());
        background.push(tokio::spawn(serve::listen_control(
            bind(listen.readiness)?,
            stop_control.subscribe(),
            ready,
        )));
        let state = shared.clone();
        let announcement = move |request| control::announcement(state.clone(), request);
        let announcements = bind(listen.announcements)?;
        background.push(tokio::spawn(serve::listen_control(
            announcements,
            stop_control.subscribe(),
            announcement,
        )));
        if let Some(address) = listen.metrics {
            let state = shared.clone();
            let metrics = move |_| control::metrics(state.clone());
            background.push(tokio::spawn(serve::listen_control(
                bind(address)?,
                stop_control.subscribe(),
                metrics,
            )));
        }
        let incarnation = lock(&shared.members).own().map_or(0, |own| own.record.incarnation);
        let NodeSettings { zone, service, .. } = &shared.settings;
        shared.log(&Event::Started { zone, service, incarnation });
        Ok(Self { shared, callers, peers, stop_control, background })
    }

    /// Logs that the settings were read again; changes take effect at a restart.
    pub fn log_reload(&self, settings: &NodeSettings) {
        self.shared.log(&Event::Reloaded { changed: *settings != self.shared.settings });
    }

    /// Shuts down: fails readiness checks, serves callers that still arrive, finishes requests in flight or ends them
    /// with an answer, and closes. Returns the number of requests that were cut off.
    pub async fn stop(mut self) -> usize {
        let shared = self.shared.clone();
        let load = shared.limiter.load(shared.now());
        shared.log(&Event::Stopping { running: load.running, waiting: load.waiting });
        shared.stopping.send_replace(true);
        shared.quotas.stop(shared.moment());
        if shared.quotas.is_enabled() {
            lock(&shared.members).update_own(|own| own.stopping = true);
            shared.exchange_now.notify_one();
        }
        let limit = shared.settings.stop_timeout.saturating_sub(CLOSE_RESERVE);
        let now = shared.now();
        let last_answers = now + limit;
        shared.shutdown.begin(now, shared.settings.stop_timeout, last_answers);
        tokio::time::sleep(READINESS_DELAY.min(limit).saturating_sub(HANDOVER_TIME)).await;
        let leaving_since = shared.now();
        self.hand_over().await;
        let unfinished = self.drain(leaving_since, last_answers).await;
        self.stop_control.send_replace(true);
        let listeners = [self.callers.task, self.peers.task].into_iter().flatten();
        for task in self.background.drain(..).chain(listeners) {
            task.abort();
            // Waits until the listener is closed; the only error is that the task was aborted.
            let _ = task.await;
        }
        shared.log(&Event::Stopped { unfinished });
        shared.sink.flush(POLL_INTERVAL);
        unfinished
    }

    /// Tells other nodes to send no more requests, and saves the upstream's state for the next incarnation.
    async fn hand_over(&self) {
        let shared = &self.shared;
        shared.leaving.store(true, Ordering::Relaxed);
        shared.publish_upstream();
        let record = {
            let rate_limit = shared.limiter.announced_limit();
            let epoch = *shared.store_epoch.borrow();
            let saved = lock(&shared.upstream).saved_state(shared.moment(), rate_limit, epoch);
            lock(&shared.members)
                .own()
                .map(|own| Record { saved_upstream: saved, ..own.record.clone() })
        };
        let save = async {
            let record = record.filter(|record| record.saved_upstream.is_some());
            let Some(record) = record.filter(|_| shared.kept.is_restored()) else { return };
            let Ok(bytes) = saved::encode(shared, &record) else { return };
            let asked = shared.now();
            let answer = shared.platform.put_record(&shared.settings.node, bytes).await;
            epoch::observe_answer(shared, &answer.epoch);
            if let Err(err) = answer.result {
                // Without it, the next incarnation waits for a heartbeat of the upstream.
                shared.store_lost(&err, asked);
            }
        };
        let handover = tokio::time::sleep(HANDOVER_TIME);
        let _ = tokio::join!(handover, tokio::time::timeout(HANDOVER_TIME, save));
    }

    /// Waits until all requests are answered, and ends them at `last_answers`. Returns the number of requests that were
    /// cut off without an answer.
    async fn drain(&mut self, leaving_since: Instant, last_answers: Instant) -> usize {
        let shared = self.shared.clone();
        let close_callers = async {
            // Requests that the upstream was sent before others were told not to may make calls until they are answered.
            // Later ones are only sent where all nodes of a service stop, and are not worth a longer stop.
            while lock(&shared.parents).has_older_than(leaving_since) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            self.callers.close().await;
        };
        let finish = async { tokio::join!(self.peers.close(), close_callers) };
        if tokio::time::timeout_at(last_answers.into(), finish).await.is_ok() {
            return 0;
        }
        shared.shutdown.answer_open_requests();
        let close = async { tokio::join!(self.peers.close(), self.callers.close()) };
        // The time-out means that a connection is still open; what it is waiting for is counted below.
        let _ = tokio::time::timeout(ANSWER_TIME, close).await;
        let unfinished = shared.open_requests.load(Ordering::Relaxed) as usize;
        shared.shutdown.close_connections();
        unfinished
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    serve::bind(address).map_err(|err| Error::Listen(address, err))
}
