//! How a node measures that its processor has more work than it can do.

use hawthornladder::node::LoopDelay;

#[test]
fn the_delay_of_the_event_loop_follows_a_lasting_overload_and_its_end() {
    let mut delay = LoopDelay::default();
    delay.observe(4, 4);
    assert_eq!(delay.mean_ms(), 0);
    delay.observe(4, 84);
    assert!(delay.mean_ms() < 20, "one late step is no overload");
    for _ in 0..30 {
        delay.observe(4, 84);
    }
    assert!((70..=80).contains(&delay.mean_ms()));
    assert_eq!(delay.take_max_ms(), 80);
    for _ in 0..40 {
        delay.observe(4, 4);
    }
    assert_eq!((delay.mean_ms(), delay.take_max_ms()), (0, 0));
}
