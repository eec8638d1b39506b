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

use super::control_channel;
use super::serve::{self, Clients};
use super::shared::{DRAIN_DELAY, Shared};
use super::{admin, upstream_watch};
use crate::control;
use crate::version::Active;

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which requests that are still open at the end of a stop are answered.
const ANSWER_TIME: Duration = Duration::from_millis(250);

quick_error! {
    /// Why a node can't start.
    #[derive(Debug)]
    pub enum Error {
        /// Listening on an address failed.
        Listen(field: &'static str, address: SocketAddr, err: std::io::Error) {
            display("field `listen.{}`: `{}`: {}", field, address, err)
            source(err)
        }
        /// The rules file named in the settings can't be read.
        ReadRules(path: PathBuf, err: std::io::Error) {
            display("{}: can't be read: {}", path.display(), err)
            source(err)
        }
        /// The rules file named in the settings has errors.
        Rules(path: PathBuf, err: rules::Errors) {
            display("{}:{}", path.display(), err)
            source(err)
        }
        /// A metric can't be registered.
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
    /// Result of stopping a node.
    pub struct Stopped {
        /// Requests that were still running when the time limit for stopping expired.
        pub unfinished: usize,
    }
}

/// A running node.
pub struct Node<C: Clock> {
    shared: Arc<Shared<C>>,
    /// Stops the listeners for callers and other nodes.
    stop_outer: watch::Sender<bool>,
    /// Stops the listener for the upstream.
    stop_upstream: watch::Sender<bool>,
    /// Stops the control thread.
    stop_control: watch::Sender<bool>,
    outer_listeners: Vec<JoinHandle<()>>,
    upstream_listener: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
    control: Option<thread::JoinHandle<()>>,
}

impl<C: Clock> Node<C> {
    /// Starts a node; it is listening when this returns.
    pub async fn start(settings: Settings, clock: C, log: impl Log) -> Result<Self, Error> {
        let listen = settings.listen.clone();
        let (sender, receiver) = control_channel::open();
        let shared = Arc::new(Shared::new(settings, clock, sender)?);
        if let Some(active) = read_rules(&shared)? {
            shared.activate(active);
        }
        let callers = serve::bind_callers(listen.callers)
            .map_err(|err| Error::Listen("callers", listen.callers, err))?;
        let upstream = bind("upstream", listen.upstream).await?;
        let peers = bind("peers", listen.peers).await?;
        let admin_listener = bind("admin", listen.admin).await?;
        let control = bind("control", listen.control).await?.into_std().map_err(Error::Control)?;
        let (stop_outer, stop_upstream, stop_control) =
            (watch::Sender::new(false), watch::Sender::new(false), watch::Sender::new(false));
        let control =
            control::spawn(shared.clone(), log, control, receiver, stop_control.subscribe())
                .map_err(Error::Control)?;
        let serve = |clients: Clients, listener: TcpListener, stop: &watch::Sender<bool>| {
            tokio::spawn(serve::listen(shared.clone(), clients, listener, stop.subscribe()))
        };
        let outer_listeners = vec![
            serve(Clients::Callers, callers, &stop_outer),
            serve(Clients::Peers, peers, &stop_outer),
        ];
        let upstream_listener = serve(Clients::Upstream, upstream, &stop_upstream);
        let admin_server = admin::serve(shared.clone(), admin_listener);
        let background = vec![
            tokio::spawn(upstream_watch::run_queue_timeouts(shared.clone())),
            tokio::spawn(upstream_watch::run(shared.clone())),
            tokio::spawn(async {
                if let Err(err) = admin_server.await {
                    log::error!(err:% = err; "the administration API ended");
                }
            }),
        ];
        Ok(Self {
            shared,
            stop_outer,
            stop_upstream,
            stop_control,
            outer_listeners,
            upstream_listener,
            background,
            control: Some(control),
        })
    }

    /// Stops the node: announces it, accepts no more work, finishes requests in flight, and leaves the membership.
    pub async fn stop(mut self) -> Stopped {
        let timeout = self.shared.settings.bounds.stop;
        self.shared.begin_stop();
        tokio::time::sleep(DRAIN_DELAY).await;
        self.stop_outer.send_replace(true);
        let drained = tokio::time::timeout(timeout, self.drain()).await.is_ok();
        let unfinished = if drained { 0 } else { self.shared.active_requests.len() };
        if !drained {
            self.shared.ended.send_replace(true);
            tokio::time::sleep(ANSWER_TIME).await;
        }
        self.stop_control.send_replace(true);
        if let Some(control) = self.control.take() {
            let _ = tokio::task::spawn_blocking(move || control.join()).await;
        }
        for task in
            self.background.iter().chain(&self.outer_listeners).chain([&self.upstream_listener])
        {
            task.abort();
        }
        Stopped { unfinished }
    }

    async fn drain(&mut self) {
        for listener in &mut self.outer_listeners {
            let _ = listener.await;
        }
        while !self.shared.admission.is_idle() {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
        // The upstream may make nested calls until its last request is done.
        self.stop_upstream.send_replace(true);
        let _ = (&mut self.upstream_listener).await;
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|err| Error::Listen(field, address, err))
}

/// Reads the rules file named in the settings, used until the log or a peer has a published version.
fn read_rules<C: Clock>(shared: &Shared<C>) -> Result<Option<Active>, Error> {
    let Some(path) = &shared.settings.rules else { return Ok(None) };
    let text = std::fs::read_to_string(path).map_err(|err| Error::ReadRules(path.clone(), err))?;
    let active = Active::new(units::Version(0), None, text.into())
        .map_err(|err| Error::Rules(path.clone(), err))?;
    Ok(Some(active))
}
