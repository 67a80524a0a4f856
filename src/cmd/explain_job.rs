//! `explain job`: reports where a job would start now on the users' platform, and why.

use std::net::SocketAddr;

use clap::{value_parser, Arg, ArgMatches, Command};
use error_stack::Report;
use hawthornladder::adapters::node_client::explain_job;
use hawthornladder::jobs::{JobExplanation, JobQuestion, Size, StartReason, WorkerState};
use hawthornladder::node::ExplainAnswer;
use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::cmd::explain::{number_arg, text, text_arg};
use crate::cmd::{is_json, output_arg, print_line, CmdError, CmdResult, Exit};

/// Makes the command line of `explain job`.
pub(crate) fn make_command() -> Command {
    Command::new("job")
        .about("Explain where a job would start on the nodes' platform, without submitting it")
        .arg(text_arg("queue", "QUEUE", "Queue that the job would be submitted to").required(true))
        .arg(text_arg(
            "team",
            "TEAM",
            "Team whose key the call would carry; none for a queue open to all",
        ))
        .arg(number_arg(
            "cores-milli",
            "1000",
            "Size of a task in thousandths of a core",
        ))
        .arg(number_arg(
            "memory-mb",
            "256",
            "Size of a task in megabytes",
        ))
        .arg(
            Arg::new("tasks")
                .long("tasks")
                .value_name("N")
                .help("Number of tasks")
                .default_value("1")
                .value_parser(value_parser!(u32)),
        )
        .arg(number_arg(
            "estimate-ms",
            "1000",
            "Estimated run time of a task near its data, in milliseconds",
        ))
        .arg(text_arg("near-rack", "RACK", "Rack of the tasks' data"))
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("IP:PORT")
                .help("First internal port of any node; it passes the call on to the leader")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(output_arg())
}

/// Executes `explain job`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let Some(address) = matches.get_one::<SocketAddr>("node").copied() else {
        return Err(Report::new(CmdError::Usage));
    };
    let answer = match explain_job(address, question(matches)) {
        Ok(answer) => answer,
        Err(failure) => {
            print_line(&format!("node {address}: {failure}"))?;
            return Ok(Exit::Unavailable);
        }
    };
    if is_json(matches) {
        print_line(&serde_json::json!(answer).to_string())?;
    } else {
        lines(&answer)
            .iter()
            .try_for_each(|line| print_line(line))?;
    }
    let starts_now = |explained: &JobExplanation| explained.start.first_in_ms == Some(0);
    Ok(match &answer {
        ExplainAnswer::Explained(explained) if starts_now(explained) => Exit::Done,
        ExplainAnswer::Explained(_) | ExplainAnswer::Refused(_) => Exit::Refused,
    })
}

fn question(matches: &ArgMatches) -> JobQuestion {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(0);
    JobQuestion {
        queue: text(matches, "queue"),
        team: text(matches, "team"),
        size: Size {
            cpu_millis: number("cores-milli"),
            memory_mb: number("memory-mb"),
            gpu_count: 0,
        },
        tasks_count: matches.get_one("tasks").copied().unwrap_or(1),
        estimate_ms: number("estimate-ms"),
        near_rack: matches.get_one::<String>("near-rack").map(SmolStr::new),
    }
}

fn lines(answer: &ExplainAnswer) -> Vec<String> {
    let explained = match answer {
        ExplainAnswer::Refused(reason) => return vec![format!("it would be refused: {reason}")],
        ExplainAnswer::Explained(explained) => explained,
    };
    let start = &explained.start;
    let time = |time_ms: Option<u64>| time_ms.map_or("unknown".to_owned(), |ms| format!("{ms} ms"));
    let at_least = if start.is_lower_bound {
        "at least "
    } else {
        ""
    };
    let mut lines = vec![
        format!(
            "pool {}: {} of {} waiting jobs go first; target in {} ms",
            explained.pool,
            explained.jobs_ahead_count,
            explained.waiting_jobs_count,
            explained.target_in_ms
        ),
        format!("workers: {}", counts(&explained.workers)),
    ];
    if !explained.near_workers.is_empty() {
        lines.push(format!(
            "workers in the rack: {}",
            counts(&explained.near_workers)
        ));
    }
    lines.push(format!(
        "first start in {at_least}{}, last start in {at_least}{}: {}",
        time(start.first_in_ms),
        time(start.last_in_ms),
        start.reason
    ));
    match (&start.worker, start.reason) {
        (Some(worker), _) => lines.push(format!("first worker: {worker}")),
        (None, StartReason::WaitsForRack) => lines.push(format!(
            "it waits for the rack for at most {}",
            time(start.wait_max_ms)
        )),
        (None, _) => {}
    }
    lines
}

fn counts(workers: &IndexMap<WorkerState, usize>) -> String {
    let counts: Vec<String> = workers
        .iter()
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    match counts.is_empty() {
        true => "none".to_owned(),
        false => counts.join(", "),
    }
}
