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
        to.set_node(from.crash.node.as_str());
        to.set_epoch(from.crash.epoch);
        to.set_cleared(from.cleared);
    }
}

/// Reads a list of suspected requests.
pub fn read_suspects(
    input: struct_list::Reader<'_, suspect::Owned>,
) -> capnp::Result<Vec<SuspectUpdate>> {
    input.iter().filter_map(|suspect| read(suspect).transpose()).collect()
}

/// Reads a suspect; `None` if it names no crash, as those that a node of an earlier version has cleared.
fn read(input: suspect::Reader<'_>) -> capnp::Result<Option<SuspectUpdate>> {
    if input.get_cleared() && input.get_node()?.is_empty() {
        return Ok(None);
    }
    Ok(Some(SuspectUpdate {
        fingerprint: Fingerprint(input.get_fingerprint()),
        crash: Crash { node: parse(input.get_node()?)?, epoch: input.get_epoch() },
        cleared: input.get_cleared(),
        call: input.get_call()?.to_str()?.to_owned(),
    }))
}
