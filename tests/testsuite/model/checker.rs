//! The checker: breadth-first search by `pathfinding` over all reachable states.

use std::cell::Cell;
use std::fmt::Write;
use std::hash::{Hash, Hasher};

use pathfinding::prelude::bfs;

/// Maximum number of states; a test fails if its specification has more.
const STATES_MAX_COUNT: usize = 1_500_000;

/// A step: the action, the index of the process or object that it concerns, and the resulting
/// state.
pub(crate) type Step<S> = (&'static str, u8, S);

/// Result of an exploration.
pub(crate) struct Explored {
    pub(crate) states_count: usize,
    pub(crate) depth: u32,
    /// Number of states in which the protocol has reached its goal.
    pub(crate) done_count: usize,
    /// The shortest path to a violation, if there is one.
    pub(crate) violation: Option<String>,
}

#[derive(Clone)]
struct Node<S> {
    state: S,
    depth: u32,
    step: (&'static str, u8),
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Explores all states that can be reached from `start` until `violation_of` reports one. `is_done`
/// marks the states in which the protocol has reached its goal.
pub(crate) fn explore<S: Clone + Eq + Hash>(
    start: S,
    next: impl Fn(&S) -> Vec<Step<S>>,
    violation_of: impl Fn(&S) -> Option<&'static str>,
    is_done: impl Fn(&S) -> bool,
) -> Explored {
    let states_count = Cell::new(0);
    let depth = Cell::new(0);
    let done_count = Cell::new(0);
    let start = Node {
        state: start,
        depth: 0,
        step: ("start", 0),
    };
    let successors = |node: &Node<S>| {
        states_count.set(states_count.get() + 1);
        depth.set(depth.get().max(node.depth));
        done_count.set(done_count.get() + usize::from(is_done(&node.state)));
        assert!(
            states_count.get() <= STATES_MAX_COUNT,
            "more than {STATES_MAX_COUNT} states"
        );
        let depth = node.depth + 1;
        let to_node = move |(action, target, state)| Node {
            state,
            depth,
            step: (action, target),
        };
        next(&node.state).into_iter().map(to_node)
    };
    let path = bfs(&start, successors, |node| {
        violation_of(&node.state).is_some()
    });
    let violation = path.map(|path| {
        let last = path.last().and_then(|node| violation_of(&node.state));
        trace(last.unwrap_or(""), &path)
    });
    Explored {
        states_count: states_count.get(),
        depth: depth.get(),
        done_count: done_count.get(),
        violation,
    }
}

fn trace<S>(violation: &str, path: &[Node<S>]) -> String {
    let mut text = format!("{violation}, after");
    for node in path {
        // Writing to a string does not fail.
        let _ = write!(text, " {}({})", node.step.0, node.step.1);
    }
    text
}

/// Prints the size of an exploration and fails if it found a violation or never reached the goal.
pub(crate) fn assert_holds(name: &str, explored: &Explored) {
    println!(
        "model {name}: states={} depth={} done={}",
        explored.states_count, explored.depth, explored.done_count
    );
    assert!(
        explored.done_count > 0,
        "the protocol never reached its goal"
    );
    assert!(
        explored.violation.is_none(),
        "violation: {:?}",
        explored.violation
    );
}

/// Fails unless the exploration with a disabled guard found `expected`.
pub(crate) fn assert_found(name: &str, explored: &Explored, expected: &str) {
    let violation = explored.violation.as_deref().unwrap_or("nothing");
    println!(
        "model {name}: states={} depth={} found: {violation}",
        explored.states_count, explored.depth
    );
    assert!(
        violation.starts_with(expected),
        "expected {expected:?}, found {violation:?}"
    );
}
