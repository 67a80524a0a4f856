//! The cuts between nodes, workers and the platform. A node, a worker or the platform is at a place;
//! a message between two places is delivered unless a cut separates them.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use super::http_server::silence;

/// Names of the zones.
pub(crate) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Longest time until a message that was held back is sent again after a cut, in milliseconds.
const RESEND_MAX_MS: u64 = 500;

/// Share of the messages that a lossy cut drops.
const LOST_SHARE: f64 = 0.25;

/// A place in the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// A node, by its number.
    Node(usize),
    /// A worker in the zone with this number.
    WorkerOfZone(usize),
    /// The store and the list of instances.
    Platform,
}

/// Returns the zone of a node or a worker.
pub(crate) fn zone_of(number: usize) -> usize {
    number % ZONES.len()
}

impl Place {
    fn is_in_zone(self, zone: usize) -> bool {
        match self {
            Self::Node(number) => zone_of(number) == zone,
            Self::WorkerOfZone(own) => own == zone,
            Self::Platform => false,
        }
    }
}

/// What a cut separates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutScope {
    /// A zone from everything outside it.
    Zone(usize),
    /// A node from the platform.
    NodeFromPlatform(usize),
    /// The workers of a zone from everything else.
    Workers(usize),
}

/// Direction of the messages that a cut affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// Both directions.
    Both,
    /// Only messages from the zone or the node that is cut off.
    Outgoing,
    /// Only messages to it.
    Incoming,
}

impl CutScope {
    fn separates(self, direction: Direction, from: Place, to: Place) -> bool {
        let is_outgoing = self.is_way_out(from, to);
        let is_incoming = self.is_way_out(to, from);
        match direction {
            Direction::Both => is_outgoing || is_incoming,
            Direction::Outgoing => is_outgoing,
            Direction::Incoming => is_incoming,
        }
    }

    fn is_way_out(self, from: Place, to: Place) -> bool {
        match self {
            Self::Zone(zone) => from.is_in_zone(zone) && !to.is_in_zone(zone),
            Self::NodeFromPlatform(number) => from == Place::Node(number) && to == Place::Platform,
            Self::Workers(zone) => from == Place::WorkerOfZone(zone) && to != from,
        }
    }
}

/// What happens to messages that meet a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// They are dropped, and with them all else of their connection.
    Dropped,
    /// They are delivered after the cut.
    HeldBack,
    /// Some are dropped, the others are delivered at once.
    Lossy,
}

struct Cut {
    number: u64,
    scope: CutScope,
    direction: Direction,
    fate: Fate,
    /// Closes when the cut ends.
    end: watch::Sender<()>,
}

impl Cut {
    fn separates(&self, from: Place, to: Place) -> bool {
        self.scope.separates(self.direction, from, to)
    }
}

/// The network between nodes, workers and the platform.
pub(crate) struct Network {
    cuts: RefCell<Vec<Cut>>,
    cuts_count: Cell<u64>,
    random: RefCell<ChaCha8Rng>,
}

impl Network {
    /// Creates a network without cuts.
    pub(crate) fn open(seed: u64) -> Self {
        Self {
            cuts: RefCell::default(),
            cuts_count: Cell::new(0),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Cuts `scope` off for this time.
    pub(crate) async fn cut(
        &self,
        scope: CutScope,
        direction: Direction,
        fate: Fate,
        lasts: Duration,
    ) {
        let (end, _) = watch::channel(());
        let number = self.cuts_count.get();
        self.cuts_count.set(number + 1);
        self.cuts.borrow_mut().push(Cut {
            number,
            scope,
            direction,
            fate,
            end,
        });
        tokio::time::sleep(lasts).await;
        self.cuts.borrow_mut().retain(|cut| cut.number != number);
    }

    /// Returns whether no message between these places arrives now.
    pub(crate) fn is_cut(&self, from: Place, to: Place) -> bool {
        let cuts = self.cuts.borrow();
        cuts.iter()
            .any(|cut| cut.fate != Fate::Lossy && cut.separates(from, to))
    }

    /// Delivers a message; returns `None` if it was dropped.
    pub(crate) async fn deliver(&self, from: Place, to: Place) -> Option<()> {
        while let Some((fate, mut ended)) = self.first_cut(from, to) {
            let is_lost = self.random.borrow_mut().random_bool(LOST_SHARE);
            match fate {
                Fate::Lossy if !is_lost => return Some(()),
                Fate::Lossy | Fate::Dropped => silence::<()>().await?,
                Fate::HeldBack => {}
            }
            // The sender is dropped when the cut ends.
            let _ = ended.changed().await;
            let resend_ms = self.random.borrow_mut().random_range(0..RESEND_MAX_MS);
            tokio::time::sleep(Duration::from_millis(resend_ms)).await;
        }
        Some(())
    }

    fn first_cut(&self, from: Place, to: Place) -> Option<(Fate, watch::Receiver<()>)> {
        let cuts = self.cuts.borrow();
        let cut = cuts.iter().find(|cut| cut.separates(from, to))?;
        Some((cut.fate, cut.end.subscribe()))
    }
}
