//! Properties of the stand-in worker's state machine under random sequences of attempts,
//! cancellations, freezes and reboots.

use hawthornladder::stand_in::journal::peak_running_by_team;
use hawthornladder::stand_in::worker_state::{WorkerFaults, WorkerState};
use hawthornladder::stand_in::workers::worker_settings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::platform_instances::row;
use crate::platform_workers::attempt;

#[derive(Clone, Debug)]
enum Step {
    Start {
        attempt: u8,
        run_ms: u64,
        lease_ms: u64,
        cores_milli: u64,
    },
    Cancel(u8),
    Freeze(bool),
    Reboot,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..40u8, 0..30u64, 1..40u64, 0..5_000u64).prop_map(
            |(attempt, run_ms, lease_ms, cores_milli)| Step::Start { attempt, run_ms, lease_ms, cores_milli }
        ),
        2 => (0..40u8).prop_map(Step::Cancel),
        1 => any::<bool>().prop_map(Step::Freeze),
        1 => Just(Step::Reboot),
        4 => (0..20u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn within_a_boot_an_attempt_runs_once_and_slots_and_capacity_hold(
        steps in prop::collection::vec(step(), 1..60)
    ) {
        let settings = worker_settings(&row("w1", "w1"));
        let mut state = WorkerState::new(settings.clone());
        let mut now_us = 1_000_000;
        let mut boots = 1;
        for step in steps {
            match step {
                Step::Start { attempt: id, run_ms, lease_ms, cores_milli } => {
                    let mut request = attempt(&id.to_string(), format!(r#"{{"run_ms":{run_ms}}}"#).as_bytes());
                    request.incarnation = format!("w1.{boots}").into();
                    request.lease_ms = lease_ms;
                    request.size.cores_milli = cores_milli;
                    let _ = state.start(&request, now_us);
                }
                Step::Cancel(id) => {
                    state.cancel(&id.to_string(), now_us);
                }
                Step::Freeze(is_frozen) => {
                    state.set_faults(WorkerFaults { is_frozen, ..WorkerFaults::default() }, now_us);
                }
                Step::Reboot => {
                    boots += 1;
                    state.end_boot(now_us);
                    let mut next = settings.clone();
                    next.incarnation = format!("w1.{boots}").into();
                    state.begin_boot(next);
                }
                Step::Wait(ms) => now_us += ms * 1_000,
            }
            now_us += 1;
            prop_assert!(state.status(now_us).running_count <= settings.slots_count);
        }
        state.set_faults(WorkerFaults::default(), now_us);
        let journal = state.journal(now_us + 1_000_000_000);
        prop_assert!(journal.runs.iter().all(|run| run.ending.is_some()));
        prop_assert!(journal.runs.iter().all(|run| run.ended_unix_us >= Some(run.started_unix_us)));
        let mut started: Vec<_> = journal.runs.iter().map(|run| (&run.incarnation, &run.attempt_id)).collect();
        started.sort_unstable();
        prop_assert!(started.windows(2).all(|pair| pair[0] != pair[1]));
        let peaks = peak_running_by_team(&journal.runs);
        prop_assert!(peaks.values().all(|&peak| peak <= settings.slots_count));
    }
}
