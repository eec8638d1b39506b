//! Success of calls that don't need a service while it is ten times as slow as usual.

use std::io;
use std::time::Duration;

use standins::upstream::Faults;

use crate::system::{self, Example, Setup, experiment, mix};
use crate::table::{self, met_or_missed, percent};

const MIN_SUCCESS_SHARE: f64 = 0.98;
const SLOWDOWN_FACTOR: f64 = 10.0;
/// Time before the service becomes slow.
const WARM_UP_S: u64 = 4;

/// Measures each variant.
pub async fn run(setup: &Setup, seconds: u64) -> io::Result<()> {
    let title =
        format!("Warehouse {SLOWDOWN_FACTOR} times as slow for {seconds} s, seed {}", setup.seed);
    table::header(
        &title,
        &[
            "variant",
            "success of calls that don't need it",
            "bound 98%",
            "success of calls that need it",
        ],
    );
    for variant in setup.variants() {
        let example = Example::Dala;
        let cluster = example.start(setup, variant, false).await?;
        let end = WARM_UP_S + seconds;
        let mixes = vec![
            // The catalog calls the warehouse only for `/prices`.
            mix("menu", "GET", "/menu", &[(end, 400.0)]),
            mix("prices", "GET", "/prices", &[(end, 500.0)]),
        ];
        let plan = experiment(&cluster, setup, "warehouse", mixes);
        let slow_down = async {
            tokio::time::sleep(Duration::from_secs(WARM_UP_S)).await;
            for vm in cluster.vms().iter().filter(|vm| vm.service == "warehouse") {
                cluster
                    .set_faults(vm, &Faults { slow: SLOWDOWN_FACTOR, ..Faults::default() })
                    .await;
            }
        };
        let (summaries, ()) = tokio::join!(system::run_load(&plan), slow_down);
        let success = |index: usize| {
            let timeline = &summaries[index].timeline
                [(WARM_UP_S as usize * 10).min(summaries[index].timeline.len())..];
            let succeeded: u64 = timeline.iter().map(|bucket| bucket.succeeded).sum();
            let arrived: u64 = timeline.iter().map(|bucket| bucket.arrived).sum();
            succeeded as f64 / arrived.max(1) as f64
        };
        table::row(&[
            variant.name(setup),
            percent(success(0)),
            met_or_missed(success(0) >= MIN_SUCCESS_SHARE),
            percent(success(1)),
        ]);
    }
    Ok(())
}
