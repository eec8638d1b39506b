//! Program of the link stand-in.

use std::net::SocketAddr;

use clap::Parser;
use poem::web::{Data, Json};
use poem::{EndpointExt, Route, get, handler, post};
use standins::relay::{Link, Relay};
use standins::serve;
use tokio::net::TcpListener;

/// Stand-in of a network link: delays, caps and cuts TCP connections.
#[derive(Parser)]
struct Args {
    /// Address to take connections on.
    #[arg(long)]
    listen: SocketAddr,
    /// Address to pass them on to.
    #[arg(long)]
    to: SocketAddr,
    /// Address of the control endpoint.
    #[arg(long)]
    control: SocketAddr,
    /// One-way delay in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay: u64,
    /// Bytes a second each way; no cap at zero.
    #[arg(long, default_value_t = 0)]
    cap: u64,
}

#[handler]
fn set_link(relay: Data<&Relay>, Json(link): Json<Link>) {
    relay.set(link);
}

#[handler]
fn passed(relay: Data<&Relay>) -> String {
    relay.passed().to_string()
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let relay = Relay::new(Link { delay: args.delay, cap: args.cap, ..Link::default() });
    let listener = TcpListener::bind(args.listen).await?;
    tokio::spawn(relay.clone().run(listener, args.to));
    let service =
        Route::new().at("/control", post(set_link)).at("/passed", get(passed)).data(relay);
    serve::until(args.control, service, serve::stop_signal()).await
}
