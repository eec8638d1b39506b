//! Following the configuration: delegates read the log; other nodes learn of a new version by gossip and pull it.

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

/// Longest wait of a read for a new record.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read, and between checks whether this node has to read the log.
const READ_PAUSE: Duration = Duration::from_secs(1);
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the log while this node is a delegate or has no configuration yet.
pub async fn run<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    let Some(source) = control.shared.settings.log.clone() else { return };
    let mut renewal = SnapshotRenewal::new(source.retention);
    loop {
        let must_read = lock(&control.shared.members).is_delegate()
            || lock(&control.shared.configuration).snapshot().is_none();
        if !must_read {
            tokio::time::sleep(READ_PAUSE).await;
            continue;
        }
        if !read(&control, &source.rules, &mut renewal).await {
            let jitter = control.random.borrow_mut().random_range(0.5..1.5);
            tokio::time::sleep(READ_PAUSE.mul_f64(jitter)).await;
        }
        renewal.renew(&control, &source.rules).await;
    }
}

/// Reads the log once; false if the next read has to wait.
async fn read<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    stream: &str,
    renewal: &mut SnapshotRenewal,
) -> bool {
    let from = lock(&control.shared.configuration).next_offset();
    let Ok(batch) = control.log.read(stream, from, READ_WAIT).await else {
        control.shared.metrics.log_down.set(1);
        return false;
    };
    control.shared.metrics.log_down.set(0);
    lock(&control.shared.configuration).start_batch(batch.first);
    for entry in &batch.entries {
        renewal.observe(&entry.text);
        let step = lock(&control.shared.configuration).apply(entry);
        match step {
            Step::Unchanged => {}
            Step::Event(event) => handle_event(control, event),
            Step::Rewind(_) => {
                activate_current(control);
                return true;
            }
        }
    }
    if batch.entries.is_empty() && batch.first > from {
        return false;
    }
    true
}

fn handle_event<C: Clock, L: Log>(control: &Rc<Control<C, L>>, event: Event) {
    match event {
        Event::Accepted(published) => activate(control, &published),
        Event::Conflict { id, author, base, current } => log::info!(
            node = control.node().as_str(), change = id.0.as_str(), author = author.as_str(),
            base = base.0, current = current.0;
            "a publish was rejected: its base is not the version in force"
        ),
        Event::Applied { .. } => {}
        Event::Unreadable(reason) => log::warn!(
            node = control.node().as_str(), why = reason.as_str(); "a record of the rules stream can't be read"
        ),
    }
}

/// Puts the current configuration in force.
fn activate_current<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let current = lock(&control.shared.configuration).current().cloned();
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
                "this release can't parse the rules; the previous version stays in force"
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

/// Pulls the configuration from a node that has a later version.
pub fn catch_up<C: Clock, L: Log>(control: &Rc<Control<C, L>>, from: SocketAddr, version: Version) {
    let have = lock(&control.shared.configuration).version();
    if version <= have || control.pulling.replace(true) {
        return;
    }
    let control = control.clone();
    tokio::task::spawn_local(async move {
        let pulled = tokio::time::timeout(PULL_TIMEOUT, pull(&control, from, have)).await;
        control.pulling.set(false);
        if let Ok(Ok(Some(snapshot))) = pulled
            && lock(&control.shared.configuration).adopt(snapshot)
        {
            activate_current(&control);
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

/// Renewal of the snapshot in the log, so that the log's retention never deletes the configuration.
struct SnapshotRenewal {
    /// Age at which the snapshot is renewed: a quarter of the retention.
    max_age: Duration,
    last_seen: Instant,
}

impl SnapshotRenewal {
    fn new(retention: Duration) -> Self {
        Self { max_age: retention / 4, last_seen: Instant::now() }
    }

    fn observe(&mut self, text: &str) {
        if matches!(serde_json::from_str(text), Ok(Record::Snapshot(_))) {
            self.last_seen = Instant::now();
        }
    }

    async fn renew<C: Clock, L: Log>(&mut self, control: &Rc<Control<C, L>>, stream: &str) {
        if self.last_seen.elapsed() < self.max_age {
            return;
        }
        // A random offset keeps nodes from renewing at the same time; most see another node's snapshot first.
        let offset = control.random.borrow_mut().random_range(0.0..0.2);
        self.last_seen = Instant::now() - self.max_age.mul_f64(offset);
        let snapshot = lock(&control.shared.configuration).snapshot().cloned();
        let Some(snapshot) = snapshot.filter(|snapshot| snapshot.current.is_some()) else { return };
        if let Ok(text) = serde_json::to_string(&Record::Snapshot(snapshot)) {
            // A lost answer only costs another record at the next renewal.
            let appended: Result<Offset, _> = control.log.append(stream, text).await;
            if appended.is_ok() {
                self.last_seen = Instant::now();
            }
        }
    }
}
