//! Time until an upstream that leaves, or dies, gets no new work.

use std::io;
use std::time::Duration;

use standins::upstream::Faults;

use crate::system::{self, Example, Setup, Variant, experiment, mix, must};
use crate::table::{self, verdict};

const END: u64 = 8;
const DRAIN_AT: Duration = Duration::from_secs(3);
const BOUND_MS: u64 = 3_000;

/// Measures this commit: a drain, with the network between failure domains in place.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let cluster = Example::Dala.start(setup, Variant::Full, true).await?;
    let plan = experiment(
        &cluster,
        setup,
        "warehouse",
        vec![mix("prices", "GET", "/prices", &[(END, 400.0)])],
    );
    let leaving = cluster.vms().iter().find(|vm| vm.service == "warehouse").cloned();
    let leaving = leaving.ok_or_else(|| io::Error::other("no warehouse"))?;
    let switch = async {
        tokio::time::sleep(DRAIN_AT).await;
        let before = cluster.witness(&leaving).await;
        cluster.fault(&leaving, &Faults { drain: true, ..Faults::default() }).await;
        before
    };
    let (summaries, before) = tokio::join!(system::play(&plan), switch);
    let after = cluster.witness(&leaving).await;
    let (Some(before), Some(after)) = (before, after) else {
        return must(false, "the upstream is gone");
    };
    let late = after.last_start.saturating_sub(before.last_start);
    table::head(
        &format!("An upstream drains under load, seed {}", setup.seed),
        &["last new work after ms", "bound 3000", "requests whole"],
    );
    let whole = format!("{} of {}", summaries[0].whole, summaries[0].requests);
    table::row(&[late.to_string(), verdict(late <= BOUND_MS), whole]);
    Ok(())
}
