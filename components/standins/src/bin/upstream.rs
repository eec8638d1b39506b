//! Program of the upstream stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use standins::serve;
use standins::upstream::{self, Child, Plan, Upstream};
use units::ServiceName;

/// Time for the nodes to hear of a drain before the upstream stops accepting.
const FAREWELL: Duration = Duration::from_secs(3);

/// Stand-in of an upstream.
#[derive(Parser)]
struct Args {
    /// Service it belongs to.
    #[arg(long)]
    service: ServiceName,
    /// Address to serve on.
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the control endpoint.
    #[arg(long)]
    control: SocketAddr,
    /// Upstream-side address of the node beside it.
    #[arg(long)]
    node: Option<SocketAddr>,
    /// Requests it works on at once.
    #[arg(long, default_value_t = 10)]
    slots: u32,
    /// Slots it announces, where that is not the truth.
    #[arg(long)]
    announced: Option<u32>,
    /// Connections it takes.
    #[arg(long, default_value_t = 160)]
    connections: u32,
    /// Mean time a request holds a slot, such as `10ms`.
    #[arg(long, default_value = "10ms", value_parser = units::span::parse)]
    time: Duration,
    /// Time until it is warm.
    #[arg(long, default_value = "0ms", value_parser = units::span::parse)]
    cold: Duration,
    /// Call made for each request, such as `GET:/stock`; may be repeated.
    #[arg(long)]
    child: Vec<Child>,
    /// Seed of the service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let plan = Plan {
        service: args.service,
        listen: args.listen,
        node: args.node,
        slots: args.slots,
        announced: args.announced,
        connections: args.connections,
        time: args.time,
        cold: args.cold,
        children: args.child,
        seed: args.seed,
    };
    let running = Upstream::new(plan);
    tokio::spawn(upstream::keep_announcing(running.clone()));
    tokio::spawn(serve::until(args.control, running.control(), std::future::pending()));
    let stop = async {
        serve::stop_signal().await;
        running.drain();
        tokio::time::sleep(FAREWELL).await;
    };
    running.clone().serve(stop).await
}
