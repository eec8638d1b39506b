//! Server for control calls from other nodes.

use std::net::SocketAddr;
use std::rc::Rc;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client, twoparty};
use futures_util::AsyncReadExt;
use journal::Log;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;
use units::{Clock, DomainName, NodeId, Version};
use wire::control_capnp::peer;
use wire::{write_members, write_summaries};

use super::gossip::{self, GossipMessage};
use super::{Control, exchange, follow, suspects};
use crate::process::shards::lock;

/// Accepts connections from other nodes.
pub async fn listen<C: Clock, L: Log>(control: Rc<Control<C, L>>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            serve(&control, stream);
        }
    }
}

fn serve<C: Clock, L: Log>(control: &Rc<Control<C, L>>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = control.clients.count_bytes(stream).compat().split();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Server, Default::default());
    let client: peer::Client = new_client(Server { control: control.clone() });
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::task::spawn_local(system);
}

struct Server<C: Clock, L: Log> {
    control: Rc<Control<C, L>>,
}

impl<C: Clock, L: Log> peer::Server for Server<C, L> {
    async fn gossip(
        self: Rc<Self>,
        params: peer::GossipParams,
        mut results: peer::GossipResults,
    ) -> Result<(), Error> {
        let control = &self.control;
        let mut message = GossipMessage::read(params.get()?.get_told()?)?;
        let between_domains = !message.summaries.is_empty();
        exchange::merge_summaries(control, std::mem::take(&mut message.summaries));
        let from = message.node.as_ref().and_then(|node| control_address(control, &message, node));
        gossip::merge(control, message.members);
        suspects::merge(control, message.suspects);
        let mut answer = gossip::next_message(control, None);
        if between_domains {
            answer.summaries = lock(&control.shared.summaries).values().cloned().collect();
        }
        answer.write(results.get().init_answer());
        if let Some(from) = from {
            follow::catch_up(control, from, message.version);
            let control = control.clone();
            // The repair must not delay the answer.
            tokio::task::spawn_local(async move {
                exchange::reconcile(&control, from, message.digests).await
            });
        }
        Ok(())
    }

    async fn reach(
        self: Rc<Self>,
        params: peer::ReachParams,
        mut results: peer::ReachResults,
    ) -> Result<(), Error> {
        let node: NodeId = parse_node(params.get()?.get_node()?)?;
        let control = &self.control;
        let member = lock(&control.shared.members).get(&node).cloned();
        let Some(member) = member else { return Ok(()) };
        let message = gossip::next_message(control, Some(&node));
        let timeout = control.shared.settings.control.timeout;
        if let Ok(answer) = gossip::send(control, member.control_address, &message, timeout).await {
            gossip::merge(control, answer.members);
            results.get().set_reached(true);
        }
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        params: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), Error> {
        let domain = params.get()?.get_domain()?.to_str()?;
        let table = lock(&self.control.shared.members);
        let members = if domain.is_empty() {
            table.all().cloned().collect()
        } else {
            let domain: DomainName =
                domain.parse().map_err(|err: units::ParseError| Error::failed(err.to_string()))?;
            table.members_of(&domain)
        };
        drop(table);
        write_members(&members, results.get().init_members(members.len() as u32));
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> Result<(), Error> {
        let have = Version(params.get()?.get_have());
        let configuration = lock(&self.control.shared.configuration);
        let Some(snapshot) = configuration.snapshot().filter(|_| configuration.version() > have)
        else {
            return Ok(());
        };
        let state =
            serde_json::to_string(snapshot).map_err(|err| Error::failed(err.to_string()))?;
        let mut out = results.get().init_configuration();
        out.set_version(configuration.version().0);
        out.set_next(snapshot.next.0);
        out.set_state(state.as_str());
        Ok(())
    }

    async fn overview(
        self: Rc<Self>,
        _: peer::OverviewParams,
        mut results: peer::OverviewResults,
    ) -> Result<(), Error> {
        let summaries: Vec<_> = lock(&self.control.shared.summaries).values().cloned().collect();
        write_summaries(&summaries, results.get().init_summaries(summaries.len() as u32));
        Ok(())
    }
}

/// Control address of the sender, from the record of itself in the message, else from the membership.
fn control_address<C: Clock, L: Log>(
    control: &Control<C, L>,
    message: &GossipMessage,
    node: &NodeId,
) -> Option<SocketAddr> {
    let in_message = message
        .members
        .iter()
        .find(|member| member.node == *node)
        .map(|member| member.control_address);
    in_message
        .or_else(|| lock(&control.shared.members).get(node).map(|member| member.control_address))
}

fn parse_node(text: capnp::text::Reader<'_>) -> Result<NodeId, Error> {
    text.to_str()?.parse().map_err(|err: units::ParseError| Error::failed(err.to_string()))
}
