//! Idle connections of a client, by address. Each is closed after some time without use, and their
//! number has a bound, so that connections to servers that are no longer called do not stay open.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;

/// A connection that is not in use.
#[derive(Debug)]
struct Idle<C> {
    number: u64,
    connection: C,
    since: Instant,
}

/// Idle connections.
#[derive(Debug)]
pub(crate) struct IdleConnections<C> {
    by_address: HashMap<SocketAddr, VecDeque<Idle<C>>>,
    /// Address of each connection by its number, the one that is idle for the longest first.
    by_age: BTreeMap<u64, SocketAddr>,
    next_number: u64,
    max_count: usize,
    age_max: Duration,
}

impl<C> IdleConnections<C> {
    /// Creates a pool of at most `max_count` connections, each idle for less than `age_max`.
    pub(crate) fn new(max_count: usize, age_max: Duration) -> Self {
        Self {
            by_address: HashMap::default(),
            by_age: BTreeMap::new(),
            next_number: 0,
            max_count,
            age_max,
        }
    }

    /// Takes the connection to `address` that was used last among those that are preferred, or among all
    /// if none is.
    pub(crate) fn take(
        &mut self,
        address: SocketAddr,
        is_preferred: impl Fn(&C) -> bool,
    ) -> Option<C> {
        let connections = self.by_address.get_mut(&address)?;
        let preferred = connections
            .iter()
            .rposition(|idle| is_preferred(&idle.connection));
        let position = preferred.or(connections.len().checked_sub(1))?;
        let idle = connections.remove(position)?;
        self.by_age.remove(&idle.number);
        self.forget_if_empty(address);
        let is_fresh = idle.since.elapsed() < self.age_max;
        is_fresh.then_some(idle.connection)
    }

    /// Adds a connection. A full pool closes the one that has been idle for the longest.
    pub(crate) fn put(&mut self, address: SocketAddr, connection: C) {
        if self.by_age.len() >= self.max_count {
            self.close_oldest();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.by_age.insert(number, address);
        self.by_address.entry(address).or_default().push_back(Idle {
            number,
            connection,
            since: Instant::now(),
        });
    }

    /// Returns the number of idle connections to `address`.
    pub(crate) fn count_to(&self, address: SocketAddr) -> usize {
        self.by_address.get(&address).map_or(0, VecDeque::len)
    }

    /// Closes the connections that have been idle for too long; returns the time at which the next
    /// one has been, or `None` if there are no connections.
    pub(crate) fn close_expired(&mut self) -> Option<Instant> {
        loop {
            let (_, address) = self.by_age.first_key_value()?;
            let since = self.by_address.get(address)?.front()?.since;
            if since.elapsed() < self.age_max {
                return Some(since + self.age_max);
            }
            self.close_oldest();
        }
    }

    fn close_oldest(&mut self) {
        let Some((_, address)) = self.by_age.pop_first() else {
            return;
        };
        if let Some(connections) = self.by_address.get_mut(&address) {
            // The numbers of one address increase from front to back.
            connections.pop_front();
        }
        self.forget_if_empty(address);
    }

    fn forget_if_empty(&mut self, address: SocketAddr) {
        if self
            .by_address
            .get(&address)
            .is_some_and(VecDeque::is_empty)
        {
            self.by_address.remove(&address);
        }
    }
}
