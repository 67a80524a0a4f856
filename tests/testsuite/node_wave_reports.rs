//! Reports on waves against a store that carries out some appends only seconds later.

use std::rc::Rc;
use std::time::Duration;

use hawthornladder::net::{Client, ClientSettings};
use hawthornladder::node::{StoreFailure, WaveReport};
use hawthornladder::platform::status;
use hawthornladder::platform::store::{self, Topic};
use tokio::time::sleep;

use crate::node_soak::http_server::Server;
use crate::node_soak::store::{Store, StoreFault};

/// Timeout of a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 500;
/// Time after which all appends have been carried out.
const CARRIED_OUT: Duration = Duration::from_millis(4_000);
const WAVE: u64 = 7;

async fn report(store: &store::Store, is_complete: bool) -> Result<u64, StoreFailure> {
    let report = WaveReport {
        wave: WAVE,
        is_complete,
    };
    status::report_wave(store, report, 0, || true).await
}

/// Reports that a wave is complete this long after a report without an answer.
async fn check_late_report(pause: Duration) {
    let stand_in = Rc::new(Store::default());
    let answering = Rc::clone(&stand_in);
    let answer = move |call| Rc::clone(&answering).answer(call);
    let server = Server::bind(([127, 0, 0, 1], 0).into(), answer).await;
    let client = Client::open(ClientSettings {
        idle_max_count: 4,
        idle_age_max_ms: 1_000,
    });
    let store = store::Store::open(client, server.address());
    stand_in.set_fault(StoreFault::Late(1));
    assert_eq!(report(&store, false).await, Err(StoreFailure::Lost));
    stand_in.set_fault(StoreFault::None);
    sleep(pause).await;
    assert!(report(&store, true).await.is_ok());
    sleep(CARRIED_OUT).await;
    let (records, _) = store
        .read_newest(Topic::Status, READ_TIMEOUT_MS)
        .await
        .expect("the store answers");
    let value = records[0].value.clone().expect("a report");
    assert_eq!(
        String::from_utf8(value).expect("text"),
        r#"{"state":"complete"}"#
    );
}

/// Guards against a wave that is shown as in progress for ever: the store carries out an earlier report
/// after the one that the wave is complete, which is not repeated.
#[test]
fn a_report_that_is_carried_out_late_replaces_no_newer_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    for pause in [Duration::ZERO, CARRIED_OUT] {
        tokio::task::LocalSet::new().block_on(&runtime, check_late_report(pause));
    }
}
