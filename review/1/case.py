"""The record of a job's progress outgrows the store's limit after a worker has crashed."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import lab as stand_ins  # noqa: E402

WORKER = {"cpu": 32000, "memory_request_mb": 131072, "gpu": 0}
TASKS_COUNT = 2500
WORK_S = 12.0
CANCELS_COUNT = 5


async def cancel(lab, node, job):
    """Cancels a job as a patient client does, for longer than `ack_ms`; returns whether it got 2xx
    or 410."""
    for _ in range(3):
        found = await lab.call(node, "DELETE", "grid", job)
        if found and found[0] in (200, 410):
            return True
        await asyncio.sleep(0.5)
    return False


async def case(lab, has_trouble):
    await lab.open({"snap": (8, WORKER), "grid": (8, WORKER)})
    team = {"weight": 1000.0, "maximum": {"cpu": 0, "memory_request_mb": 0, "gpu": 0}}
    lab.publish(1, [{"name": "snap", "service": "snap", "target_latency_ms": 30000},
                    {"name": "grid", "service": "grid", "target_latency_ms": 30000}],
                {"snap": {}, "grid": {}},
                [{"name": "survey", "api_keys": [stand_ins.KEY], **team}])
    await lab.start_nodes()
    node = lab.follower()
    # Work of others, on a queue and workers of its own.
    lasting = {"count": 2, "cpu": 500, "memory_request_mb": 64, "estimated_ms": 60000}
    others = [lab.new_id() for _ in range(CANCELS_COUNT)]
    for id_ in others:
        if await lab.submit(node, "grid", id_, stand_ins.job_body([lasting], [60.0])) != 200:
            raise stand_ins.CannotRun("a job was not accepted")
    await asyncio.sleep(3.0)
    large = lab.new_id()
    step = {"count": TASKS_COUNT, "cpu": 12, "memory_request_mb": 24, "estimated_ms": 12000}
    if await lab.submit(node, "snap", large, stand_ins.job_body([step], [WORK_S])) != 200:
        raise stand_ins.CannotRun("the large job was not accepted")
    for _ in range(40):
        await asyncio.sleep(0.1)
        if sum(run.task.startswith(large) and run.ended is None for run in lab.runs) == TASKS_COUNT:
            break
    # No machine moves between the pools any more.
    await asyncio.sleep(2.5)
    lab.record.say(f"work items at the workers: {[len(w.running) for w in lab.workers]}")
    if has_trouble:
        busiest = max(lab.workers, key=lambda worker: len(worker.running))
        await busiest.crash("crash")
        lab.later(4.5, lambda: lab.spawn(busiest.start_again()))
    await asyncio.sleep(24)
    answers = [await lab.submit(node, "grid", lab.new_id(), stand_ins.job_body(
        [{**lasting, "estimated_ms": 500}], [0.5]), tries=1) for _ in range(5)]
    cancelled = await asyncio.gather(*(cancel(lab, node, id_) for id_ in others))
    state = await lab.state("snap", large)
    listed = sum(len(worker.ends) for worker in lab.workers)
    noted = sum(run.end_kind != "crashed" and run.ended is not None and run.noted is not None
                for run in lab.runs)
    lab.record.say(f"24 s later: new jobs of others are answered {answers}")
    lab.record.say(f"cancels answered with 2xx or 410: {sum(cancelled)} of {CANCELS_COUNT}")
    lab.record.say(f"ends taken note of: {noted}; ends that workers still list: {listed}")
    lab.record.say(f"state of the large job: {state}")
    lab.record.say(f"the store has rejected {len(lab.store.rejected)} appends with records over "
                   f"its record_bytes, the largest of {max(lab.store.rejected, default=(0, 0, 0))[2]} bytes")
    lab.node_events(["leadership_acquired", "leadership_ended", "record_too_large"])
    has_cancels = (CANCELS_COUNT - sum(cancelled)) * 10 <= CANCELS_COUNT
    has_ends = listed * 5 <= noted + listed
    return has_cancels and has_ends


stand_ins.main(HERE, case)
