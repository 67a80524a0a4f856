//! Hints exchanged with peers: demand, load and usage of each entry's own requests.

use indexmap::IndexMap;

use crate::{
    entry::{
        engine::Engine,
        gossip::{Gossip, GossipUsage, PoolLoad},
        requests::Request,
    },
    fleet::PoolName,
    policy::{keys::PeerKey, share::UsageRow},
};

impl Engine {
    pub(crate) fn apply_peer_usage(&mut self, peer: PeerKey, gossip: &Gossip) {
        let rows: Vec<UsageRow> = gossip
            .usage
            .iter()
            .filter_map(|row| {
                let pool = self.ledger.instances.pool_key(&row.pool)?;
                Some(UsageRow {
                    team: self.team_slot(&row.team),
                    pool,
                    running: row.running,
                    running_count: row.running_requests,
                    waiting_count: row.waiting_requests,
                })
            })
            .collect();
        self.usage.apply_peer_report(self.now.mono_ms, peer, rows);
    }

    /// Returns this entry's own requests by pool.
    pub(crate) fn pool_loads(&self) -> IndexMap<PoolName, PoolLoad> {
        let mut loads: IndexMap<PoolName, PoolLoad> = IndexMap::new();
        for attempt in self.requests.may_run() {
            let load = loads.entry(attempt.pool_name.clone()).or_default();
            load.running_requests += 1;
        }
        let waiting = self.requests.iter().map(|(_, request)| request);
        for request in waiting.filter(|request| request.is_waiting()) {
            let Some(pool) = request.waiting.pools.first() else {
                continue;
            };
            let load = loads.entry(self.pool_name(*pool)).or_default();
            load.waiting_requests += 1;
            load.waited_permille = load.waited_permille.max(self.waited_permille(request));
        }
        loads
    }

    /// Returns the part of its time to start that a request has used up by waiting, in thousandths.
    pub(crate) fn waited_permille(&self, request: &Request) -> u32 {
        let waiting = &request.waiting;
        let waited_ms = self.now.mono_ms.saturating_sub(waiting.enqueued_ms);
        let plan = self.ledger.lists.plan_of(&request.team);
        let start_ms = match plan.filter(|_| waiting.is_urgent) {
            Some(plan) => plan.start_target_ms,
            None => waiting.deadline_ms.saturating_sub(waiting.enqueued_ms),
        };
        let permille = waited_ms * 1_000 / start_ms.max(1);
        permille.min(1_000) as u32
    }

    /// Returns the gossip to send to peers now.
    pub fn gossip(&self) -> Gossip {
        let usage = self
            .wait
            .report_rows(&self.usage)
            .into_iter()
            .map(|row| GossipUsage {
                team: row
                    .team
                    .and_then(|team| self.teams.get_index(team.0 as usize).cloned())
                    .unwrap_or_default(),
                pool: self.pool_name(row.pool),
                running: row.running,
                running_requests: row.running_count,
                waiting_requests: row.waiting_count,
            })
            .collect();
        Gossip {
            seat: self.seat.clone(),
            entry: self.settings.entry.clone(),
            peers_address: self.settings.peers_address.clone(),
            next_offset: self.ledger.next_offset,
            lists_version: self.ledger.lists_version,
            is_ready: self.is_serving(),
            is_draining: self.is_draining,
            is_list_stale: self.is_list_stale(),
            withdrawn: self.withdrawn.iter().cloned().collect(),
            demand: self.escrow.demand(self.now.mono_ms),
            pools: self.pool_loads(),
            usage,
        }
    }
}
