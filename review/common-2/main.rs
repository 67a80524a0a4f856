//! The cases of the review that are scripts. `cases NAME FOLDER ROOT` plays one, writes `record.txt` into
//! FOLDER, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With TROUBLE=0 in the environment the same is played without the disruption.

mod kit;

use std::process::exit;
use std::sync::Arc;

use kit::{ask, manifest, pause_ms, state_of, submit, submit_timed, unix_ms, Json, Log, Mood, Nodes, Work, World, ADVISED, PUBLIC, QUEUE};

const NODES: usize = 3;
const MACHINES: usize = 8;
const ADVISED_MACHINES: usize = 40;

/// What a case found.
enum Verdict {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

struct Stage {
    world: Arc<World>,
    nodes: Nodes,
    has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, root] = &arguments[..] else {
        eprintln!("cases NAME FOLDER ROOT");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let log = Log::open(&format!("{folder}/record.txt"));
    log.line(&format!("case {name}, with the disruption: {has_trouble}"));
    let machines_count = if name == "advice" { ADVISED_MACHINES } else { MACHINES };
    let world = World::open(log, "lovo22d", machines_count);
    world.store.put("keyed.op", "config", &manifest("lovo22d"));
    let nodes = Nodes::start(&world, root, NODES);
    kit::end_after(115_000);
    let mut stage = Stage { world, nodes, has_trouble };
    pause_ms(4_000);
    let play = || match name.as_str() {
        _ if stage.nodes.callers.len() < NODES => Verdict::CouldNotRun("the nodes did not start".to_owned()),
        "cut-off" => cut_off(&stage),
        "not-restarted" => not_restarted(&stage),
        "advice" => advice(&stage),
        "upkeep" => upkeep(&stage),
        "pending" => pending(&stage),
        _ => Verdict::CouldNotRun("there is no such case".to_owned()),
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let verdict = played.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in failed".to_owned()));
    let words = ["start_sent", "leader_lease_over", "task_blamed", "task_given_up", "worker_crashed", "worker_reserved", "leadership", "job_ended", "job_accepted", "call_answered call=submit"];
    for line in stage.nodes.said(&words) {
        stage.world.log.line(&format!("log of {line}"));
    }
    stage.nodes.stop();
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    stage.world.log.line(&text);
    println!("{name}: {text}");
    exit(code);
}

fn phase(count: u32, cpu: u64, memory: u64, estimated_ms: u64, more: &str) -> String {
    format!("[{{\"count\":{count},\"cpu\":{cpu},\"memory_request_mb\":{memory},\"estimated_ms\":{estimated_ms}{more}}}]")
}

fn work(cpu: u64, memory: u64, ms: u64, lasts: bool) -> Work {
    Work { cpu, memory, ms, lasts }
}

/// Waits until a work item has run for `ran_ms` and all machines are up; returns its machine.
fn wait_for_run(stage: &Stage, task: &str, ran_ms: u64, until_ms: u64, needs_all: bool) -> Option<usize> {
    while stage.world.log.ms() < until_ms {
        let are_up = stage.world.free().len() == MACHINES || !needs_all;
        match stage.world.machine_of(task) {
            Some((machine, _, since_ms)) if since_ms >= ran_ms && are_up => return Some(machine),
            _ => pause_ms(20),
        }
    }
    None
}

/// A timed job of one work item. Its leader is cut off from the store, and the next one leads. A worker that
/// is idle starts again under its id, and knows no fence. At the due time the next leader starts the work item
/// on the worker that it prefers; the one that is cut off must not start it on another.
fn cut_off(stage: &Stage) -> Verdict {
    const ID: &str = "5c0e7a21d94b36f8";
    const DUE_AFTER_MS: u64 = 9_000;
    let world = &stage.world;
    // A worker that starts after the leader, and is the first one in the order of ids.
    world.add_machine("i-00000001");
    pause_ms(2_000);
    let Some(leader) = stage.nodes.leaders().last().copied() else {
        return Verdict::CouldNotRun("no node leads".to_owned());
    };
    let task = format!("{ID}.0.0.0");
    let due_unix_ms = unix_ms() + DUE_AFTER_MS;
    let due_ms = world.log.ms() + DUE_AFTER_MS;
    let phases = phase(1, 3_800, 14_000, 6_000, "");
    let more = format!(",\"repetitions\":1,\"first_ms\":{due_unix_ms},\"interval_ms\":1000");
    if !submit_timed(world, &stage.nodes, QUEUE, ID, &phases, &more, &[work(3_800, 14_000, 6_000, false)], true) {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    let wait_until = |at_ms: u64| {
        while world.log.ms() < at_ms {
            pause_ms(2);
        }
    };
    if stage.has_trouble {
        wait_until(due_ms - 4_200);
        world.log.line(&format!("node {} is cut off from the store", leader + 1));
        stage.nodes.links[leader].cut(true);
        wait_until(due_ms - 1_000);
        world.restart_behind_cut(0, 300);
    }
    let mut most = Vec::new();
    let mut doubled_ms = 0;
    let mut is_cut = stage.has_trouble;
    while world.log.ms() < due_ms + 14_000 {
        let runs = world.runs_of(&task);
        if runs.len() > 1 {
            doubled_ms += 5;
        }
        if runs.len() > most.len() {
            most = runs;
        }
        if is_cut && world.log.ms() >= due_ms + 800 {
            is_cut = false;
            stage.nodes.links[leader].cut(false);
            world.log.line(&format!("node {} reaches the store again", leader + 1));
        }
        pause_ms(5);
    }
    world.log.line(&format!("GET {QUEUE}{ID}: {}", state_of(&stage.nodes, (leader + 1) % NODES, QUEUE, ID)));
    match most.len() {
        0 => Verdict::CouldNotRun("the work item did not run".to_owned()),
        1 => Verdict::Held(format!("one run at a time: {most:?}")),
        _ => Verdict::Broken(format!("two runs of {task} at the same time, for some {doubled_ms} ms: {most:?}")),
    }
}

/// A lasting work item beside ordinary ones of 40 s, one on each worker. The worker of the lasting one is
/// lost for good, and then the next one, too. The item must run again from 6 s after its last run on.
fn not_restarted(stage: &Stage) -> Verdict {
    const LASTING: &str = "9400db9cb81cddc9";
    let world = &stage.world;
    for number in 0..MACHINES {
        let id = format!("00000000000000{number:02x}");
        let phases = phase(1, 17_000, 60_000, 40_000, "");
        if !submit(world, &stage.nodes, QUEUE, &id, &phases, &[work(17_000, 60_000, 40_000, false)], true) {
            return Verdict::CouldNotRun("a job was not accepted".to_owned());
        }
    }
    pause_ms(1_000);
    world.log.line(&format!("free on the workers (cpu, memory): {:?}", world.free()));
    let beside = "4a8e8c2eeb8a0a70";
    let phases = phase(3, 4_000, 10_000, 40_000, "");
    if !submit(world, &stage.nodes, QUEUE, beside, &phases, &[work(4_000, 10_000, 40_000, false)], true) {
        return Verdict::CouldNotRun("a job was not accepted".to_owned());
    }
    let phases = phase(1, 2_700, 17_000, 0, ",\"long_running\":true");
    if !submit(world, &stage.nodes, PUBLIC, LASTING, &phases, &[work(2_700, 17_000, 0, true)], true) {
        return Verdict::CouldNotRun("the lasting job was not accepted".to_owned());
    }
    let task = format!("{LASTING}.0.0.0");
    for _ in 0..2 {
        let until_ms = world.log.ms() + 20_000;
        let Some(machine) = wait_for_run(stage, &task, 1_500, until_ms, false) else {
            return Verdict::CouldNotRun("the lasting work item was not started".to_owned());
        };
        if stage.has_trouble {
            world.crash(machine, None);
        }
    }
    // Calm: no disruption from 4 s before the 3 s in question on. One crash counts as 4.5 s long.
    let lost_ms = world.log.ms();
    let mut idle_from_ms = None;
    let mut longest_ms = 0;
    while world.log.ms() < lost_ms + 24_000 {
        let now_ms = world.log.ms();
        let is_running = world.machine_of(&task).is_some();
        let rooms = world.free().iter().filter(|(cpu, memory)| *cpu >= 2_700 && *memory >= 17_000).count();
        let counts = !is_running && rooms >= 2 && now_ms >= lost_ms + 8_500;
        match (counts, idle_from_ms) {
            (true, None) => {
                idle_from_ms = Some(now_ms);
                world.log.line(&format!("the lasting work item doesn't run; workers with room for it: {rooms}"));
            }
            (true, Some(from_ms)) => longest_ms = longest_ms.max(now_ms - from_ms),
            (false, _) => idle_from_ms = None,
        }
        pause_ms(20);
    }
    let state = state_of(&stage.nodes, 0, PUBLIC, LASTING);
    world.log.line(&format!("GET {PUBLIC}{LASTING}: {state}; free on the workers: {:?}", world.free()));
    let text = format!("from 8.5 s after its last run on, with room on two workers or more, the lasting work item did not run for {longest_ms} ms on end");
    match longest_ms > 3_000 {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// Seven of eight workers are full, and the eighth answers 503 to each order to start for 6.5 s, while 20
/// small jobs wait. The nodes are asked how many are pending.
fn pending(stage: &Stage) -> Verdict {
    let world = &stage.world;
    for number in 0..MACHINES - 1 {
        let id = format!("00000000000000{number:02x}");
        let phases = phase(1, 32_000, 131_072, 40_000, "");
        if !submit(world, &stage.nodes, QUEUE, &id, &phases, &[work(32_000, 131_072, 40_000, false)], true) {
            return Verdict::CouldNotRun("a job was not accepted".to_owned());
        }
    }
    pause_ms(1_500);
    let rooms = world.free();
    let Some(free) = rooms.iter().position(|(cpu, _)| *cpu == world.cpu) else {
        return Verdict::CouldNotRun(format!("no worker is free: {rooms:?}"));
    };
    if stage.has_trouble {
        world.set_mood(free, Mood::Sheds);
    }
    let grey_ms = world.log.ms();
    let ids: Vec<String> = (0..20).map(|number| format!("aa000000000000{number:02x}")).collect();
    for id in &ids {
        let phases = phase(1, 500, 256, 900, "");
        if !submit(world, &stage.nodes, QUEUE, id, &phases, &[work(500, 256, 900, false)], true) {
            return Verdict::CouldNotRun("a job was not accepted".to_owned());
        }
    }
    let accepted_ms = world.log.ms();
    // visible_ms is 3 s, and the rule adds 2 s.
    while world.log.ms() < accepted_ms + 5_200 {
        pause_ms(20);
    }
    let mut worst = String::new();
    for round in 0..3 {
        for node in 0..stage.nodes.callers.len() {
            let said = ask(stage.nodes.callers[node], "GET", QUEUE, "");
            let started = world.started.lock().unwrap().clone();
            let waiting = ids.iter().filter(|id| !started.iter().any(|start| start.task.starts_with(id.as_str()))).count();
            world.log.line(&format!("GET {QUEUE} at node {}: {said:?}; jobs accepted over 5 s before that haven't begun: {waiting}", node + 1));
            let given = said.as_ref().filter(|said| said.0 == 200).and_then(|said| Json::parse(&said.1)).and_then(|body| body.number("pending"));
            if given.is_some_and(|given| given * 2 < waiting as u64) && worst.is_empty() {
                worst = format!("{} of {waiting} waiting jobs are given as pending", given.unwrap_or(0));
            }
        }
        if round < 2 {
            pause_ms(300);
        }
    }
    if stage.has_trouble {
        while world.log.ms() < grey_ms + 6_500 {
            pause_ms(20);
        }
        world.set_mood(free, Mood::Sound);
        pause_ms(3_000);
        let done = ids.iter().filter(|id| state_of(&stage.nodes, 0, QUEUE, id) == "complete").count();
        world.log.line(&format!("3 s after the worker is sound again, {done} of 20 are complete"));
    }
    match worst.is_empty() {
        true => Verdict::Held("at least half of the waiting jobs were given as pending".to_owned()),
        false => Verdict::Broken(worst),
    }
}

/// A pool of 40 idle workers, of which a queue's policy allows six. Two of these are lost for good, and
/// the job that they ran has to go on at one of the other four.
fn advice(stage: &Stage) -> Verdict {
    const ID: &str = "5c0e7a21d94b36f8";
    let world = &stage.world;
    let lost = [4, 17];
    *world.eligible.lock().unwrap() = vec![4, 17, 32, 33, 36, 39];
    let task = format!("{ID}.0.0.0");
    let phases = phase(1, 3_800, 14_000, 20_000, "");
    if !submit(world, &stage.nodes, ADVISED, ID, &phases, &[work(3_800, 14_000, 20_000, false)], true) {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    if wait_for_run(stage, &task, 1_500, world.log.ms() + 20_000, false).is_none() {
        return Verdict::CouldNotRun("the job was not started".to_owned());
    }
    if stage.has_trouble {
        lost.iter().for_each(|machine| world.crash(*machine, None));
    }
    // finish_s is 14 s.
    let ends_ms = world.log.ms() + 14_000;
    while world.log.ms() < ends_ms {
        pause_ms(20);
    }
    let mut idle_ms = 0;
    let from_ms = world.log.ms();
    let mut state = String::new();
    while world.log.ms() < from_ms + 20_000 {
        state = state_of(&stage.nodes, 0, ADVISED, ID);
        if world.machine_of(&task).is_some() || state == "complete" {
            break;
        }
        idle_ms = world.log.ms() - from_ms;
        pause_ms(20);
    }
    world.log.line(&format!("GET {ADVISED}{ID}: {state}"));
    let text = format!("from 14 s after the last disruption on, the job had nothing running for {idle_ms} ms, and 4 idle workers may run it");
    match idle_ms > 3_000 {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// The idle worker of a machine crashes, and another one follows 1.5 s later, under a new id. It gets four
/// lasting work items of one step, of which one may be away. Then the machine is due for upkeep, while the
/// list of workers still has the entry of the worker that crashed.
fn upkeep(stage: &Stage) -> Verdict {
    const LASTING: &str = "9400db9cb81cddc9";
    let world = &stage.world;
    for number in 0..MACHINES - 1 {
        let id = format!("00000000000000{number:02x}");
        let phases = phase(1, 32_000, 131_072, 40_000, "");
        if !submit(world, &stage.nodes, QUEUE, &id, &phases, &[work(32_000, 131_072, 40_000, false)], true) {
            return Verdict::CouldNotRun("a job was not accepted".to_owned());
        }
    }
    pause_ms(1_500);
    let idle = {
        let machines = world.machines.lock().unwrap();
        let names: Vec<String> = machines.iter().map(|machine| machine.name.clone()).collect();
        let rooms = { drop(machines); world.free() };
        rooms.iter().position(|(cpu, _)| *cpu == world.cpu).map(|number| (number, names[number].clone()))
    };
    let Some((machine, name)) = idle else {
        return Verdict::CouldNotRun("no worker is free".to_owned());
    };
    if stage.has_trouble {
        world.crash(machine, Some(1_500));
        pause_ms(1_600);
    }
    let phases = phase(4, 2_700, 17_000, 0, ",\"long_running\":true,\"may_miss\":1");
    if !submit(world, &stage.nodes, PUBLIC, LASTING, &phases, &[work(2_700, 17_000, 0, true)], true) {
        return Verdict::CouldNotRun("the lasting job was not accepted".to_owned());
    }
    for index in 0..4 {
        let task = format!("{LASTING}.0.0.{index}");
        if wait_for_run(stage, &task, 500, world.log.ms() + 10_000, false).is_none() {
            return Verdict::CouldNotRun("the lasting job was not started".to_owned());
        }
    }
    world.log.line(&format!("the operator writes op/wave/1: {name}, at most 1 at once, within 30 s"));
    world.store.put("keyed.op", "wave/1", &format!("{{\"wave\":1,\"machines\":[\"{name}\"],\"duration_s\":30,\"maximum\":1}}"));
    let until_ms = world.log.ms() + 25_000;
    while world.log.ms() < until_ms {
        let upkeeps = world.upkeeps.lock().unwrap().clone();
        for (machine, running) in upkeeps {
            let at_work = running.iter().filter(|(_, lasts, ran_ms)| *lasts && *ran_ms >= 300).count();
            if at_work >= 2 {
                return Verdict::Broken(format!("the upkeep of {machine} ended {at_work} work items of one step that were at work on a sound worker; 1 may be away"));
            }
        }
        pause_ms(50);
    }
    Verdict::Held("no upkeep ended two work items of the step".to_owned())
}
