//! The complete system in one process: several entries on an in-memory platform, configured with
//! the lists and the fleet of an example deployment. It can send example requests and check how
//! they ended.

pub mod account;
pub mod callers;
pub mod plan;

use std::{
    fmt, io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

use crate::{
    entry::{Entry, EntrySettings},
    examples::Example,
    findings::Finding,
    fleet::{TeamName, ZoneName},
    fleet_file::FleetFile,
    keys,
    ledger::{KeyRow, ListsPatch, OperatorChange},
    lists::Lists,
    operator::{LedgerReader, ProposalOutcome},
    ports::{Clock, Platform},
    settings,
    stand_in::{
        http::RunningServer, local::LocalPlatform, log::LogLimits, log_server::serve_log,
        workers::MemoryPlatform,
    },
    standalone::{
        account::Account,
        plan::{ExampleRequest, PlanInput},
    },
};

/// Bind address of the servers: a free port of the loopback interface.
const ANY_ADDRESS: &str = "127.0.0.1:0";

/// Longest time until the entries serve requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for running tasks to end after the last answer.
const RUNS_END_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Operator that is recorded for the initial lists and keys.
const OPERATOR: &str = "standalone";

/// Why the deployment could not start.
#[derive(Debug)]
pub enum StartError {
    /// The example's files are invalid.
    Example(Vec<Finding>),
    /// A port cannot be bound or a thread cannot be started.
    System(io::Error),
    /// The lists could not be published or a key could not be granted.
    Log(String),
    /// The entries did not start to serve requests in time.
    NotServing,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Example(findings) => write!(f, "the example's files are invalid: {findings:?}"),
            Self::System(error) => write!(f, "cannot bind a port or start a thread: {error}"),
            Self::Log(why) => write!(f, "cannot publish the lists or grant a key: {why}"),
            Self::NotServing => write!(f, "the entries did not start to serve requests in time"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

/// Addresses of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// Name of the entry.
    pub name: SmolStr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// A running deployment in one process.
pub struct Standalone {
    memory: MemoryPlatform,
    log_server: RunningServer,
    entries: Vec<(SmolStr, Entry<LocalPlatform>)>,
    lists: Lists,
    fleet: FleetFile,
    keys: IndexMap<TeamName, SmolStr>,
}

impl Standalone {
    /// Starts `entries_count` entries on the fleet of `example`, publishes its lists, grants a key
    /// to each team and waits until the lists and keys are in force at every entry.
    ///
    /// # Errors
    ///
    /// Fails if the example is invalid, a port or a thread is unavailable, the log refuses the
    /// lists or a key, or the entries do not serve requests in time.
    pub fn open(example: &Example, entries_count: usize) -> Result<Self, StartError> {
        let ((lists, fleet), _) = example.load().map_err(StartError::Example)?;
        let rows = fleet.instance_rows(|_, name| name.clone());
        let memory = MemoryPlatform::open(rows, LogLimits::default());
        let log_server = serve_log(ANY_ADDRESS, memory.log.clone())?;
        let platform = Arc::new(LocalPlatform::open(memory.clone()));
        let zones: Vec<ZoneName> = fleet.zones.iter().map(|zone| zone.name.clone()).collect();
        let entries = (0..entries_count)
            .map(|index| spawn_entry(example, &platform, index, &zones))
            .collect::<Result<Vec<_>, StartError>>()?;
        let keys = set_up(&platform, &lists)?;
        let standalone = Self {
            memory,
            log_server,
            entries,
            lists,
            fleet,
            keys,
        };
        standalone.wait_until_in_force()?;
        Ok(standalone)
    }

    /// Returns the address at which other commands reach the log.
    pub fn log_address(&self) -> SocketAddr {
        self.log_server.address()
    }

    /// Returns the addresses of the entries.
    pub fn entries(&self) -> Vec<EntryAddresses> {
        let addresses = self.entries.iter().map(|(name, entry)| EntryAddresses {
            name: name.clone(),
            callers: entry.callers_address(),
            peers: entry.peers_address(),
            operators: entry.operators_address(),
        });
        addresses.collect()
    }

    /// Returns the key that was granted to each team.
    pub fn keys(&self) -> &IndexMap<TeamName, SmolStr> {
        &self.keys
    }

    /// Returns the lists that were published at the start.
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    /// Sends `requests_count` example requests, stops the deployment and returns the account.
    pub fn run_requests(self, requests_count: usize, seed: u64) -> Account {
        let outcomes = callers::send_all(&self.callers(), self.draw_requests(requests_count, seed));
        self.wait_for_runs();
        let memory = self.memory.clone();
        self.stop();
        Account::of(&outcomes, &memory.workers.runs())
    }

    /// Stops all entries gracefully; returns how many connections were cut when the drain timed
    /// out.
    pub fn stop(self) -> usize {
        let stopped = self.entries.into_iter();
        stopped.map(|(_, entry)| entry.stop()).sum()
    }

    fn callers(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter();
        entries.map(|(_, entry)| entry.callers_address()).collect()
    }

    fn draw_requests(&self, requests_count: usize, seed: u64) -> Vec<ExampleRequest> {
        let input = PlanInput {
            lists: &self.lists,
            fleet: &self.fleet,
            keys: &self.keys,
            entries_count: self.entries.len(),
            now_unix_ms: LocalPlatform::open(self.memory.clone()).clock().unix_ms(),
        };
        plan::draw_requests(&input, requests_count, seed)
    }

    /// Waits until no task runs, so that the journals are complete.
    fn wait_for_runs(&self) {
        let end = Instant::now() + RUNS_END_TIMEOUT;
        let is_running = || {
            self.memory
                .workers
                .runs()
                .iter()
                .any(|run| run.ending.is_none())
        };
        while is_running() && Instant::now() < end {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until every entry serves requests under the published lists and knows every key.
    fn wait_until_in_force(&self) -> Result<(), StartError> {
        let end = Instant::now() + START_TIMEOUT;
        let keys_count = self.keys.len() as u64;
        let is_in_force = |entry: &Entry<LocalPlatform>| {
            let status = entry.status();
            status.is_serving
                && status.lists_version > 0
                && status.keys_count == keys_count
                && status.live_seats.len() == self.entries.len()
                && !status.instances.is_empty()
        };
        while !self.entries.iter().all(|(_, entry)| is_in_force(entry)) {
            if Instant::now() >= end {
                return Err(StartError::NotServing);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

fn spawn_entry(
    example: &Example,
    platform: &Arc<LocalPlatform>,
    index: usize,
    zones: &[ZoneName],
) -> Result<(SmolStr, Entry<LocalPlatform>), StartError> {
    let file = format!("examples/{}/entry.jsonc", example.name);
    let (mut settings, _) =
        settings::check_text(&file, example.entry).map_err(StartError::Example)?;
    let any_address: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.callers_address = any_address;
    settings.peers_address = any_address;
    settings.operators_address = any_address;
    // As in a real deployment, the entries are spread over the availability zones.
    if let Some(zone) = zones.get(index % zones.len().max(1)) {
        settings.zone = zone.clone();
    }
    let name = format_smolstr!("entry-{}", index + 1);
    let incarnation = Uuid::now_v7().simple().to_string();
    let entry = Entry::spawn(
        EntrySettings::from_settings(&settings, &name),
        Arc::clone(platform),
        &incarnation,
    )?;
    Ok((name, entry))
}

/// Publishes the lists and grants a key to each team; returns the keys.
fn set_up(
    platform: &LocalPlatform,
    lists: &Lists,
) -> Result<IndexMap<TeamName, SmolStr>, StartError> {
    let mut reader = LedgerReader::open(platform.log(), START_TIMEOUT)
        .map_err(|error| StartError::Log(error.to_string()))?;
    let patch = ListsPatch::between(&reader.ledger().lists, lists);
    let publish = OperatorChange::Publish {
        base_version: reader.ledger().lists_version,
        patch: Box::new(patch),
    };
    propose(&mut reader, publish)?;
    let mut granted = IndexMap::new();
    for team in &lists.plans.teams {
        let key = keys::generate();
        let grant = OperatorChange::GrantKey {
            key_id: key.key_id.clone(),
            row: KeyRow {
                team: team.name.clone(),
                digest: key.digest.clone(),
                is_withdrawn: false,
            },
        };
        propose(&mut reader, grant)?;
        granted.insert(team.name.clone(), key.text);
    }
    Ok(granted)
}

fn propose(reader: &mut LedgerReader<'_>, change: OperatorChange) -> Result<(), StartError> {
    match reader.propose(OPERATOR, change, START_TIMEOUT) {
        ProposalOutcome::Accepted { .. } => Ok(()),
        settled => Err(StartError::Log(format!("{settled:?}"))),
    }
}
