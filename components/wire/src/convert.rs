//! Encoding of membership records.

use std::str::FromStr;

use capnp::struct_list;
use membership::{Member, ServedUpstream, Status, UpstreamState};
use units::{Incarnation, Version};

use crate::control_capnp::member;

/// Writes one member.
pub fn write_member(member: &Member, mut out: member::Builder<'_>) {
    out.set_node(member.node.as_str());
    out.set_domain(member.domain.as_str());
    out.set_region(member.region.as_str());
    out.set_incarnation(member.incarnation.0);
    out.set_serial(member.serial);
    out.set_status(member.status as u8);
    out.set_peers(member.peer_address.to_string().as_str());
    out.set_control(member.control_address.to_string().as_str());
    out.set_version(member.version.0);
    if let Some(upstream) = &member.upstream {
        out.set_service(upstream.service.as_str());
        out.set_slots(upstream.slots);
        out.set_draining(upstream.state == UpstreamState::Draining);
    }
}

/// Reads one member; fails if a text field or the status is invalid.
pub fn read_member(input: member::Reader<'_>) -> capnp::Result<Member> {
    Ok(Member {
        node: parse(input.get_node()?)?,
        domain: parse(input.get_domain()?)?,
        region: parse(input.get_region()?)?,
        incarnation: Incarnation(input.get_incarnation()),
        serial: input.get_serial(),
        status: status(input.get_status())?,
        peer_address: parse(input.get_peers()?)?,
        control_address: parse(input.get_control()?)?,
        upstream: read_upstream(input)?,
        version: Version(input.get_version()),
    })
}

/// Writes a list of members.
pub fn write_members(members: &[Member], mut out: struct_list::Builder<'_, member::Owned>) {
    for (index, member) in members.iter().enumerate() {
        write_member(member, out.reborrow().get(index as u32));
    }
}

/// Reads a list of members.
pub fn read_members(input: struct_list::Reader<'_, member::Owned>) -> capnp::Result<Vec<Member>> {
    input.iter().map(read_member).collect()
}

fn read_upstream(input: member::Reader<'_>) -> capnp::Result<Option<ServedUpstream>> {
    if !input.has_service() {
        return Ok(None);
    }
    let state = if input.get_draining() { UpstreamState::Draining } else { UpstreamState::Serving };
    Ok(Some(ServedUpstream {
        service: parse(input.get_service()?)?,
        slots: input.get_slots(),
        state,
    }))
}

fn status(number: u8) -> capnp::Result<Status> {
    let known = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
    let found = known.into_iter().find(|status| *status as u8 == number);
    found.ok_or_else(|| capnp::Error::failed(format!("{number} is not a member's status")))
}

/// Parses a text field.
pub(crate) fn parse<T: FromStr>(text: capnp::text::Reader<'_>) -> capnp::Result<T> {
    let text = text.to_str()?;
    text.parse().map_err(|_| capnp::Error::failed(format!("`{text}` is malformed")))
}
