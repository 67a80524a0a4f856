//! Membership: leases through the log, and what an entry does that hears only a part of the others.

use hawthornladder::error::{ErrorKind, RunState};

use crate::engines::Engines;

#[test]
fn peers_that_are_ahead_do_not_vouch_for_an_older_configuration() {
    let mut engines = Engines::open(3);
    let key = engines.grant("ionosphere-desk");
    // It hears that the others go on, but gets none of what they know.
    engines.nodes[2].is_cut_from_log = true;
    engines.nodes[2].is_fetch_failing = true;
    engines.operate(hawthornladder::ledger::OperatorChange::WithdrawKey {
        key_id: key.key_id.clone(),
    });
    engines.advance(5_000);
    let request = engines.request(&key, true);
    let call = engines.call(2, &request);
    let refusal = engines.refusal(call);
    assert_eq!(
        refusal,
        Some((ErrorKind::ConfigurationStale, RunState::NotRun))
    );
    engines.nodes[2].is_fetch_failing = false;
    engines.advance(2_000);
    let call = engines.call(2, &request);
    let refusal = engines.refusal(call);
    assert_eq!(refusal, Some((ErrorKind::KeyWithdrawn, RunState::NotRun)));
}
