"""A route is removed and added again, and a job is shown as failed after one failed run."""

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

WORK_S = 5.0


async def case(lab, has_trouble):
    await lab.open({"snap": (4, WORKER), "grid": (4, WORKER)})
    services = {"snap": {}, "grid": {}}
    snap = {"name": "snap", "service": "snap", "target_latency_ms": 30000, "max_attempts": 4}
    grid = {"name": "grid", "service": "grid"}
    lab.publish(1, [snap, grid], services, [TEAM])
    await lab.start_nodes()
    node = lab.follower()
    job = lab.new_id()
    # One run of one work item fails, as some always do.
    for worker in lab.workers:
        worker.fails = lambda run: run.task.endswith(".0.0.2") and run.number == 1
    step = {"count": 4, "cpu": 1000, "memory_request_mb": 256, "estimated_ms": 5000}
    if await lab.submit(node, "snap", job, stand_ins.job_body([step], [WORK_S])) != 200:
        raise stand_ins.CannotRun("the job was not accepted")
    await asyncio.sleep(1.0)
    if has_trouble:
        lab.publish(2, [grid], services, [TEAM])
    await asyncio.sleep(7.0)
    if has_trouble:
        lab.publish(3, [snap, grid], services, [TEAM])
    await asyncio.sleep(15.0)
    state = await lab.state("snap", job)
    failed = sum(run.end_kind == "failed" for run in lab.runs)
    lab.record.say(f"state {state}; {len(lab.runs)} runs, {failed} of them failed, max_attempts 4")
    lab.node_events(["leadership_acquired", "lists_in_force", "job_ended", "run_ended"])
    return not (state == "failed" and failed < 4)


stand_ins.main(HERE, case)
