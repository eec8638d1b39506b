//! A deep service that is ten times as slow for a while: what becomes of calls that don't need it.

use std::io;
use std::time::Duration;

use standins::upstream::Faults;

use crate::system::{self, Example, Setup, experiment, mix};
use crate::table::{self, percent, verdict};

const BOUND: f64 = 0.98;
const SLOW: f64 = 10.0;
const BEFORE: u64 = 4;

/// Measures the variants.
pub async fn run(setup: &Setup, seconds: u64) -> io::Result<()> {
    let title = format!("Warehouse {SLOW} times as slow for {seconds} s, seed {}", setup.seed);
    table::head(
        &title,
        &["variant", "calls that don't need it, whole", "bound 98%", "calls that need it, whole"],
    );
    for variant in setup.variants() {
        let example = Example::Dala;
        let cluster = example.start(setup, variant, false).await?;
        let end = BEFORE + seconds;
        let mixes = vec![
            // The catalog calls the warehouse for one of these paths only.
            mix("menu", "GET", "/menu", &[(end, 400.0)]),
            mix("prices", "GET", "/prices", &[(end, 500.0)]),
        ];
        let plan = experiment(&cluster, setup, "warehouse", mixes);
        let switch = async {
            tokio::time::sleep(Duration::from_secs(BEFORE)).await;
            for vm in cluster.vms().iter().filter(|vm| vm.service == "warehouse") {
                cluster.fault(vm, &Faults { slow: SLOW, ..Faults::default() }).await;
            }
        };
        let (summaries, ()) = tokio::join!(system::play(&plan), switch);
        let during = |index: usize| {
            let line = &summaries[index].timeline
                [(BEFORE as usize * 10).min(summaries[index].timeline.len())..];
            let whole: u64 = line.iter().map(|bucket| bucket.whole).sum();
            let arrived: u64 = line.iter().map(|bucket| bucket.arrived).sum();
            whole as f64 / arrived.max(1) as f64
        };
        table::row(&[
            variant.name(setup),
            percent(during(0)),
            verdict(during(0) >= BOUND),
            percent(during(1)),
        ]);
    }
    Ok(())
}
