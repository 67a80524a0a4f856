//! The in-memory platform behind the [`Platform`] port, for running the complete system in one
//! process.

use crate::{
    adapters::clock::SystemClock,
    ports::Platform,
    stand_in::{
        instances::MemoryInstances,
        log::MemoryLog,
        workers::{MemoryPlatform, MemoryWorkers},
    },
};

/// A platform in memory that uses the clocks of the machine.
#[derive(Clone, Debug)]
pub struct LocalPlatform {
    memory: MemoryPlatform,
    clock: SystemClock,
}

impl LocalPlatform {
    /// Creates a platform port to `memory`; clones share `memory`.
    pub fn open(memory: MemoryPlatform) -> Self {
        Self {
            memory,
            clock: SystemClock,
        }
    }
}

impl Platform for LocalPlatform {
    type Log = MemoryLog;
    type Instances = MemoryInstances;
    type Workers = MemoryWorkers;
    type Clock = SystemClock;

    fn log(&self) -> &MemoryLog {
        &self.memory.log
    }

    fn instances(&self) -> &MemoryInstances {
        &self.memory.instances
    }

    fn workers(&self) -> &MemoryWorkers {
        &self.memory.workers
    }

    fn clock(&self) -> &SystemClock {
        &self.clock
    }
}
