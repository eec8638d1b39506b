//! Bounds on what clients can make a process hold: connections, request bodies, and responses that are not read.
//!
//! [`ledger`] and [`choice`] decide, as functions of state, event and time; [`budget`] has the tasks that wait for bytes,
//! [`blocks`] the bodies, and [`connections`] the streams of clients.

pub mod blocks;
pub mod budget;
pub mod choice;
pub mod connections;
pub mod ledger;
pub mod socket;

pub use blocks::RequestBody;
pub use budget::{Budget, Discarded, Holding, Reservation};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; what a task that panicked has left is still valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
