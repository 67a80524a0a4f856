//! Invariants that the simulation checks after each step and at each start.

use std::collections::HashMap;

use hawthornladder::jobs::{Size, StartOrder, TaskName};
use smol_str::{format_smolstr, SmolStr};

use super::simulation::Simulation;

impl Simulation {
    /// Records ends as done that are acknowledged, and checks that their tasks have not been started
    /// since.
    pub(crate) fn note_done(&mut self, settled: &[(TaskName, u64)]) {
        for (name, ended_ms) in settled {
            let spec = &self.submitted[&name.job].spec.steps[usize::from(name.step)];
            let again = self
                .starts
                .iter()
                .find(|(at_ms, _, started)| started == name && at_ms > ended_ms);
            assert!(
                again.is_none() || spec.allows_copies,
                "{name} was done at {ended_ms} and started again: {again:?}"
            );
            self.settled_done.insert(*name);
        }
    }

    pub(crate) fn check_order(&self, order: &StartOrder) {
        let step = &order.spec.steps[usize::from(order.name.step)];
        assert!(
            !self.settled_done.contains(&order.name) || step.allows_copies,
            "{} started after its end as done was acknowledged",
            order.name
        );
        for earlier in &order.spec.steps[usize::from(order.name.step)].after {
            for index in 0..order.spec.steps[usize::from(*earlier)].tasks_count {
                let name = TaskName {
                    step: *earlier,
                    index,
                    ..order.name
                };
                assert!(
                    self.done.contains(&name),
                    "{} started before {name} was done",
                    order.name
                );
            }
        }
    }

    pub(crate) fn check_ticket(&self, order: &StartOrder) {
        let job = &self.submitted[&order.name.job];
        let queue = self.catalog.queues.get(&job.queue);
        let needs_ticket = queue.is_some_and(|queue| queue.needs_tickets);
        let ticket = needs_ticket.then(|| format_smolstr!("ticket-{}", order.target.id));
        assert_eq!(order.ticket, ticket, "wrong ticket for {}", order.name);
    }

    pub(crate) fn check_zone(&self, order: &StartOrder) {
        let zone = &self.workers[&order.target.id].info.zone;
        assert!(
            !self.evacuated.contains(zone),
            "{} was sent to the evacuated {zone}",
            order.name
        );
    }

    pub(crate) fn check(&self) {
        let mut seen: HashMap<TaskName, SmolStr> = HashMap::new();
        let mut teams: HashMap<SmolStr, Size> = HashMap::new();
        for (id, worker) in &self.workers {
            let mut used = Size::default();
            for ((name, _), run) in &worker.running {
                used.add(&run.reservation);
                teams
                    .entry(run.team.clone())
                    .or_default()
                    .add(&run.reservation);
                let spec = &self.submitted[&name.job].spec.steps[usize::from(name.step)];
                let twin = seen.insert(*name, id.clone());
                assert!(
                    twin.is_none() || spec.allows_copies,
                    "{name} runs on {id} and on {twin:?} at {}",
                    self.now_ms
                );
            }
            let capacity = worker.capacity_before.unwrap_or(worker.info.capacity);
            assert!(
                used.fits_with(&Size::default(), &capacity),
                "{id} exceeds its capacity: {used:?}"
            );
        }
        for (team, used) in teams {
            let limit = self.catalog.teams[&team].limit.cpu_millis;
            assert!(
                limit == 0 || used.cpu_millis <= limit,
                "{team} exceeds its limit: {used:?}"
            );
        }
    }
}
