//! Program of the network stand-in.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use poem::web::{Data, Json};
use poem::{EndpointExt, Route as Path, get, handler, post};
use serde::Deserialize;
use standins::relay::{LinkChange, Relay, Route, Traffic};
use standins::serve;
use tokio::net::TcpListener;

/// Stand-in of the network between failure domains: a relay that delays, caps and cuts TCP connections.
#[derive(Parser)]
struct Args {
    /// JSON file with the failure domains (`places`), routes and links.
    #[arg(long)]
    network: PathBuf,
    /// Address of the control endpoint.
    #[arg(long)]
    control: SocketAddr,
}

#[derive(Deserialize)]
struct Network {
    places: HashMap<String, String>,
    routes: Vec<Route>,
    links: Vec<LinkChange>,
}

#[handler]
fn set_links(relay: Data<&Relay>, Json(changes): Json<Vec<LinkChange>>) {
    for change in &changes {
        relay.set(change);
    }
}

#[handler]
fn traffic(relay: Data<&Relay>) -> Json<Vec<Traffic>> {
    Json(relay.traffic())
}

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let network: Network = serde_json::from_str(&std::fs::read_to_string(&args.network)?)?;
    let relay = Relay::new(network.places);
    for change in &network.links {
        relay.set(change);
    }
    for route in network.routes {
        let listener = TcpListener::bind(route.listen).await?;
        tokio::spawn(relay.clone().run(listener, route.to));
    }
    let service = Path::new().at("/links", post(set_links)).at("/passed", get(traffic)).data(relay);
    serve::until(args.control, service, serve::stop_signal()).await
}
