//! Priority by which requests are shed.
//!
//! Requests are ordered by the class of the root request, then by a hash of the root id, so that every hop sheds the
//! calls of the same trees, as in DAGOR (Zhou et al., SoCC 2018).

use units::RootId;

const HASH_BITS: u32 = 14;
/// First multiplier of SplitMix64, which spreads ids that differ in few bits.
const HASH_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

units::value! {
    /// Priority of a request; the lowest is shed first.
    #[derive(Default)]
    pub struct Priority(pub u16);
}

impl Priority {
    /// Number of class ranks; several classes of the rules may share one.
    pub const CLASS_RANKS: u16 = 3;
    /// One above the highest priority.
    pub const END: u16 = Self::CLASS_RANKS << HASH_BITS;

    /// Rank of the root request's class; 0 is shed first.
    pub fn class_rank(self) -> u16 {
        self.0 >> HASH_BITS
    }

    /// Priority of all calls in the tree of one root request; `rank` is that of its class.
    pub fn new(rank: u8, root: RootId) -> Self {
        let mixed = (root.0 ^ (root.0 >> 30)).wrapping_mul(HASH_MULTIPLIER);
        let hash = (mixed >> (u64::BITS - HASH_BITS)) as u16;
        Self((u16::from(rank).min(Self::CLASS_RANKS - 1) << HASH_BITS) | hash)
    }
}
