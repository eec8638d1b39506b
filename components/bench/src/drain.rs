//! Time until a draining upstream gets no new requests.

use std::io;
use std::time::Duration;

use standins::upstream::Faults;

use crate::system::{self, Example, Setup, Variant, ensure, experiment, mix};
use crate::table::{self, met_or_missed};

const LOAD_END_S: u64 = 8;
const DRAIN_AT: Duration = Duration::from_secs(3);
const MAX_DELAY_MS: u64 = 3_000;

/// Measures this commit, with the network between failure domains.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let cluster = Example::Dala.start(setup, Variant::Full, true).await?;
    let plan = experiment(
        &cluster,
        setup,
        "warehouse",
        vec![mix("prices", "GET", "/prices", &[(LOAD_END_S, 400.0)])],
    );
    let draining = cluster.vms().iter().find(|vm| vm.service == "warehouse").cloned();
    let draining = draining.ok_or_else(|| io::Error::other("no VM with the service warehouse"))?;
    let drain = async {
        tokio::time::sleep(DRAIN_AT).await;
        let before = cluster.stats(&draining).await;
        cluster.set_faults(&draining, &Faults { drain: true, ..Faults::default() }).await;
        before
    };
    let (summaries, before) = tokio::join!(system::run_load(&plan), drain);
    let after = cluster.stats(&draining).await;
    let (Some(before), Some(after)) = (before, after) else {
        return ensure(false, "the upstream did not report its counts");
    };
    let delay = after.last_start.saturating_sub(before.last_start);
    table::header(
        &format!("An upstream drains under load, seed {}", setup.seed),
        &["last new request after ms", "bound 3000", "requests succeeded"],
    );
    let succeeded = format!("{} of {}", summaries[0].succeeded, summaries[0].requests);
    table::row(&[delay.to_string(), met_or_missed(delay <= MAX_DELAY_MS), succeeded]);
    Ok(())
}
