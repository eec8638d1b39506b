//! Program of the upstream stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use standins::serve;
use standins::upstream::{self, ChildCall, Config, Upstream};
use units::ServiceName;

/// Time for the drain to reach the nodes before the upstream stops accepting connections.
const DRAIN_DELAY: Duration = Duration::from_secs(3);

/// Stand-in of an upstream.
#[derive(Parser)]
struct Args {
    /// Service of the upstream.
    #[arg(long)]
    service: ServiceName,
    /// Address to serve on.
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the control endpoint.
    #[arg(long)]
    control: SocketAddr,
    /// Upstream-side address of its sidecar node.
    #[arg(long)]
    node: Option<SocketAddr>,
    /// Number of requests run at once.
    #[arg(long, default_value_t = 10)]
    slots: u32,
    /// Number of slots to announce, if not the actual one.
    #[arg(long)]
    announced: Option<u32>,
    /// Connection limit to announce.
    #[arg(long, default_value_t = 160)]
    connections: u32,
    /// Mean service time of a request, such as `10ms`.
    #[arg(long, default_value = "10ms", value_parser = units::span::parse)]
    time: Duration,
    /// Time after the start during which service times are four times as long.
    #[arg(long, default_value = "0ms", value_parser = units::span::parse)]
    cold: Duration,
    /// Call made for each request, such as `GET:/stock`; may be repeated.
    #[arg(long)]
    child: Vec<ChildCall>,
    /// Seed of the service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let config = Config {
        service: args.service,
        listen: args.listen,
        node: args.node,
        slots: args.slots,
        announced_slots: args.announced,
        connections: args.connections,
        service_time: args.time,
        cold_time: args.cold,
        children: args.child,
        seed: args.seed,
    };
    let running = Upstream::new(config);
    tokio::spawn(upstream::keep_announcing(running.clone()));
    tokio::spawn(serve::until(args.control, running.control(), std::future::pending()));
    let stop = async {
        serve::stop_signal().await;
        running.drain();
        tokio::time::sleep(DRAIN_DELAY).await;
    };
    running.clone().serve(stop).await
}
