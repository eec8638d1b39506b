//! Encoding of suspected requests.

use capnp::struct_list;
use quarantine::{Crash, Fingerprint, SuspectUpdate};

use crate::control_capnp::suspect;
use crate::convert::parse;

/// Writes a list of suspected requests.
pub fn write_suspects(
    suspects: &[SuspectUpdate],
    mut out: struct_list::Builder<'_, suspect::Owned>,
) {
    for (index, from) in suspects.iter().enumerate() {
        let mut to = out.reborrow().get(index as u32);
        to.set_fingerprint(from.fingerprint.0);
        to.set_call(from.call.as_str());
        match &from.crash {
            Some(crash) => {
                to.set_node(crash.node.as_str());
                to.set_epoch(crash.epoch);
            }
            None => to.set_cleared(true),
        }
    }
}

/// Reads a list of suspected requests.
pub fn read_suspects(
    input: struct_list::Reader<'_, suspect::Owned>,
) -> capnp::Result<Vec<SuspectUpdate>> {
    input.iter().map(read).collect()
}

fn read(input: suspect::Reader<'_>) -> capnp::Result<SuspectUpdate> {
    let crash = match input.get_cleared() {
        true => None,
        false => Some(Crash { node: parse(input.get_node()?)?, epoch: input.get_epoch() }),
    };
    let call = input.get_call()?.to_str()?.to_owned();
    Ok(SuspectUpdate { fingerprint: Fingerprint(input.get_fingerprint()), crash, call })
}
