//! Program of the log stand-in.

use std::net::SocketAddr;

use clap::Parser;
use standins::log::{Faults, Log};
use standins::serve;

/// Stand-in of the platform's append-only log.
#[derive(Parser)]
struct Args {
    /// Address to serve on.
    #[arg(long)]
    listen: SocketAddr,
    /// Limit of appends per second.
    #[arg(long, default_value_t = 400)]
    rate: u32,
    /// Retention time of records in milliseconds.
    #[arg(long, default_value_t = 3_600_000)]
    retention: u64,
    /// Delay of every request in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let faults = Faults {
        rate: args.rate,
        retention: args.retention,
        delay: args.delay,
        ..Faults::default()
    };
    serve::until(args.listen, Log::new(faults).service(), serve::stop_signal()).await
}
