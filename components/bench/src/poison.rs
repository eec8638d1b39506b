//! Number of upstreams crashed by a poison request that is sent 20 times among other requests.

use std::io;
use std::time::Duration;

use standins::client;
use standins::cluster::Cluster;

use crate::system::{self, Example, Setup, ensure, experiment, mix};
use crate::table::{self, met_or_missed, percent};

const MAX_CRASHED: usize = 2;
const POISON_REQUESTS: u32 = 20;
const LOAD_END_S: u64 = 8;
/// Time before the first poison request.
const POISON_DELAY: Duration = Duration::from_secs(2);

/// Measures each variant.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let title = format!("One poison request sent {POISON_REQUESTS} times, seed {}", setup.seed);
    table::header(&title, &["variant", "upstreams lost", "bound 2", "success of others"]);
    for variant in setup.variants() {
        let example = Example::Tuiwai;
        let mut cluster = example.start(setup, variant, false).await?;
        let others = mix("bookings", "POST", "/bookings", &[(LOAD_END_S, 200.0)]);
        let plan = experiment(&cluster, setup, "pricing", vec![others]);
        let (summaries, sent) = tokio::join!(system::run_load(&plan), send_poison(&cluster));
        ensure(sent == POISON_REQUESTS, "the poison request could not be sent")?;
        let mut crashed = 0;
        for vm in cluster.vms().to_vec() {
            if let Some(upstream) = cluster.process(&format!("upstream-{}", vm.name)) {
                crashed += usize::from(upstream.exit_status()?.is_some());
            }
        }
        let others = summaries[0].succeeded as f64 / summaries[0].requests.max(1) as f64;
        table::row(&[
            variant.name(setup),
            crashed.to_string(),
            met_or_missed(crashed <= MAX_CRASHED),
            percent(others),
        ]);
    }
    Ok(())
}

/// Sends the poison request repeatedly through the first node, each time after the previous response.
async fn send_poison(cluster: &Cluster) -> u32 {
    tokio::time::sleep(POISON_DELAY).await;
    let http = client::new();
    let to = cluster.caller_address(&cluster.vms()[0]);
    let mut sent = 0;
    for _ in 0..POISON_REQUESTS {
        let request = http::Request::post(format!("http://{to}/bookings"))
            .header("standin-id", "poison")
            .header("idempotency-key", "poison")
            .header("standin-crash", "1")
            .body(Default::default());
        let Ok(request) = request else { break };
        // The caller resends whatever the response is.
        let _ = client::send(&http, request).await;
        sent += 1;
    }
    sent
}
