//! Epochs of the store: whether an answer shows that the store was restored from an older copy.

use crate::platform::StoreEpoch;

/// What an epoch shows, compared with the latest known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochChange {
    /// Nothing new.
    Same,
    /// It is the first one.
    First,
    /// The store was restored since the given epoch.
    Restored(StoreEpoch),
    /// It is older than the given latest one, so the answer tells nothing of the store as it is now.
    Older(StoreEpoch),
}

/// Compares an epoch with the latest known one.
pub fn compare(latest: Option<StoreEpoch>, seen: StoreEpoch) -> EpochChange {
    match latest {
        None => EpochChange::First,
        Some(latest) if latest == seen => EpochChange::Same,
        Some(latest) if latest < seen => EpochChange::Restored(latest),
        Some(latest) => EpochChange::Older(latest),
    }
}
