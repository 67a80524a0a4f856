//! The command `standalone`: the complete system in one process.

use crate::processes::{value_of, Process};

const REQUESTS: &str = "300";

/// Runs the program and returns the account that it printed.
fn account_of(args: &[&str]) -> String {
    let args = [&["standalone", "--requests", REQUESTS], args].concat();
    let mut process = Process::spawn("standalone", &args);
    let status = process.wait_for_exit();
    let lines = process.all_lines();
    let accounts: Vec<&String> = lines
        .iter()
        .filter(|line| line.contains("requests="))
        .collect();
    assert_eq!(accounts.len(), 1, "{lines:?}");
    let account = accounts[0].clone();
    assert!(status.success(), "{account}\n{}", process.log());
    account
}

fn assert_fault_free(account: &str) {
    let number = |key| {
        let value = value_of(account, key).expect("every count is printed");
        value.parse::<u64>().expect("counts are numbers")
    };
    assert!(account.starts_with("requests=300 answered="), "{account}");
    assert!(account.contains(" lost=0 doubled=0 crossed=0"), "{account}");
    assert_eq!(
        number("answered") + number("refused"),
        number("requests"),
        "{account}"
    );
    // The generated requests contain both kinds; a run with only one kind would test too little.
    assert!(number("answered") > 200, "{account}");
    assert!(number("refused") > 10, "{account}");
}

#[test]
fn example_requests_are_each_answered_or_refused_once() {
    assert_fault_free(&account_of(&["--seed", "11"]));
}

#[test]
fn the_second_example_works_with_five_entries() {
    assert_fault_free(&account_of(&[
        "--seed",
        "12",
        "--example",
        "denmark",
        "--entries",
        "5",
    ]));
}

#[test]
fn it_serves_other_commands_until_it_is_stopped() {
    let mut process = Process::spawn("standalone", &["standalone"]);
    process.wait_for("event=ready");
    let lines = process.lines();
    let address_of = |role: &str| {
        let line = lines.iter().find(|line| line.contains(role));
        value_of(line.expect("every role is printed"), "address")
            .expect("the line holds an address")
    };
    let mut status = Process::spawn(
        "status",
        &["status", "--entry", address_of("role=operators")],
    );
    assert!(status.wait_for_exit().success(), "{}", status.log());
    let mut keys = Process::spawn("keys", &["keys", "list", "--log", address_of("role=log")]);
    assert!(keys.wait_for_exit().success(), "{}", keys.log());
    assert_eq!(keys.all_lines().len(), 6, "each team has one key");
    assert!(process.terminate().success(), "{}", process.log());
}
