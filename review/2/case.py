"""A pool is given back for balance while its owner waits, and a lost task of a lasting job waits on."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
sys.dont_write_bytecode = True
import rig as rigs
from workers import Machines, Worker

# Runners by pool: one node that owns all of them uses more than half of its processor time.
POOLS = {"desk": 8, "ledger": 6, "fitting": 6, "care": 6, "admin": 6}
TASKS = 5
# When the nodes have power again, in seconds after the loss.
BACK_S = {"front-2": 1.0, "front-1": 5.0}
# `contact_ms` of the deployment, and the spans of the rule, in seconds.
CONTACT_S, CALM_S, NOTHING_S, AFTER_S = 3.0, 4.0, 3.0, 6.0
JOB = "00000000000000a1"


async def case(rig, record, trouble):
    rig.stops = []
    site = await rig.site("--workers", "0")
    await rig.configure(1, {f"/{pool}/": pool for pool in POOLS})
    workers = []
    for pool, count in POOLS.items():
        for _ in range(count):
            workers.append(Worker(rig, record, len(workers), pool))
    for worker in workers:
        await worker.start()
    hosts = await Machines(workers).start()
    nodes = [await rig.node(name, site, hosts) for name in ("front-1", "front-2")]
    for node in nodes:
        await rig.ready(node)
    await asyncio.sleep(4)
    job = {
        "spec": "watch", "steps": [{
            "count": TASKS, "cpu": 2600, "mem_mb": 9700, "anti_affinity": 1, "long_running": True,
            "may_miss": 1, "estimated_ms": 1000,
        }],
    }
    if (await rig.caller(nodes[0], "POST", f"/desk/{JOB}", job))[0] != 200:
        raise rigs.CannotRun("the job was not accepted")
    await asyncio.sleep(5)
    task = f"{JOB}.0.0.0"
    running = lambda: any(worker.id and task in worker.runs for worker in workers)
    if not running():
        raise rigs.CannotRun("the job's first task does not run")
    lost = time.monotonic()
    if trouble:
        # All machines lose power, and the runner of the first task is lost for good.
        record.note("POWER OFF: all machines")
        for node in nodes:
            node["process"].kill()
            await node["process"].wait()
        gone = next(worker for worker in workers if task in worker.runs)
        asyncio.ensure_future(gone.crash(1000))
        lost = time.monotonic()
        for name, back_s in BACK_S.items():
            node = next(node for node in nodes if node["name"] == name)
            await asyncio.sleep(max(0, lost + back_s - time.monotonic()))
            node["process"] = await rig.spawn(name, ["schedule", "--settings", node["settings"]])
            record.note(f"POWER ON: {name}")
    calm = lost + (max(BACK_S.values()) + CONTACT_S if trouble else 0)
    begin, idle_since, longest = max(calm + CALM_S, lost + AFTER_S), None, 0.0
    while time.monotonic() < begin + 8:
        now = time.monotonic()
        if now < begin or running():
            idle_since = None
        else:
            idle_since = idle_since or now
            longest = max(longest, now - idle_since)
        await asyncio.sleep(0.02)
    record.note(f"from {begin - lost:.1f} s after the loss on, the first task has nothing running for {longest:.2f} s")
    for node in nodes:
        with open(os.path.join(rig.dir, f"{node['name']}.log"), encoding="utf-8") as log:
            for line in log:
                if "pool-desk" in line and ("taken up" in line or "given back" in line):
                    record.note(f"{node['name']}: {json.loads(line)['message']}")
    return judge(longest)


def judge(longest):
    """LOST: a task that lasts has nothing running for 3 s, from 6 s after its last run, in calm.

    The pool has 7 runners of 32 cores, of which the job uses 4 x 2.6.
    """
    if longest < NOTHING_S:
        return []
    return [f"LOST: a task that lasts has nothing running for {longest:.1f} s of calm, with room for it"]


sys.exit(rigs.run(case, FOLDER))
