//! A map in shards, each under its own lock.

use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

const SHARDS: usize = 16;

/// A map that several threads use at once.
pub struct Shards<K, V> {
    shards: [Mutex<HashMap<K, V>>; SHARDS],
    hasher: RandomState,
}

impl<K: Eq + Hash, V> Shards<K, V> {
    /// An empty map.
    pub fn new() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()), hasher: RandomState::new() }
    }

    /// Adds a value.
    pub fn insert(&self, key: K, value: V) {
        self.shard(&key).insert(key, value);
    }

    /// Takes a value out.
    pub fn remove(&self, key: K) -> Option<V> {
        self.shard(&key).remove(&key)
    }

    /// Does something with a value that is there.
    pub fn with<T>(&self, key: K, action: impl FnOnce(&mut V) -> T) -> Option<T> {
        self.shard(&key).get_mut(&key).map(action)
    }

    /// Does something with a value, which is made first where it isn't there.
    pub fn with_or<T>(
        &self,
        key: K,
        make: impl FnOnce() -> V,
        action: impl FnOnce(&mut V) -> T,
    ) -> T {
        action(self.shard(&key).entry(key).or_insert_with(make))
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    fn shard(&self, key: &K) -> MutexGuard<'_, HashMap<K, V>> {
        let index = self.hasher.hash_one(key) as usize % SHARDS;
        lock(&self.shards[index])
    }
}

/// Locks a mutex; a thread that panicked under it left a state that is still whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
