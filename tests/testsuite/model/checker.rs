//! The checker: breadth-first search by `pathfinding` over every state that can be reached.

use std::cell::Cell;
use std::fmt::Write;
use std::hash::{Hash, Hasher};

use pathfinding::prelude::bfs;

/// States at most; a specification that has more is not explored whole, which fails its test.
const STATES_MAX_COUNT: usize = 1_500_000;

/// A step: what happened, to which process or thing, and the state after it.
pub(crate) type Step<S> = (&'static str, u8, S);

/// What an exploration found.
pub(crate) struct Explored {
    pub(crate) states_count: usize,
    pub(crate) depth: u32,
    /// States in which the protocol had reached what it is for.
    pub(crate) done_count: usize,
    /// The shortest way to a violation, if there is one.
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

/// Explores every state from `start` on until `violation_of` names one. `is_done` marks the states
/// that show that the protocol gets somewhere.
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
        assert!(states_count.get() <= STATES_MAX_COUNT, "too many states");
        let depth = node.depth + 1;
        let to_node = move |(what, whom, state)| Node {
            state,
            depth,
            step: (what, whom),
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

/// Prints the size of an exploration and fails if it found a violation or never got anywhere.
pub(crate) fn assert_holds(name: &str, explored: &Explored) {
    println!(
        "model {name}: states={} depth={} done={}",
        explored.states_count, explored.depth, explored.done_count
    );
    assert!(explored.done_count > 0, "the protocol got nowhere");
    assert!(explored.violation.is_none(), "{:?}", explored.violation);
}

/// Fails unless the exploration with a broken guard found `expected`.
pub(crate) fn assert_found(name: &str, explored: &Explored, expected: &str) {
    let violation = explored.violation.as_deref().unwrap_or("nothing");
    println!(
        "model {name}: states={} depth={} found: {violation}",
        explored.states_count, explored.depth
    );
    assert!(violation.starts_with(expected), "found {violation}");
}
