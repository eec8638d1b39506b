//! Starting and stopping a node.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::events::{Event, Sink};
use super::place::Place;
use super::serve::{self, Side};
use super::shared::{Shared, lock};
use super::{control, exchange, follow};
use crate::decide::members::Record;
use crate::platform::Platform;

/// Time after SIGTERM in which callers still come: the platform notices after two questions, a second apart.
const NOTICED: Duration = Duration::from_millis(2_600);
/// Time before the end in which other nodes hear that nothing more is to be sent here. Until then the upstream, which
/// goes on without its node, is used as ever.
const HANDOVER: Duration = Duration::from_millis(700);
/// Part of the time to stop that is left for ending connections.
const RESERVE: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(20);

quick_error! {
    /// Why a node can't start.
    #[derive(Debug)]
    pub enum Error {
        /// An address can't be listened on.
        Listen(address: std::net::SocketAddr, err: std::io::Error) {
            display("`{}`: {}", address, err)
            source(err)
        }
        /// Metrics clash.
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
    outer: watch::Sender<bool>,
    last: watch::Sender<bool>,
    listeners: Vec<JoinHandle<()>>,
    helpers: Vec<JoinHandle<()>>,
}

impl<P: Platform> Node<P> {
    /// Starts a node: it listens when this returns.
    pub async fn start(platform: P, place: Place, sink: Sink) -> Result<Self, Error> {
        let listen = place.listen.clone();
        let shared = Arc::new(Shared::new(platform, place, sink)?);
        let (outer, last) = (watch::Sender::new(false), watch::Sender::new(false));
        let calls = bind(listen.calls)?;
        let nodes = bind(listen.nodes)?;
        let listeners = vec![
            tokio::spawn(serve::listen(shared.clone(), Side::Callers, calls, outer.subscribe())),
            tokio::spawn(serve::listen(shared.clone(), Side::Nodes, nodes, outer.subscribe())),
        ];
        let mut helpers = vec![
            tokio::spawn(follow::configuration(shared.clone())),
            tokio::spawn(follow::members(shared.clone())),
            tokio::spawn(exchange::keep(shared.clone())),
        ];
        let state = shared.clone();
        let ready = move |_| control::ready(state.clone());
        helpers.push(tokio::spawn(serve::small(bind(listen.ready)?, last.subscribe(), ready)));
        let state = shared.clone();
        let announced = move |request| control::announced(state.clone(), request);
        let upstream = bind(listen.upstream)?;
        helpers.push(tokio::spawn(serve::small(upstream, last.subscribe(), announced)));
        if let Some(address) = listen.metrics {
            let state = shared.clone();
            let metrics = move |_| control::metrics(state.clone());
            helpers.push(tokio::spawn(serve::small(bind(address)?, last.subscribe(), metrics)));
        }
        let life = lock(&shared.table).own().map_or(0, |own| own.record.life);
        let Place { zone, service, .. } = &shared.place;
        shared.tell(&Event::Started { zone, service, life });
        Ok(Self { shared, outer, last, listeners, helpers })
    }

    /// Settings were read again.
    pub fn reloaded(&self, place: &Place) {
        self.shared.tell(&Event::Reloaded { changed: *place != self.shared.place });
    }

    /// Stops: says so, serves who still comes, finishes what is in flight, and leaves. The number of requests that
    /// were cut off is returned.
    pub async fn stop(mut self) -> usize {
        let shared = self.shared.clone();
        let load = shared.gate.load();
        shared.tell(&Event::Stopping { running: load.running, waiting: load.waiting });
        shared.stopping.send_replace(true);
        let bound = shared.place.grace.saturating_sub(RESERVE);
        tokio::time::sleep(NOTICED.min(bound).saturating_sub(HANDOVER)).await;
        self.part().await;
        self.outer.send_replace(true);
        let finished = tokio::time::timeout(bound.saturating_sub(NOTICED), self.finish()).await;
        let left = if finished.is_ok() { 0 } else { shared.open.load(Ordering::Relaxed) as usize };
        self.last.send_replace(true);
        for task in self.helpers.drain(..).chain(self.listeners.drain(..)) {
            task.abort();
            // Its listener is closed when it has ended; that it was aborted is no news.
            let _ = task.await;
        }
        shared.tell(&Event::Stopped { left });
        shared.sink.flush(POLL);
        left
    }

    /// Tells other nodes to send nothing more, and the next life of this one what it may go by.
    async fn part(&self) {
        let shared = &self.shared;
        shared.parting.store(true, Ordering::Relaxed);
        shared.publish();
        let record = {
            let parting = lock(&shared.upstream).parting(shared.stamp());
            lock(&shared.table).own().map(|own| Record { parting, ..own.record.clone() })
        };
        let keep = async {
            let Some(record) = record.filter(|record| record.parting.is_some()) else { return };
            let Ok(bytes) = serde_json::to_vec(&record) else { return };
            if let Err(err) = shared.platform.keep(&shared.place.node, bytes).await {
                // The next life waits for the upstream's next beat instead.
                shared.tell(&Event::StoreLost { why: &err.to_string() });
            }
        };
        let handover = tokio::time::sleep(HANDOVER);
        let _ = tokio::join!(handover, tokio::time::timeout(HANDOVER, keep));
    }

    async fn finish(&mut self) {
        for listener in self.listeners.drain(..) {
            // A listener that has panicked has no requests left.
            let _ = listener.await;
        }
        while self.shared.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(POLL).await;
        }
    }
}

fn bind(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    serve::bind(address).map_err(|err| Error::Listen(address, err))
}
