//! Following the configuration: delegates read the log, the others hear of a new version by gossip and pull it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use journal::{Event, Log, Published, Record, Snapshot, Step};
use rand::RngExt;
use tokio::time::Instant;
use units::{Clock, Offset, Version};

use super::Control;
use crate::process::shards::lock;
use crate::version::Active;

/// Time that a read waits for a record.
const WAIT: Duration = Duration::from_secs(10);
/// Pause after the log could not be read, and for nodes that don't read it.
const PAUSE: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(3);

/// Reads the log while this node is a delegate, or has no configuration from anybody.
pub async fn keep_following<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    let Some(source) = control.shared.settings.log.clone() else { return };
    let mut snapshots = Snapshots::new(source.retention);
    loop {
        let reads = lock(&control.shared.table).is_delegate()
            || lock(&control.shared.fold).snapshot().is_none();
        if !reads {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        if !read(&control, &source.rules, &mut snapshots).await {
            let jitter = control.random.borrow_mut().random_range(0.5..1.5);
            tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
        }
        snapshots.renew(&control, &source.rules).await;
    }
}

/// Reads once; false when the log can't be read.
async fn read<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    stream: &str,
    snapshots: &mut Snapshots,
) -> bool {
    let from = lock(&control.shared.fold).next();
    let Ok(batch) = control.log.read(stream, from, WAIT).await else {
        control.shared.metrics.log_down.set(1);
        return false;
    };
    control.shared.metrics.log_down.set(0);
    lock(&control.shared.fold).begin(batch.first);
    for entry in &batch.entries {
        snapshots.saw(&entry.text);
        let step = lock(&control.shared.fold).apply(entry);
        match step {
            Step::Nothing => {}
            Step::Event(event) => happened(control, event),
            Step::Rewind(_) => {
                in_force(control);
                return true;
            }
        }
    }
    if batch.entries.is_empty() && batch.first > from {
        return false;
    }
    true
}

fn happened<C: Clock, L: Log>(control: &Rc<Control<C, L>>, event: Event) {
    match event {
        Event::Accepted(published) => activate(control, &published),
        Event::Conflict { id, author, base, current } => log::info!(
            node = control.node().as_str(), change = id.0.as_str(), author = author.as_str(),
            base = base.0, current = current.0;
            "a publish was rejected: its base is not the version in force"
        ),
        Event::Applied { .. } => {}
        Event::Unreadable(why) => log::warn!(
            node = control.node().as_str(), why = why.as_str(); "a record of the rules stream can't be read"
        ),
    }
}

/// Puts the fold's configuration in force.
fn in_force<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let current = lock(&control.shared.fold).current().cloned();
    if let Some(published) = current {
        activate(control, &published);
    }
}

fn activate<C: Clock, L: Log>(control: &Rc<Control<C, L>>, published: &Published) {
    let Published { version, author, text, .. } = published;
    let active = match Active::new(*version, Some(author.clone()), text.clone()) {
        Ok(active) => active,
        Err(errors) => {
            log::error!(
                node = control.node().as_str(), version = version.0, errors = errors.to_string().as_str();
                "this program can't read the rules; the version before stays in force"
            );
            return;
        }
    };
    if control.shared.activate(active) {
        log::info!(
            node = control.node().as_str(), version = version.0, author = author.as_str(); "configuration in force"
        );
    }
}

/// Pulls the configuration from a node that has a later one.
pub fn catch_up<C: Clock, L: Log>(control: &Rc<Control<C, L>>, from: SocketAddr, version: Version) {
    let have = lock(&control.shared.fold).version();
    if version <= have || control.pulling.replace(true) {
        return;
    }
    let control = control.clone();
    tokio::task::spawn_local(async move {
        let pulled = tokio::time::timeout(PATIENCE, pull(&control, from, have)).await;
        control.pulling.set(false);
        if let Ok(Ok(Some(snapshot))) = pulled
            && lock(&control.shared.fold).adopt(snapshot)
        {
            in_force(&control);
        }
    });
}

async fn pull<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    from: SocketAddr,
    have: Version,
) -> Result<Option<Snapshot>, Error> {
    let client = control.clients.get(from).await?;
    let mut request = client.configuration_request();
    request.get().set_have(have.0);
    let response = request.send().promise.await?;
    let state = response.get()?.get_configuration()?.get_state()?.to_str()?;
    if state.is_empty() {
        return Ok(None);
    }
    serde_json::from_str(state).map(Some).map_err(|err| Error::failed(err.to_string()))
}

/// Renewal of the snapshot, so that retention never takes the configuration away.
struct Snapshots {
    /// Age at which a snapshot is renewed: a quarter of the retention.
    renewal: Duration,
    seen: Instant,
}

impl Snapshots {
    fn new(retention: Duration) -> Self {
        Self { renewal: retention / 4, seen: Instant::now() }
    }

    fn saw(&mut self, text: &str) {
        if matches!(serde_json::from_str(text), Ok(Record::Snapshot(_))) {
            self.seen = Instant::now();
        }
    }

    async fn renew<C: Clock, L: Log>(&mut self, control: &Rc<Control<C, L>>, stream: &str) {
        if self.seen.elapsed() < self.renewal {
            return;
        }
        // Others renew at another moment, and most of them see this one first.
        let spread = control.random.borrow_mut().random_range(0.0..0.2);
        self.seen = Instant::now() - self.renewal.mul_f64(spread);
        let snapshot = lock(&control.shared.fold).snapshot().cloned();
        let Some(snapshot) = snapshot.filter(|snapshot| snapshot.current.is_some()) else { return };
        if let Ok(text) = serde_json::to_string(&Record::Snapshot(snapshot)) {
            // A lost answer costs one more record at the next renewal, and nothing else.
            let appended: Result<Offset, _> = control.log.append(stream, text).await;
            if appended.is_ok() {
                self.seen = Instant::now();
            }
        }
    }
}
