//! A pool of threads that grows with the work up to a limit and shrinks when idle. Its channel is
//! bounded; tasks that exceed it are refused.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// Time after which an idle thread ends.
const IDLE_MAX: Duration = Duration::from_secs(10);

/// Stack of a pool's thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// A task for one thread of a pool.
type Task = Box<dyn FnOnce() + Send>;

/// A pool of threads.
#[derive(Clone)]
pub(crate) struct ThreadPool {
    shared: Arc<Shared>,
}

struct Shared {
    name: &'static str,
    threads_max_count: usize,
    threads_count: AtomicUsize,
    idle_count: AtomicUsize,
    sender: flume::Sender<Task>,
    receiver: flume::Receiver<Task>,
}

impl ThreadPool {
    /// Creates a pool without threads.
    pub(crate) fn open(name: &'static str, threads_max_count: usize, channel_len: usize) -> Self {
        let (sender, receiver) = flume::bounded(channel_len);
        let shared = Shared {
            name,
            threads_max_count,
            threads_count: AtomicUsize::new(0),
            idle_count: AtomicUsize::new(0),
            sender,
            receiver,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Queues a task for a thread; returns false if the channel is full.
    pub(crate) fn run(&self, task: impl FnOnce() + Send + 'static) -> bool {
        if self.shared.sender.try_send(Box::new(task)).is_err() {
            return false;
        }
        let waiting_count = self.shared.receiver.len();
        if self.shared.idle_count.load(Ordering::Acquire) < waiting_count {
            self.grow();
        }
        true
    }

    fn grow(&self) {
        let shared = Arc::clone(&self.shared);
        if shared.threads_count.fetch_add(1, Ordering::AcqRel) >= shared.threads_max_count {
            shared.threads_count.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        let spawned = thread::Builder::new()
            .name(shared.name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn({
                let shared = Arc::clone(&shared);
                move || shared.work()
            });
        if spawned.is_err() {
            shared.threads_count.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Shared {
    fn work(&self) {
        loop {
            self.idle_count.fetch_add(1, Ordering::AcqRel);
            let task = self.receiver.recv_timeout(IDLE_MAX);
            self.idle_count.fetch_sub(1, Ordering::AcqRel);
            match task {
                Ok(task) => task(),
                // A task may have been queued while this thread still counted as idle.
                Err(_) if !self.receiver.is_empty() => {}
                Err(_) => break,
            }
        }
        self.threads_count.fetch_sub(1, Ordering::AcqRel);
    }
}
