"""A route moves to another service, and the next leader forgets where its work may still run."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import lab as stand_ins  # noqa: E402

WORKER = {"cpu": 32000, "memory_request_mb": 131072, "gpu": 0}
TEAM = {"name": "survey", "api_keys": [stand_ins.KEY], "weight": 1000.0,
        "maximum": {"cpu": 0, "memory_request_mb": 0, "gpu": 0}}

WORK_S = 12.0


async def case(lab, has_trouble):
    await lab.open({"snap": (4, WORKER), "grid": (4, WORKER)})
    services = {"snap": {}, "grid": {}}
    route = {"name": "snap", "target_latency_ms": 30000}
    lab.publish(1, [{**route, "service": "snap"}], services, [TEAM])
    await lab.start_nodes()
    leader, node = lab.leader(), lab.follower()
    job = lab.new_id()
    step = {"count": 1, "cpu": 1000, "memory_request_mb": 256, "estimated_ms": 12000}
    if await lab.submit(node, "snap", job, stand_ins.job_body([step], [WORK_S])) != 200:
        raise stand_ins.CannotRun("the job was not accepted")
    await asyncio.sleep(1.5)
    if len(lab.runs) != 1:
        raise stand_ins.CannotRun("the work item has not started")
    lab.publish(2, [{**route, "service": "grid"}], services, [TEAM])
    await asyncio.sleep(3.0)
    if has_trouble:
        worker = lab.runs[0].worker
        worker.is_cut = True
        lab.record.add(f"worker {worker.machine} is cut off from the nodes and runs on")
        leader.kill()
        lab.later(3.0, leader.start)
        lab.later(5.5, lambda: setattr(worker, "is_cut", False))
    await asyncio.sleep(25)
    state = await lab.state("snap", job)
    twice = stand_ins.find_twice(lab)
    for task, first, later, what in twice:
        lab.record.add(f"TWICE {task}: {what}: run {first.number} on {first.life} ended "
                       f"{first.end_kind} at {first.ended}; run {later.number} on {later.life} "
                       f"started at {later.started - lab.record.started:.3f}")
    lab.record.say(f"state {state}; TWICE: {len(twice)} pairs of runs")
    lab.node_events(["leadership_acquired", "pool_recover", "lists_in_force", "run_"])
    return not twice


stand_ins.main(HERE, case)
