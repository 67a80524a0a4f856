//! Clients of an entry: the bodies of all calls share the bound of its settings.

use super::crowd::{head, unfinished_chunks, Crowd};
use super::run_alone;
use crate::calling::Call;
use crate::small_cluster;

const BODY_MAX_BYTES: usize = 8 << 20;
const BODIES_MAX_BYTES: usize = 48 << 20;
const CHUNK_BYTES: usize = 16 << 10;
const CLIENTS_COUNT: usize = 30;
/// Memory of the instance, in megabytes: for the bodies, and as much for everything else.
const MEMORY_MB: u64 = 96;

#[test]
fn bodies_of_an_entry_take_the_memory_of_their_bytes() {
    let settings = format!(
        "\"body_max_bytes\": {BODY_MAX_BYTES}, \"answer_max_bytes\": {BODY_MAX_BYTES}, \
         \"bodies_max_bytes\": {BODIES_MAX_BYTES},"
    );
    let cluster = small_cluster::spawn(1, &settings);
    let entry = &cluster.entries[0];
    let (_, key) = cluster.grant("desk");
    run_alone(async {
        let address = entry.callers_address.parse().expect("an address");
        let start = head("POST", "/v1/queues/maps/call", address, "none");
        let start = format!("{start}authorization: Bearer {key}\r\nx-idempotent: true\r\n");
        let chunks_count = BODY_MAX_BYTES / CHUNK_BYTES - 1;
        let request = unfinished_chunks(&start, chunks_count, CHUNK_BYTES);
        let crowd = Crowd::gather(address, CLIENTS_COUNT, &request).await;
        assert!(crowd.written_bytes() > BODIES_MAX_BYTES / 2);
        let peak_mb = entry.process.resident_peak_mb();
        println!("resident peak {peak_mb} MB");
        assert!(peak_mb < MEMORY_MB, "{peak_mb} MB of {MEMORY_MB} MB");
        drop(crowd);
        cluster.wait_until("an ordinary call is answered", |_| {
            entry.call(&Call::new("maps", &key, 5)).is_done()
        });
    });
}
