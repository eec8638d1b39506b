//! One request that kills the upstream that runs it, sent 20 times, among others that don't.

use std::io;
use std::time::Duration;

use load::Phase;

use crate::system::{self, Example, Setup, experiment, mix, must};
use crate::table::{self, percent, verdict};

const BOUND: usize = 2;
const SENT: u32 = 20;
const END: u64 = 8;

/// Measures the variants.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!("One poison request sent {SENT} times, seed {}", setup.seed);
    table::head(&title, &["variant", "upstreams lost", "bound 2", "others whole"]);
    for variant in setup.variants() {
        let example = Example::Tuiwai;
        let mut cluster = example.start(setup, variant, false).await?;
        let mut poison = mix("poison", "POST", "/bookings", &[]);
        poison.crash = true;
        poison.keyed = true;
        poison.resend = SENT - 1;
        // The rate is so high that the gap before the first arrival is next to nothing.
        poison.phases = vec![
            Phase { until: Duration::from_secs(2), rate: 0.0 },
            Phase { until: Duration::from_micros(2_000_003), rate: 1e6 },
        ];
        let others = mix("bookings", "POST", "/bookings", &[(END, 200.0)]);
        let mut plan = experiment(&cluster, setup, "pricing", vec![others, poison]);
        plan.timeout = Duration::from_secs(4);
        let summaries = system::play(&plan).await;
        must(summaries[1].requests >= 1, "the seed gave no poison request")?;
        let mut lost = 0;
        for vm in cluster.vms().to_vec() {
            if let Some(upstream) = cluster.process(&format!("upstream-{}", vm.name)) {
                lost += usize::from(upstream.ended()?.is_some());
            }
        }
        let others = summaries[0].whole as f64 / summaries[0].requests.max(1) as f64;
        table::row(&[
            variant.name(setup),
            lost.to_string(),
            verdict(lost <= BOUND),
            percent(others),
        ]);
    }
    Ok(())
}
