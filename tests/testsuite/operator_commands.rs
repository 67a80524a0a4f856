//! The operators' commands against entry processes: publication races and lost answers, keys, the
//! status of entries and explanations.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use attohttpc::Method;
use hawthornladder::adapters::operators_http::{OperatorAnswer, OperatorsServer};
use hawthornladder::entry::EntryStatus;
use serde_json::{json, Value};

use crate::calling::{http, Call};
use crate::cluster::Cluster;
use crate::processes::{admin_call, Process};

/// Exit code and output lines of a command.
struct CommandResult {
    code: Option<i32>,
    lines: Vec<String>,
}

impl CommandResult {
    fn of(mut process: Process) -> Self {
        let code = process.wait_for_exit().code();
        Self {
            code,
            lines: process.all_lines(),
        }
    }

    fn json(&self) -> Value {
        serde_json::from_str(&self.lines[0]).expect("the output is one JSON line")
    }

    fn has(&self, part: &str) -> bool {
        self.lines.iter().any(|line| line.contains(part))
    }
}

fn run(args: &[&str]) -> CommandResult {
    CommandResult::of(Process::spawn("operator", args))
}

/// A copy of the example's lists in which the first plan has the weight `share_weight`.
struct EditedLists {
    plans: String,
    entitlements: String,
}

impl EditedLists {
    fn write(share_weight: u32) -> Self {
        let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/lahore");
        let text =
            fs::read_to_string(example.join("plans.jsonc")).expect("the example can be read");
        let edited = text.replacen(
            "\"share_weight\": 8",
            &format!("\"share_weight\": {share_weight}"),
            1,
        );
        assert_ne!(text, edited, "the example does not have the weight to edit");
        let name = format!("hawthornladder-{}-{share_weight}.jsonc", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, edited).expect("the temporary directory is writable");
        let text = |path: PathBuf| path.to_str().expect("paths are text").to_owned();
        Self {
            plans: text(path),
            entitlements: text(example.join("entitlements.jsonc")),
        }
    }

    fn publish(&self, cluster: &Cluster, operator: &str, from: &str) -> Process {
        let log = &cluster.stand_ins.log_address;
        let lists = ["lists", "publish", &self.plans, &self.entitlements];
        let rest = ["--from", from, "--operator", operator, "--log", log];
        Process::spawn(operator, &[&lists[..], &rest[..]].concat())
    }

    fn diff(&self, cluster: &Cluster) -> CommandResult {
        let log = &cluster.stand_ins.log_address;
        run(&[
            "lists",
            "diff",
            &self.plans,
            &self.entitlements,
            "--log",
            log,
        ])
    }
}

impl Drop for EditedLists {
    fn drop(&mut self) {
        drop(fs::remove_file(&self.plans));
    }
}

fn version_in_force(cluster: &Cluster) -> u64 {
    let log = &cluster.stand_ins.log_address;
    let shown = run(&["lists", "show", "--output", "json", "--log", log]);
    shown.json()["version"]
        .as_u64()
        .expect("a version is shown")
}

#[test]
fn the_loser_of_a_publication_race_learns_the_winner_and_keeps_its_edit() {
    let cluster = Cluster::builder().entries(1).spawn();
    let (first, second) = (EditedLists::write(9), EditedLists::write(10));
    let racing = [
        first.publish(&cluster, "anna", "1"),
        second.publish(&cluster, "bela", "1"),
    ];
    let results = racing.map(CommandResult::of);
    let codes = results.each_ref().map(|result| result.code);
    let (winner, loser) = match codes {
        [Some(0), Some(3)] => ("anna", 1),
        [Some(3), Some(0)] => ("bela", 0),
        other => panic!("expected one winner and one loser, got exit codes {other:?}"),
    };
    assert!(
        results[loser].has("event=race_lost edited_from=1 in_force=2")
            && results[loser].has(&format!("winner={winner}")),
        "{:?}",
        results[loser].lines
    );
    assert_eq!(version_in_force(&cluster), 2);
    // The loser's edit is still in its file: `diff` shows it, and it can be published from version
    // 2.
    let lost = [&first, &second][loser];
    assert!(lost.diff(&cluster).has("share_weight"));
    let again = CommandResult::of(lost.publish(&cluster, "again", "2"));
    assert_eq!(again.code, Some(0), "{:?}", again.lines);
    assert!(again.has("event=published version=3"), "{:?}", again.lines);
}

#[test]
fn a_late_publication_reports_who_published_before() {
    let cluster = Cluster::builder().entries(1).spawn();
    let (first, second) = (EditedLists::write(11), EditedLists::write(12));
    let won = CommandResult::of(first.publish(&cluster, "anna", "1"));
    assert_eq!(won.code, Some(0), "{:?}", won.lines);
    let lost = CommandResult::of(second.publish(&cluster, "bela", "1"));
    assert_eq!(lost.code, Some(3), "{:?}", lost.lines);
    assert!(lost.has("in_force=2 winner=anna"), "{:?}", lost.lines);
}

#[test]
fn a_publication_with_a_lost_answer_is_confirmed_by_reading_the_log() {
    let cluster = Cluster::builder().entries(1).spawn();
    let lists = EditedLists::write(13);
    // The entry appends as well, so all answers are lost until the publication has ended.
    cluster.set_log_faults(&json!({ "answer_lost_count": 1_000 }));
    let result = CommandResult::of(lists.publish(&cluster, "anna", "1"));
    cluster.set_log_faults(&json!({}));
    assert_eq!(result.code, Some(0), "{:?}", result.lines);
    assert!(
        result.has("event=published version=2"),
        "{:?}",
        result.lines
    );
    assert_eq!(version_in_force(&cluster), 2);
    cluster.wait_until("the entry has the new lists in force", |cluster| {
        cluster.entries[0].status().lists_version == 2
    });
}

#[test]
fn a_withdrawal_sent_to_one_entry_is_in_force_everywhere_when_the_command_ends() {
    let cluster = Cluster::builder().spawn();
    let (key_id, key) = cluster.grant("survey-crews");
    let log = &cluster.stand_ins.log_address;
    let entry = &cluster.entries[0].operators_address;
    let withdrawn = run(&["keys", "withdraw", &key_id, "--entry", entry, "--log", log]);
    assert_eq!(withdrawn.code, Some(0), "{:?}", withdrawn.lines);
    assert!(
        withdrawn.has("acknowledged_count=3 is_in_force_everywhere=true"),
        "{:?}",
        withdrawn.lines
    );
    for entry in &cluster.entries {
        let reply = entry.call(&Call::new("delay-maps", &key, 1));
        assert_eq!(reply.kind, "key_withdrawn", "{reply:?}");
    }
    let withdraw = ["keys", "withdraw", "0123456789abcdef", "--entry", entry];
    let unknown = run(&[&withdraw[..], &["--log", log]].concat());
    assert_eq!(unknown.code, Some(1), "{:?}", unknown.lines);
    assert!(unknown.has("is_known=false"), "{:?}", unknown.lines);
}

#[test]
fn status_counts_every_refusal_and_tolerates_an_unresponsive_entry() {
    let cluster = Cluster::builder().entries(2).spawn();
    let entry = &cluster.entries[0];
    let call = Call::new("delay-maps", "", 1);
    assert_eq!(entry.call(&call).kind, "key_missing");
    // This request is refused before it reaches the engine.
    let path = "/v1/queues/delay-maps/call";
    let refused = http(&entry.callers_address, Method::POST, path, b"");
    assert_eq!(refused.expect("the entry answers").status, 400);
    let addresses = [
        &entry.operators_address,
        &cluster.entries[1].operators_address,
    ];
    cluster.wait_until("status shows both refusals", |_| {
        let shown = run(&["status", "--output", "json", "--entry", addresses[0]]);
        let refused = &shown.json()["entries"][0]["status"]["refused"];
        refused["key_missing"] == 1 && refused["malformed_request"] == 1
    });
    let unresponsive = "127.0.0.1:9";
    let shown = run(&[
        "status",
        "--entry",
        addresses[0],
        unresponsive,
        addresses[1],
    ]);
    assert_eq!(shown.code, Some(4), "{:?}", shown.lines);
    for part in [
        "silent_count=1",
        "entry-0",
        "entry-1",
        "university",
        "key_missing",
    ] {
        assert!(shown.has(part), "no {part} in {:?}", shown.lines);
    }
}

#[test]
fn an_entry_with_an_older_version_is_marked_as_behind() {
    let serve = |lists_version| {
        let status = EntryStatus {
            entry: format!("of-{lists_version}").into(),
            lists_version,
            is_serving: true,
            ..EntryStatus::default()
        };
        let handler = move |_| OperatorAnswer::Json {
            status: 200,
            body: json!(status),
        };
        OperatorsServer::bind(([127, 0, 0, 1], 0).into(), Arc::new(handler)).expect("a free port")
    };
    let servers = [serve(4), serve(5)];
    let addresses = servers
        .each_ref()
        .map(|server| server.address().to_string());
    let shown = run(&["status", "--entry", &addresses[0], &addresses[1]]);
    assert_eq!(shown.code, Some(0), "{:?}", shown.lines);
    assert!(shown.has("lists_version=5 is_in_force_everywhere=false"));
    let marked: Vec<&String> = shown
        .lines
        .iter()
        .filter(|line| line.contains("behind"))
        .collect();
    assert!(
        marked.len() == 1 && marked[0].contains("of-4"),
        "{marked:?}"
    );
}

#[test]
fn explanations_name_the_deciding_reason() {
    let cluster = Cluster::builder().entries(1).spawn();
    let entry = cluster.entries[0].operators_address.as_str();
    let explain = |args: &[&str]| run(&[&["explain"], args, &["--entry", entry]].concat());
    let queue = ["request", "--queue", "delay-maps"];
    for (args, code, part) in [
        (&["--team", "survey-crews"][..], 0, "let through at once"),
        (&[], 1, "key_missing:"),
        (&["--team", "university"], 1, "not_entitled:"),
        (
            &["--team", "survey-crews", "--cores-milli", "4001"],
            1,
            "too_large:",
        ),
    ] {
        let result = explain(&[&queue[..], args].concat());
        assert!(
            result.code == Some(code) && result.has(part),
            "{args:?}: {:?} {:?}",
            result.code,
            result.lines
        );
    }
    let stop = explain(&["stop", "no-such-instance"]);
    assert!(
        stop.has("unknown_instance: no instance"),
        "{:?}",
        stop.lines
    );
    let to_nowhere = explain(&[
        "move",
        "maps-01",
        "--to-pool",
        "nowhere",
        "--output",
        "json",
    ]);
    assert_eq!(to_nowhere.json()["is_free"], false);
    let unresponsive = run(&["explain", "stop", "maps-01", "--entry", "127.0.0.1:9"]);
    assert_eq!(unresponsive.code, Some(4), "{:?}", unresponsive.lines);
}

#[test]
fn retried_calls_to_the_platform_and_to_peers_are_counted() {
    let mut cluster = Cluster::builder().entries(2).spawn();
    let is_counted = |reason: &str| {
        let reason = reason.to_owned();
        move |cluster: &Cluster| {
            let retried = cluster.entries[0].status().retried;
            retried.get(reason.as_str()).is_some_and(|count| *count > 0)
        }
    };
    cluster.set_log_faults(&json!({ "answer_lost_count": 20 }));
    cluster.wait_until("a lost append is counted", is_counted("append_lost"));
    cluster.set_log_faults(&json!({ "is_down": true }));
    cluster.wait_until("the log's outage is counted", is_counted("log_unreachable"));
    let instances = &cluster.stand_ins.instances_address;
    admin_call(
        instances,
        Method::POST,
        "/faults",
        &json!({ "is_down": true }),
    );
    cluster.wait_until(
        "the instance list's outage is counted",
        is_counted("instance_list_unreachable"),
    );
    cluster.entries[1].process.kill();
    cluster.wait_until(
        "the unresponsive peer is counted",
        is_counted("peer_silent"),
    );
}
