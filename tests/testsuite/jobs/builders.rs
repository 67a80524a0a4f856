//! Jobs, lists and settings for the tests of the engine.

use hawthornladder::jobs::{
    Catalog, EngineSettings, ForecastMethod, JobSpec, Pool, Queue, Size, StepSpec, Team,
};
use smol_str::SmolStr;

/// Age of the list of workers from which its capacities are not used, in milliseconds.
pub(crate) const CAPACITY_AGE_MAX_MS: u64 = 2_000;

/// Most bytes of a record of the store.
pub(crate) const RECORD_MAX_BYTES: usize = 1 << 18;

/// Returns a size with processor time and memory.
pub(crate) fn size(cpu_millis: u64, memory_mb: u64) -> Size {
    Size {
        cpu_millis,
        memory_mb,
        gpu_count: 0,
    }
}

/// Returns a step of `tasks_count` tasks without constraints.
pub(crate) fn step(tasks_count: u32, cpu_millis: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        tasks_count,
        size: size(cpu_millis, 100),
        estimate_ms,
        ..StepSpec::default()
    }
}

/// Returns a step of tasks that run until the job is cancelled.
pub(crate) fn long_running(tasks_count: u32, cpu_millis: u64) -> StepSpec {
    StepSpec {
        is_long_running: true,
        ..step(tasks_count, cpu_millis, 100)
    }
}

/// Returns a job with these steps.
pub(crate) fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "work".to_owned(),
        steps,
        recurrence: None,
    }
}

/// Returns lists with one queue and pool for each name, and a standby pool.
pub(crate) fn catalog(pools: &[&str]) -> Catalog {
    let mut catalog = Catalog {
        version: 1,
        ..Catalog::default()
    };
    for pool in pools {
        let name: SmolStr = (*pool).into();
        let queue = Queue {
            name: name.clone(),
            pool: name.clone(),
            attempts_max: 3,
            target_chain_factor: 1.6,
            target_latency_ms: 600,
            ..Queue::default()
        };
        catalog.queues.insert(name.clone(), queue);
        let pool = Pool {
            enforces_capacity: true,
            ..Pool::default()
        };
        catalog.pools.insert(name, pool);
    }
    let standby = Pool {
        is_standby: true,
        ..Pool::default()
    };
    catalog.pools.insert("standby".into(), standby);
    for name in ["team", "other"] {
        let team = Team {
            name: name.into(),
            // Without a rate; tests of rates set weights of their own.
            weight: 0.0,
            limit: Size::default(),
        };
        catalog.teams.insert(name.into(), team);
    }
    catalog
}

/// Returns these lists in a newer version in which each team has a weight; the others have none.
pub(crate) fn with_weights(catalog: &Catalog, weights: &[(&str, f64)]) -> Catalog {
    let mut catalog = catalog.clone();
    catalog.version += 1;
    for (name, weight) in weights {
        let team = Team {
            name: (*name).into(),
            weight: *weight,
            limit: Size::default(),
        };
        catalog.teams.insert((*name).into(), team);
    }
    catalog
}

/// Returns the settings of the leader with this fence, where tasks take `factor_permille` as long
/// outside the rack of their data.
pub(crate) fn settings_with_factor(fence: u64, factor_permille: u64) -> EngineSettings {
    EngineSettings {
        fence,
        run_lease_ms: 4_000,
        run_lease_max_ms: 10_000,
        poll_wait_ms: 800,
        starts_per_step_max: usize::MAX,
        stop_ms: 200,
        inherited_runs_max_ms: if fence == 1 { 0 } else { 10_200 },
        ended_retention_ms: 120_000,
        move_ms: 1_500,
        maintain_ms: 2_000,
        instance_lease_ms: 3_000,
        earlier_orders_wait_ms: if fence == 1 { 0 } else { 3_000 },
        remote_factor_permille: factor_permille,
        capacity_age_max_ms: CAPACITY_AGE_MAX_MS,
        forecast: ForecastMethod::default(),
        record_max_bytes: RECORD_MAX_BYTES,
    }
}
