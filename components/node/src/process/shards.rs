//! A concurrent map, split into shards with a lock each.

use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

const SHARD_COUNT: usize = 16;

/// Map that several threads use at once.
pub struct ShardedMap<K, V> {
    shards: [Mutex<HashMap<K, V>>; SHARD_COUNT],
    hasher: RandomState,
}

impl<K: Eq + Hash, V> ShardedMap<K, V> {
    /// An empty map.
    pub fn new() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()), hasher: RandomState::new() }
    }

    /// Inserts a value.
    pub fn insert(&self, key: K, value: V) {
        self.shard(&key).insert(key, value);
    }

    /// Removes a value.
    pub fn remove(&self, key: K) -> Option<V> {
        self.shard(&key).remove(&key)
    }

    /// Applies a function to a value, if present.
    pub fn with<T>(&self, key: K, action: impl FnOnce(&mut V) -> T) -> Option<T> {
        self.shard(&key).get_mut(&key).map(action)
    }

    /// Applies a function to a value, which is inserted first if absent.
    pub fn with_or_insert<T>(
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
        let index = self.hasher.hash_one(key) as usize % SHARD_COUNT;
        lock(&self.shards[index])
    }
}

/// Locks a mutex and ignores poisoning: a panic under a lock leaves the state consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
