//! Keys: a withdrawn key stops within seconds everywhere and never comes back.

use hawthornladder::entry::Event;
use hawthornladder::error::ErrorKind;

use crate::engines::Engines;

#[test]
fn a_fresh_engine_does_not_take_a_key_that_its_peers_know_as_withdrawn() {
    let mut engines = Engines::open(3);
    let key = engines.grant("ionosphere-desk");
    engines.is_log_down = true;
    engines.advance(500);
    let key_id = key.key_id.clone();
    engines.step(0, Event::Withdraw { key_id });
    engines.advance(1_000);
    let fresh = engines.add();
    // The log answers the fresh engine before the others have put the withdrawal on record.
    for node in &mut engines.nodes[..3] {
        node.is_cut_from_log = true;
    }
    engines.is_log_down = false;
    for _ in 0..50 {
        let request = engines.request(&key, true);
        let call = engines.call(fresh, &request);
        let refusal = engines.refusal(call).map(|row| row.0);
        let is_refused = matches!(
            refusal,
            Some(ErrorKind::EntryNotReady | ErrorKind::KeyUnknown | ErrorKind::KeyWithdrawn)
        );
        assert!(is_refused, "{refusal:?}");
        engines.advance(20);
    }
}
