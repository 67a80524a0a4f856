//! Processes of the program under test. Their addresses are read from their output; they are paused
//! and stopped by signals, and do not outlive the test run.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use attohttpc::Method;
use hawthornladder::adapters::http_client::HttpCall;
use hawthornladder::adapters::log_http::{service_call, ServiceTimeouts};
use hawthornladder::stand_in::journal::{Journal, Run};
use serde::Serialize;

/// Longest time that a process may take to start or to end.
pub(crate) const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_STEP: Duration = Duration::from_millis(2);
const LINES_MAX_COUNT: usize = 100_000;

type Spawned = io::Result<Child>;

/// Starts all child processes on one thread that never ends. The kernel kills a child when the
/// thread that started it ends, so that no child outlives a killed test run.
static SPAWNER: LazyLock<flume::Sender<(Command, flume::Sender<Spawned>)>> = LazyLock::new(|| {
    let (requests, incoming) = flume::bounded::<(Command, flume::Sender<Spawned>)>(16);
    thread::spawn(move || {
        for (mut command, reply) in incoming {
            drop(reply.send(command.spawn()));
        }
    });
    requests
});

/// A running process of the program; it is killed and reaped on drop.
pub(crate) struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    collector: Option<JoinHandle<()>>,
    log_path: PathBuf,
}

impl Process {
    /// Starts the program with `args`. Its standard error goes to a log file that is kept if the
    /// test fails.
    pub(crate) fn spawn(name: &str, args: &[&str]) -> Self {
        Self::spawn_with(name, args, &[])
    }

    /// Starts the program like [`Self::spawn`], with additional environment variables.
    pub(crate) fn spawn_with(name: &str, args: &[&str], variables: &[(&str, &str)]) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("hawthornladder-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let log_path = directory.join(format!("{number:03}-{name}.log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornladder"));
        command
            .args(args)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(&log_path).expect("the log file can be created"));
        // SAFETY: prctl is async-signal-safe and touches no memory of the parent.
        unsafe { command.pre_exec(die_with_parent) };
        let (reply, spawned) = flume::bounded(1);
        SPAWNER.send((command, reply)).expect("the spawner runs");
        let mut child = spawned
            .recv()
            .expect("the spawner answers")
            .expect("the program can be started");
        let stdout = child.stdout.take().expect("the output is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let collected = Arc::clone(&lines);
        let collector = thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let mut lines = collected.lock().unwrap();
                if lines.len() < LINES_MAX_COUNT {
                    lines.push(line);
                }
            }
        });
        Self {
            child,
            lines,
            collector: Some(collector),
            log_path,
        }
    }

    /// Returns the lines that were written to the standard output so far.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// Returns all lines of the standard output; the process must have ended.
    pub(crate) fn all_lines(&mut self) -> Vec<String> {
        if let Some(collector) = self.collector.take() {
            collector.join().expect("the collector does not panic");
        }
        self.lines()
    }

    /// Returns the standard error so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Waits for a line of the standard output that contains `part`, and returns it.
    pub(crate) fn wait_for(&mut self, part: &str) -> String {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        loop {
            if let Some(line) = self.lines().into_iter().find(|line| line.contains(part)) {
                return line;
            }
            let exited = self.child.try_wait().expect("the child is ours");
            assert!(
                exited.is_none() && Instant::now() < deadline,
                "no output line contains {part:?}; exit status: {exited:?}\n{}",
                self.log()
            );
            thread::sleep(POLL_STEP);
        }
    }

    /// Waits until the process is ready, and returns the addresses that it printed.
    pub(crate) fn addresses(&mut self) -> Vec<String> {
        self.wait_for("event=ready");
        let lines = self.lines();
        let bound = lines.iter().filter(|line| line.contains("event=bound"));
        bound
            .filter_map(|line| Some(value_of(line, "address")?.to_owned()))
            .collect()
    }

    /// Sends `signal`, such as `libc::SIGTERM`.
    pub(crate) fn signal(&self, signal: libc::c_int) {
        let pid = libc::pid_t::try_from(self.child.id()).expect("process ids are positive");
        // SAFETY: The child has not been reaped, so no other process has its id.
        let status = unsafe { libc::kill(pid, signal) };
        assert_eq!(status, 0, "the signal was not sent");
    }

    /// Pauses the process until [`Self::resume`].
    pub(crate) fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a paused process.
    pub(crate) fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Returns the peak resident memory of the process, in megabytes.
    pub(crate) fn resident_peak_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("the child runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        number.expect("the kernel reports the peak resident memory") / 1_024
    }

    /// Returns the number of open file descriptors of the process.
    pub(crate) fn descriptors_count(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("the child runs").count()
    }

    /// Kills the process without warning and reaps it.
    pub(crate) fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Sends SIGTERM for a graceful stop, and returns the exit status.
    pub(crate) fn terminate(&mut self) -> ExitStatus {
        self.signal(libc::SIGTERM);
        self.wait_for_exit()
    }

    /// Waits until the process ends, and returns the exit status.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        loop {
            match self.child.try_wait().expect("the child is ours") {
                Some(status) => return status,
                None => thread::sleep(POLL_STEP),
            }
            assert!(
                Instant::now() < deadline,
                "the process did not end in time:\n{}",
                self.log()
            );
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if !thread::panicking() {
            drop(fs::remove_file(&self.log_path));
            if let Some(directory) = self.log_path.parent() {
                // Fails while other processes have log files in the directory.
                drop(fs::remove_dir(directory));
            }
        }
    }
}

fn die_with_parent() -> io::Result<()> {
    // SAFETY: The call has no memory arguments.
    match unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Returns the value of `key` in a line of key=value pairs.
pub(crate) fn value_of<'l>(line: &'l str, key: &str) -> Option<&'l str> {
    line.split_whitespace()
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// The stand-ins of the platform as three processes: the log service, the instance list and all
/// workers of a fleet file.
pub(crate) struct StandIns {
    /// The log service.
    pub(crate) log: Process,
    /// Address of the log service.
    pub(crate) log_address: String,
    /// The instance list.
    pub(crate) instances: Process,
    /// Address of the instance list.
    pub(crate) instances_address: String,
    /// The workers.
    pub(crate) workers: Process,
    /// Addresses of the workers.
    pub(crate) worker_addresses: Vec<String>,
}

impl StandIns {
    /// Starts the stand-ins for the fleet file `fleet_path`, with additional arguments for the log.
    pub(crate) fn spawn(fleet_path: &str, log_args: &[&str]) -> Self {
        let mut log = Process::spawn("log", &[&["stand-in", "log"], log_args].concat());
        let mut instances = Process::spawn("instances", &["stand-in", "instances"]);
        let log_address = log.addresses().remove(0);
        let instances_address = instances.addresses().remove(0);
        let args = ["--fleet", fleet_path, "--instances", &instances_address];
        let mut workers =
            Process::spawn("workers", &[&["stand-in", "workers"], &args[..]].concat());
        let worker_addresses = workers.addresses();
        Self {
            log,
            log_address,
            instances,
            instances_address,
            workers,
            worker_addresses,
        }
    }

    /// Returns the runs of all workers so far.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let journals = self.worker_addresses.iter().map(|address| {
            let body = admin_call(address, Method::GET, "/journal", &());
            serde_json::from_slice::<Journal>(&body).expect("workers keep journals")
        });
        journals
            .flat_map(|journal| {
                assert_eq!(journal.dropped_count, 0, "the journal dropped runs");
                journal.runs
            })
            .collect()
    }
}

/// Makes an administrative call to a stand-in, such as `POST /faults`.
pub(crate) fn admin_call<T: Serialize>(
    address: &str,
    method: Method,
    path: &str,
    body: &T,
) -> Vec<u8> {
    let timeouts = ServiceTimeouts {
        connect_ms: 2_000,
        call_ms: 10_000,
    };
    let answer = HttpCall {
        body: Arc::from(serde_json::to_vec(body).expect("bodies encode")),
        answer_max_bytes: 256 * 1_024 * 1_024,
        ..service_call(address, timeouts, method, path.to_owned())
    }
    .send()
    .expect("the stand-in answers");
    assert_eq!(answer.status, 200, "the stand-in refused {path}");
    answer.body
}
