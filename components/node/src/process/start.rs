//! Starting and stopping a node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use journal::Log;
use quick_error::quick_error;
use settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use units::Clock;

use super::mailbox;
use super::serve::{self, Side};
use super::shared::{LINGER, Shared};
use super::{admin, announce};
use crate::control;
use crate::version::Active;

const POLL: Duration = Duration::from_millis(10);

quick_error! {
    /// Why a node can't start.
    #[derive(Debug)]
    pub enum Error {
        /// An address can't be listened on.
        Listen(field: &'static str, address: SocketAddr, err: std::io::Error) {
            display("field `listen.{}`: `{}`: {}", field, address, err)
            source(err)
        }
        /// The rules of the settings can't be read.
        ReadRules(path: PathBuf, err: std::io::Error) {
            display("{}: can't be read: {}", path.display(), err)
            source(err)
        }
        /// The rules of the settings are wrong.
        Rules(path: PathBuf, err: rules::Errors) {
            display("{}:{}", path.display(), err)
            source(err)
        }
        /// Metrics clash.
        Metrics(err: prometheus::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The control thread can't be started.
        Control(err: std::io::Error) {
            display("the control thread can't be started: {}", err)
            source(err)
        }
    }
}

units::record! {
    /// How a node stopped.
    pub struct Stopped {
        /// Requests that were cut off because the bound on stopping was passed.
        pub left: usize,
    }
}

/// A running node.
pub struct Node<C: Clock> {
    shared: Arc<Shared<C>>,
    /// Stops the listeners for callers and other nodes.
    outer: watch::Sender<bool>,
    /// Stops the listener for the upstream.
    inner: watch::Sender<bool>,
    /// Ends the control traffic.
    leave: watch::Sender<bool>,
    listeners: Vec<JoinHandle<()>>,
    upstream: JoinHandle<()>,
    helpers: Vec<JoinHandle<()>>,
    control: Option<thread::JoinHandle<()>>,
}

impl<C: Clock> Node<C> {
    /// Starts a node: it listens when this returns.
    pub async fn start(settings: Settings, clock: C, log: impl Log) -> Result<Self, Error> {
        let listen = settings.listen.clone();
        let (outbox, inbox) = mailbox::open();
        let shared = Arc::new(Shared::new(settings, clock, outbox)?);
        if let Some(active) = bootstrap(&shared)? {
            shared.activate(active);
        }
        let callers = bind("callers", listen.callers).await?;
        let upstream = bind("upstream", listen.upstream).await?;
        let peers = bind("peers", listen.peers).await?;
        let operators = bind("admin", listen.admin).await?;
        let control = bind("control", listen.control).await?.into_std().map_err(Error::Control)?;
        let (outer, inner, leave) =
            (watch::Sender::new(false), watch::Sender::new(false), watch::Sender::new(false));
        let control = control::spawn(shared.clone(), log, control, inbox, leave.subscribe())
            .map_err(Error::Control)?;
        let serve = |side: Side, listener: TcpListener, stop: &watch::Sender<bool>| {
            tokio::spawn(serve::listen(shared.clone(), side, listener, stop.subscribe()))
        };
        let listeners =
            vec![serve(Side::Callers, callers, &outer), serve(Side::Peers, peers, &outer)];
        let upstream = serve(Side::Upstream, upstream, &inner);
        let operators = admin::serve(shared.clone(), operators);
        let helpers = vec![
            tokio::spawn(announce::keep_ticking(shared.clone())),
            tokio::spawn(announce::keep_watching(shared.clone())),
            tokio::spawn(async {
                if let Err(err) = operators.await {
                    log::error!(err:% = err; "the administration API ended");
                }
            }),
        ];
        Ok(Self {
            shared,
            outer,
            inner,
            leave,
            listeners,
            upstream,
            helpers,
            control: Some(control),
        })
    }

    /// Stops: says so, takes no more work, finishes what is in flight, and leaves.
    pub async fn stop(mut self) -> Stopped {
        let bound = self.shared.settings.bounds.stop;
        self.shared.begin_stop();
        tokio::time::sleep(LINGER).await;
        self.outer.send_replace(true);
        let finished = tokio::time::timeout(bound, self.finish()).await.is_ok();
        let left = if finished { 0 } else { self.shared.calls.len() };
        self.leave.send_replace(true);
        if let Some(control) = self.control.take() {
            let _ = tokio::task::spawn_blocking(move || control.join()).await;
        }
        for task in self.helpers.iter().chain(&self.listeners).chain([&self.upstream]) {
            task.abort();
        }
        Stopped { left }
    }

    async fn finish(&mut self) {
        for listener in &mut self.listeners {
            let _ = listener.await;
        }
        while !self.shared.gate.is_idle() {
            tokio::time::sleep(POLL).await;
        }
        // The upstream may call further until its last request is done.
        self.inner.send_replace(true);
        let _ = (&mut self.upstream).await;
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|err| Error::Listen(field, address, err))
}

/// Reads the rules that the settings name, for the time until the log or a peer gives others.
fn bootstrap<C: Clock>(shared: &Shared<C>) -> Result<Option<Active>, Error> {
    let Some(path) = &shared.settings.rules else { return Ok(None) };
    let text = std::fs::read_to_string(path).map_err(|err| Error::ReadRules(path.clone(), err))?;
    let active = Active::new(units::Version(0), None, text.into())
        .map_err(|err| Error::Rules(path.clone(), err))?;
    Ok(Some(active))
}
