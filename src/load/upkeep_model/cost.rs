//! Time and memory of the maintenance decisions at several fleet sizes, by the real clock.

use std::hint::black_box;
use std::time::Instant;

use serde::Serialize;

use super::deployment::Deployment;
use crate::fleet::Standing;
use crate::lists::MeasureWeights;
use crate::upkeep::budget::{check_stop, BudgetView, RackRule};
use crate::upkeep::buffers::{plan_buffers, BufferView, SurvivedFailure};
use crate::upkeep::demand::{DemandSample, DemandWindow, PoolState};
use crate::upkeep::evidence::MoveEvidence;
use crate::upkeep::keys::InstanceKey;
use crate::upkeep::maintenance::InstanceMaintenance;
use crate::upkeep::moves::{decide_move, MoveSettings, MoveView};
use crate::upkeep::rollout::{propose, Rollout, RolloutSettings, RolloutView};

const SIZES: [u32; 5] = [350, 1_750, 3_500, 7_000, 14_000];

const ROUNDS_COUNT: u32 = 20;

/// Cost of the decisions at one fleet size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CostRow {
    /// Number of instances in the fleet.
    pub instances_count: u32,
    /// Time of one check of a planned stop.
    pub judge_stop_ns: u64,
    /// Time of one change of an instance's standing.
    pub change_ns: u64,
    /// Time of one roll-out proposal, with all instances due.
    pub propose_us: u64,
    /// Time of one buffer plan and one decision on moves.
    pub moves_us: u64,
    /// Memory of the counts and maintenance records, without their heap data.
    pub state_kb: u64,
}

/// Measures the costs at all fleet sizes.
pub fn measure() -> Vec<CostRow> {
    SIZES.into_iter().map(measure_size).collect()
}

fn measure_size(instances_count: u32) -> CostRow {
    let deployment = Deployment::large(instances_count);
    let mut counts = deployment.layout();
    let budgets = deployment.budgets(RackRule::One);
    let keys: Vec<InstanceKey> = counts.members().map(|(key, _)| key).collect();
    let rounds = ROUNDS_COUNT as usize * keys.len();
    let judge_stop_ns = {
        let view = BudgetView {
            counts: &counts,
            budgets: &budgets,
        };
        per_round_ns(rounds, |round| {
            let _ = black_box(check_stop(&view, keys[round % keys.len()]));
        })
    };
    let change_ns = per_round_ns(rounds, |round| {
        let standing = match (round / keys.len()) % 2 {
            0 => Standing::Draining,
            _ => Standing::Serving,
        };
        counts.change(keys[round % keys.len()], standing);
    });
    let view = BudgetView {
        counts: &counts,
        budgets: &budgets,
    };
    CostRow {
        instances_count,
        judge_stop_ns,
        change_ns,
        propose_us: propose_us(view, keys.len()),
        moves_us: moves_us(view, &deployment),
        state_kb: (keys.len() * STATE_BYTES / 1024) as u64,
    }
}

/// Size of the records of one instance, without their heap data.
const STATE_BYTES: usize =
    size_of::<Option<crate::upkeep::counts::Member>>() + size_of::<InstanceMaintenance>();

fn propose_us(budget: BudgetView<'_>, count: usize) -> u64 {
    let upkeep = vec![InstanceMaintenance::default(); count];
    let view = RolloutView {
        budget,
        maintenance: &upkeep,
        rollout: Rollout {
            started_at_unix_ms: 1,
            halted_at_unix_ms: None,
        },
        is_under_pressure: &[],
        now_unix_ms: 2,
    };
    let settings = RolloutSettings {
        ramp_first_count: u32::MAX,
        ..RolloutSettings::default()
    };
    let weights = MeasureWeights::default();
    let round = |_| {
        black_box(propose(&view, &settings, &weights));
    };
    per_round_ns(ROUNDS_COUNT as usize, round) / 1000
}

fn moves_us(budget: BudgetView<'_>, deployment: &Deployment) -> u64 {
    let settings = MoveSettings::default();
    let pools: Vec<PoolState> = deployment
        .pools
        .iter()
        .map(|spec| PoolState {
            demand: full_window(&settings, spec.instances_count),
            is_spare: spec.is_spare,
            move_ms: 1,
            moved_at_unix_ms: None,
            is_moving: false,
        })
        .collect();
    let weights = MeasureWeights::default();
    let mut evidence = MoveEvidence::default();
    let round = |_| {
        let buffer_view = BufferView {
            budget,
            pools: &pools,
        };
        let buffers = plan_buffers(&buffer_view, SurvivedFailure::Rack, &weights);
        let view = MoveView {
            budget,
            pools: &pools,
            buffers: &buffers,
            moves_last_hour_count: 0,
            now_unix_ms: 1,
        };
        let _ = black_box(decide_move(&view, &evidence, &settings, &weights));
        evidence.observe(&view, &settings, &weights);
    };
    per_round_ns(ROUNDS_COUNT as usize, round) / 1000
}

fn full_window(settings: &MoveSettings, instances_count: u32) -> DemandWindow {
    let mut window = DemandWindow::new(settings.samples_count as usize);
    for sample in 0..settings.samples_count {
        window.push(DemandSample {
            busy_instances_milli: instances_count * 2 * sample,
            waited_permille: sample % 1000,
        });
    }
    window
}

fn per_round_ns(rounds_count: usize, mut round: impl FnMut(usize)) -> u64 {
    let start = Instant::now();
    for index in 0..rounds_count {
        round(index);
    }
    let total_ns = start.elapsed().as_nanos() / rounds_count.max(1) as u128;
    u64::try_from(total_ns).unwrap_or(u64::MAX)
}

/// Returns the rows as a table.
pub fn table(rows: &[CostRow]) -> String {
    let mut text =
        String::from("instances_count  judge_stop_ns  change_ns  propose_us  moves_us  state_kb\n");
    for row in rows {
        text.push_str(&format!(
            "{:<15}  {:<13}  {:<9}  {:<10}  {:<8}  {}\n",
            row.instances_count,
            row.judge_stop_ns,
            row.change_ns,
            row.propose_us,
            row.moves_us,
            row.state_kb
        ));
    }
    text
}
