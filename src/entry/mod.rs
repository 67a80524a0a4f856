//! One entry: the engine, which takes all decisions, and the daemon, whose threads carry them out.

/// Logs one event as `event=NAME key=value ...`.
macro_rules! log_event {
    ($engine:expr, $event:literal $(, $key:ident = $value:expr)* $(,)?) => {
        crate::logging::Event::new($event)
            .with("entry", &$engine.settings.entry)
            $(.with(stringify!($key), &$value))*
            .info()
    };
}

mod admission;
mod calls;
mod contact;
mod counts;
mod daemon;
mod dispatch;
mod endings;
mod engine;
mod escrow;
mod event;
mod exchange;
mod explain;
mod folding;
mod gossip;
mod gossip_pacing;
mod hints;
mod jobs;
mod outcomes;
mod own_seat;
mod proposer;
mod reach;
mod reader;
mod requests;
mod rollout;
mod seat;
mod settings;
mod status;
mod upkeep;
mod workers;

pub use daemon::{entry_name, Entry, EntrySettings};
pub use engine::Engine;
pub use event::{Action, AttemptKey, Event, Now, Source};
pub use explain::Explanation;
pub use gossip::{Demand, Gossip, GossipUsage, PoolLoad};
pub use gossip_pacing::GossipPacing;
pub use reader::LogReader;
pub use settings::EngineSettings;
pub use status::{EntryStatus, TeamStatus};
