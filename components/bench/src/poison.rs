//! One request that kills the upstream that runs it, sent 20 times, among others that don't.

use std::io;
use std::time::Duration;

use standins::client;
use standins::cluster::Cluster;

use crate::system::{self, Example, Setup, experiment, mix, must};
use crate::table::{self, percent, verdict};

const BOUND: usize = 2;
const SENT: u32 = 20;
const END: u64 = 8;
const AFTER: Duration = Duration::from_secs(2);

/// Measures the variants.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!("One poison request sent {SENT} times, seed {}", setup.seed);
    table::head(&title, &["variant", "upstreams lost", "bound 2", "others whole"]);
    for variant in setup.variants() {
        let example = Example::Tuiwai;
        let mut cluster = example.start(setup, variant, false).await?;
        let others = mix("bookings", "POST", "/bookings", &[(END, 200.0)]);
        let plan = experiment(&cluster, setup, "pricing", vec![others]);
        let (summaries, sent) = tokio::join!(system::play(&plan), poison(&cluster));
        must(sent == SENT, "the poison request could not be sent")?;
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

/// Sends the poison request again and again through the first node, each time as soon as the last try has failed.
async fn poison(cluster: &Cluster) -> u32 {
    tokio::time::sleep(AFTER).await;
    let http = client::new();
    let to = cluster.callers(&cluster.vms()[0]);
    let mut sent = 0;
    for _ in 0..SENT {
        let request = http::Request::post(format!("http://{to}/bookings"))
            .header("standin-id", "poison")
            .header("idempotency-key", "poison")
            .header("standin-crash", "1")
            .body(Default::default());
        let Ok(request) = request else { break };
        // Whatever the answer is, the caller tries again.
        let _ = client::send(&http, request).await;
        sent += 1;
    }
    sent
}
