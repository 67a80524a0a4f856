"""Ends of runs beyond the 500 that a worker lists at a time."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import lab as stand_ins  # noqa: E402

WORKER = {"cpu": 32000, "memory_request_mb": 131072, "gpu": 0}
OUTAGE_S = 4.5
JOBS_COUNT, TASKS_COUNT = 60, 40


async def case(lab, has_trouble):
    await lab.open({"snap": (2, WORKER), "spare": (2, WORKER)})
    lab.publish(1, [{"name": "snap", "service": "snap", "target_latency_ms": 30000}], {"snap": {}, "spare": {"standby": True}},
                [{"name": "survey", "api_keys": [stand_ins.KEY], "weight": 1000.0,
                  "maximum": {"cpu": 0, "memory_request_mb": 0, "gpu": 0}}])
    await lab.start_nodes()
    step = {"count": TASKS_COUNT, "cpu": 200, "memory_request_mb": 256, "estimated_ms": 640}
    ids = [lab.new_id() for _ in range(JOBS_COUNT)]
    node = lab.follower()
    body = stand_ins.job_body([step], [0.64])
    answers = await asyncio.gather(*(lab.submit(node, "snap", id_, body) for id_ in ids))
    accepted = [id_ for id_, status in zip(ids, answers) if status == 200]
    if len(accepted) < JOBS_COUNT:
        raise stand_ins.CannotRun(f"{len(accepted)} of {JOBS_COUNT} jobs were accepted")
    if has_trouble:
        lab.record.add(f"the store is down for {OUTAGE_S} s: it answers 503 and does nothing")
        lab.store.fault = lambda kind, topic, query: "busy"
    await asyncio.sleep(OUTAGE_S)
    lab.store.fault = lambda kind, topic, query: None
    lab.record.add("the store is up")
    await asyncio.sleep(20)
    states = [await lab.state("snap", id_) for id_ in accepted]
    lab.record.say(f"{len(accepted)} jobs accepted, {states.count('complete')} complete, "
                   f"{len(lab.runs)} runs of {JOBS_COUNT * TASKS_COUNT} work items")
    lab.node_events(["leadership_acquired", "leadership_ended", "store_unavailable"])
    twice = stand_ins.find_twice(lab)
    for task, first, later, what in twice[:10]:
        lab.record.add(f"TWICE {task}: {what}: run {first.number} on {first.life} ended "
                       f"{first.end_kind} at {first.ended}, taken note of at {first.noted}; run "
                       f"{later.number} on {later.life} started at "
                       f"{later.started - lab.record.started:.3f}")
    lab.record.say(f"TWICE: {len(twice)} pairs of runs")
    return not twice


stand_ins.main(HERE, case)
