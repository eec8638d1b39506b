//! Order in which requests are shed.
//!
//! The class of the root request decides first. Within a class a hash of the root id decides, so that every hop sheds
//! the calls of the same trees, as in DAGOR (Zhou et al., SoCC 2018).

use units::RootId;

const HASH_BITS: u32 = 14;
/// SplitMix64's first multiplier; spreads ids that differ in few bits.
const MIX: u64 = 0xbf58_476d_1ce4_e5b9;

units::value! {
    /// Priority of a request; the lowest is shed first.
    #[derive(Default)]
    pub struct Priority(pub u16);
}

impl Priority {
    /// Ranks of classes, from 0.
    pub const RANKS: u16 = 3;
    /// One above the highest priority.
    pub const END: u16 = Self::RANKS << HASH_BITS;

    /// Class that it belongs to, from 0.
    pub fn class(self) -> u16 {
        self.0 >> HASH_BITS
    }

    /// Priority of the calls of one root request.
    pub fn new(rank: u8, root: RootId) -> Self {
        let mixed = (root.0 ^ (root.0 >> 30)).wrapping_mul(MIX);
        let hash = (mixed >> (u64::BITS - HASH_BITS)) as u16;
        Self((u16::from(rank).min(Self::RANKS - 1) << HASH_BITS) | hash)
    }
}
