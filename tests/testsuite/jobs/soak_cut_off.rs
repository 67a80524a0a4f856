//! Cut-off leaders in the soak: an earlier leader lives on without the store while another one leads,
//! and each of them reaches some of the workers. What is sent into the cut is lost, or arrives late.
//! Cuts heal in part, overlap and follow one another, with up to three leaders at once; workers crash
//! and restart meanwhile.
//!
//! `SOAK_SEEDS=100..200 cargo test --test testsuite jobs::soak_cut_off` runs other seeds than those of
//! the CI.

use std::collections::HashSet;
use std::mem;
use std::ops::Range;

use hawthornladder::jobs::TaskName;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use super::cut_off_leader::CutOffLeader;
use super::links::{Link, Reach, LEADER_LEASE_MS};
use super::simulation::{FakeWorker, Simulation, UNIX_MS};
use super::soak::{run_each, seeds_or, Soak};

/// Seeds of every run of the tests.
const SEEDS: Range<u64> = 0..6;
/// Seeds that find a leader that is cut off and takes runs for lost whose leases a later one extends.
const REGRESSION_SEEDS: &[u64] = &[35, 38];
/// Time from the end of a leader's lease until another node may claim it, in milliseconds.
const CLAIM_AFTER_LEASE_MS: u64 = 230;
/// Most leaders that are cut off at once.
const CUT_OFF_MAX_COUNT: usize = 2;
/// Interval between lists, each of which may be left out, in milliseconds.
const LIST_MS: u64 = 500;
/// Longest time after a cut until a call that was held back arrives, in milliseconds.
const LATE_MAX_MS: u64 = 500;
/// Longest time after a cut until a leader learns that another one leads, in milliseconds.
const LEARNS_MAX_MS: u64 = 300;

/// Random cuts.
pub(super) struct Cuts {
    rng: ChaCha8Rng,
    next_cut_ms: u64,
    /// Time at which another leader claims the lease, in milliseconds, and its connections.
    claim: Option<(u64, Link)>,
    /// Times at which leaders that were cut off learn that another one leads, by fence.
    learns_ms: Vec<(u64, u64)>,
    /// Tasks that have lost a worker. They lose no other one, as they would be given up.
    crashed: HashSet<TaskName>,
}

/// What becomes of calls into a cut.
#[derive(Clone, Copy, Debug)]
enum Losses {
    All(Reach),
    Mixed,
}

/// Which of two leaders reaches a worker.
#[derive(Clone, Copy, Debug)]
enum Sides {
    Earlier,
    Next,
    Both,
    Neither,
}

impl Cuts {
    pub(super) fn open(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(48) + 3);
        let next_cut_ms = 1_000 + rng.random_range(500..5_000);
        Self {
            rng,
            next_cut_ms,
            claim: None,
            learns_ms: Vec::new(),
            crashed: HashSet::new(),
        }
    }

    fn change(&mut self, soak: &mut Soak) {
        let now_ms = soak.simulation.now_ms;
        self.heal_in_part(&mut soak.simulation);
        self.end_due(&mut soak.simulation);
        self.claim_if_due(soak);
        self.begin_if_due(&mut soak.simulation);
        self.crash_one(&mut soak.simulation);
        if now_ms % LIST_MS == 0 && self.rng.random_bool(0.5) {
            read_lists(&mut soak.simulation);
            soak.simulation.for_each_cut_off(read_lists);
        }
        let rng = &mut self.rng;
        let delay_ms = || rng.random_range(0..LATE_MAX_MS);
        soak.simulation.release_calls(delay_ms);
    }

    /// Cuts the leader off, unless it already is.
    fn begin_if_due(&mut self, simulation: &mut Simulation) {
        let now_ms = simulation.now_ms;
        let is_possible = self.claim.is_none() && simulation.cut_off.len() < CUT_OFF_MAX_COUNT;
        if now_ms < self.next_cut_ms || !is_possible {
            return;
        }
        self.next_cut_ms = now_ms + self.rng.random_range(1_500..12_000);
        // The append in flight may be stored, although its answer is lost.
        if let Some((records, _)) = simulation.persisting.clone() {
            if !simulation.is_store_unavailable && self.rng.random_bool(0.5) {
                simulation.store(&records);
            }
        }
        let cut_until_ms = now_ms + self.rng.random_range(2_000..12_000);
        let mut next_link = Link::leased(now_ms);
        next_link.cut_until_ms = Some(cut_until_ms);
        next_link.is_cut_from_instances = self.rng.random_bool(0.2);
        let link = &mut simulation.link;
        link.mend();
        link.cut_until_ms = Some(cut_until_ms);
        link.is_cut_from_store = true;
        link.is_cut_from_worker_list = self.rng.random_bool(0.7);
        link.is_cut_from_instances = self.rng.random_bool(0.5);
        self.draw_sides(simulation, &mut next_link);
        let leased_until_ms = simulation.link.leased_until_ms.unwrap_or(now_ms);
        let claim_ms = leased_until_ms + CLAIM_AFTER_LEASE_MS + self.rng.random_range(0..1_500);
        self.claim = Some((claim_ms, next_link));
    }

    /// Draws which leader reaches which worker.
    fn draw_sides(&mut self, simulation: &mut Simulation, next_link: &mut Link) {
        let losses = match self.rng.random_range(0..4) {
            0 => Losses::All(Reach::HeldBack),
            1 => Losses::All(Reach::Dropped),
            _ => Losses::Mixed,
        };
        let overlap = self.rng.random_range(0..4);
        for id in simulation.workers.keys() {
            let [earlier, next] = self.draw_reach(losses, overlap);
            simulation.link.set_reach(id.clone(), earlier);
            next_link.set_reach(id.clone(), next);
        }
        [simulation.link.other_reach, next_link.other_reach] = self.draw_reach(losses, overlap);
    }

    fn draw_reach(&mut self, losses: Losses, overlap: u32) -> [Reach; 2] {
        use Sides::{Both, Earlier, Neither, Next};
        let sides: &[Sides] = match overlap {
            0 => &[Earlier, Next],
            1 => &[Earlier, Next, Both, Neither],
            2 => &[Earlier, Next, Both],
            _ => &[Next, Next, Both, Neither],
        };
        let sides = sides[self.rng.random_range(0..sides.len())];
        let is_reached = match sides {
            Earlier => [true, false],
            Next => [false, true],
            Both => [true, true],
            Neither => [false, false],
        };
        is_reached.map(|is_reached| match is_reached {
            true => Reach::Full,
            false => self.draw_loss(losses),
        })
    }

    fn draw_loss(&mut self, losses: Losses) -> Reach {
        let all = [
            Reach::HeldBack,
            Reach::Dropped,
            Reach::NoConnection,
            Reach::AnswersLost,
        ];
        match losses {
            Losses::All(reach) => reach,
            Losses::Mixed => all[self.rng.random_range(0..all.len())],
        }
    }

    /// Lets some workers be reached again, now and then.
    fn heal_in_part(&mut self, simulation: &mut Simulation) {
        if !self.rng.random_ratio(1, 150) {
            return;
        }
        let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
        let cut_off = simulation.cut_off.iter_mut();
        let mut links: Vec<&mut Link> = cut_off.map(|leader| &mut leader.link).collect();
        links.push(&mut simulation.link);
        let at = self.rng.random_range(0..links.len());
        for id in ids {
            if self.rng.random_bool(0.4) {
                links[at].set_reach(id, Reach::Full);
            }
        }
    }

    /// Ends the cuts that are due. A leader learns some time later that another one leads.
    fn end_due(&mut self, simulation: &mut Simulation) {
        let now_ms = simulation.now_ms;
        let is_over = |link: &Link| link.cut_until_ms.is_some_and(|until_ms| until_ms <= now_ms);
        for leader in &mut simulation.cut_off {
            if is_over(&leader.link) {
                leader.link.mend();
                leader.link.is_cut_from_store = true;
                let learns_ms = now_ms + self.rng.random_range(0..LEARNS_MAX_MS);
                self.learns_ms.push((leader.engine.fence(), learns_ms));
            }
        }
        if is_over(&simulation.link) {
            simulation.link.mend();
            self.claim = None;
        }
        let has_ended = |leader: &CutOffLeader| {
            let fence = leader.engine.fence();
            let mut learns = self.learns_ms.iter();
            let has_learnt = learns.any(|(of, at_ms)| *of == fence && *at_ms <= now_ms);
            has_learnt || leader.engine.has_lost_leadership()
        };
        let (ended, cut_off) = mem::take(&mut simulation.cut_off)
            .into_iter()
            .partition(has_ended);
        simulation.cut_off = cut_off;
        let ended: Vec<CutOffLeader> = ended;
        for mut leader in ended {
            let held_back = leader.link.take_held_back();
            simulation.late_calls.extend(held_back);
        }
    }

    /// Lets another leader begin, unless the store is down.
    fn claim_if_due(&mut self, soak: &mut Soak) {
        let now_ms = soak.simulation.now_ms;
        if soak.simulation.is_store_unavailable {
            return;
        }
        let Some((_, mut link)) = self.claim.take_if(|(claim_ms, _)| *claim_ms <= now_ms) else {
            return;
        };
        soak.fence += 1;
        soak.leaders_since_ms.push(now_ms);
        link.leased_until_ms = Some(now_ms + LEADER_LEASE_MS);
        soak.simulation.succeed(soak.fence, link);
        if self.rng.random_bool(0.5) {
            soak.simulation.list_all();
        }
    }

    /// Crashes or restarts a worker, now and then.
    fn crash_one(&mut self, simulation: &mut Simulation) {
        if !self.rng.random_ratio(1, 300) {
            return;
        }
        let workers = simulation.workers.iter();
        let may_crash = |worker: &FakeWorker| {
            let mut tasks = worker.running.keys().map(|(name, _)| name);
            !worker.is_dead && !tasks.any(|name| self.crashed.contains(name))
        };
        let alive = workers.filter(|(_, worker)| may_crash(worker));
        let alive: Vec<SmolStr> = alive.map(|(id, _)| id.clone()).collect();
        let Some(id) = alive.choose(&mut self.rng) else {
            return;
        };
        let running = simulation.workers[id].running.keys();
        self.crashed.extend(running.map(|(name, _)| *name));
        match self.rng.random_bool(0.5) {
            true => simulation.crash(id),
            false => {
                let started_unix_ms = UNIX_MS + simulation.now_ms;
                simulation.workers[id].restart(started_unix_ms);
            }
        }
    }
}

fn read_lists(simulation: &mut Simulation) {
    simulation.list_all();
    simulation.unlist_dead_workers();
}

impl Soak {
    fn with_cuts(mut self, seed: u64) -> Self {
        self.cuts = Some(Cuts::open(seed));
        self.simulation.link = Link::leased(self.simulation.now_ms);
        self.simulation.loses_unreceived_polls = true;
        self
    }

    /// Begins, heals and ends cuts at random.
    pub(super) fn change_cuts(&mut self) {
        if let Some(mut cuts) = self.cuts.take() {
            cuts.change(self);
            self.cuts = Some(cuts);
        }
    }

    /// Ends all cuts. The calls that were held back arrive.
    pub(super) fn end_cuts(&mut self) {
        let cut_off = self.simulation.cut_off.iter_mut();
        cut_off.for_each(|leader| leader.link.mend());
        self.simulation.link.mend();
        self.simulation.release_calls(|| 0);
        self.simulation.end_cut();
    }
}

/// Guards against a leader that is cut off and starts, beside its successors, tasks that run or are
/// done elsewhere, and against work that is lost between them.
#[test]
fn random_cuts_of_leaders_neither_duplicate_nor_lose_work() {
    let fixed = SEEDS.chain(REGRESSION_SEEDS.iter().copied());
    let seeds = seeds_or(fixed.collect());
    run_each(&seeds, |seed| Soak::open(seed).with_cuts(seed));
}
