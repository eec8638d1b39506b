//! Summaries of failure domains, for operators and for `publish`.

use capnp::struct_list;
use units::{DomainName, NodeId, RegionName, Version};

use crate::control_capnp::summary;
use crate::convert::parse;

units::record! {
    /// State of one failure domain, as last reported by one of its delegates.
    pub struct DomainSummary {
        /// The failure domain.
        pub domain: DomainName,
        /// Its region.
        pub region: RegionName,
        /// Time of the summary in milliseconds since the Unix epoch; the latest summary wins.
        pub stamped_ms: u64,
        /// Number of present nodes.
        pub present: u32,
        /// Lowest configuration version in force at any of them.
        pub lowest: Version,
        /// Some of the nodes at that version, if others have a later one.
        pub lagging: Vec<NodeId>,
    }
}

/// Writes a list of summaries.
pub fn write_summaries(
    summaries: &[DomainSummary],
    mut out: struct_list::Builder<'_, summary::Owned>,
) {
    for (index, from) in summaries.iter().enumerate() {
        let mut to = out.reborrow().get(index as u32);
        to.set_domain(from.domain.as_str());
        to.set_region(from.region.as_str());
        to.set_stamp(from.stamped_ms);
        to.set_present(from.present);
        to.set_lowest(from.lowest.0);
        let mut lagging = to.init_lagging(from.lagging.len() as u32);
        for (index, node) in from.lagging.iter().enumerate() {
            lagging.set(index as u32, node.as_str());
        }
    }
}

/// Reads a list of summaries.
pub fn read_summaries(
    input: struct_list::Reader<'_, summary::Owned>,
) -> capnp::Result<Vec<DomainSummary>> {
    input.iter().map(read).collect()
}

fn read(input: summary::Reader<'_>) -> capnp::Result<DomainSummary> {
    let lagging = input.get_lagging()?;
    Ok(DomainSummary {
        domain: parse(input.get_domain()?)?,
        region: parse(input.get_region()?)?,
        stamped_ms: input.get_stamp(),
        present: input.get_present(),
        lowest: Version(input.get_lowest()),
        lagging: lagging.iter().map(|node| parse(node?)).collect::<capnp::Result<_>>()?,
    })
}
