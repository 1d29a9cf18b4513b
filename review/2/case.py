"""One accepted job that repeats very often ends each node that comes to own its pool."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
sys.dont_write_bytecode = True
import rig as rigs

# `limits.memory_mb` of the deployment: a process that goes over it is killed by the platform.
MEMORY_MB = 260
# After what time the platform starts a process again that has ended, in seconds.
RESTART_S = 0.5
# `finish_s` of the deployment.
FINISH_S = 14
# How long callers send small jobs after the timed one, one a second.
TRAFFIC_S = 15
# The timed job: every minute for a year, the first time in a minute.
REPEATS, INTERVAL_MS = 365 * 24 * 60, 60_000
SMALL = {"spec": "300", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}]}


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def keep_running(rig, record, node, ends):
    """What the platform does: kills a process over its memory limit, and starts ended ones again."""
    while True:
        await asyncio.sleep(0.02)
        process = node["process"]
        used = resident_mb(process.pid)
        if process.returncode is None and MEMORY_MB < used:
            process.kill()
            await process.wait()
            record.note(f"platform: {node['name']} uses {used:.0f} MB of {MEMORY_MB}: killed")
        if process.returncode is None:
            continue
        ends.append((record.now(), node["name"]))
        record.note(f"platform: {node['name']} has ended with {process.returncode}")
        await asyncio.sleep(RESTART_S)
        node["process"] = await rig.spawn(node["name"], ["schedule", "--settings", node["settings"]])


async def case(rig, record, trouble):
    site = await rig.site("--workers", "6")
    await rig.configure(1, {"/quotes/": "work"})
    nodes = [await rig.node(name, site, site) for name in ("front-1", "front-2", "front-3")]
    for node in nodes:
        await rig.ready(node)
    await asyncio.sleep(2)
    ends = []
    keepers = [asyncio.ensure_future(keep_running(rig, record, node, ends)) for node in nodes]
    first = "00000000000000a1"
    status, _ = await rig.caller(nodes[0], "POST", f"/quotes/{first}", SMALL)
    if status != 200:
        raise rigs.CannotRun("the first job was not accepted")
    await asyncio.sleep(3)
    if b"succeeded" not in (await rig.caller(nodes[0], "GET", f"/quotes/{first}"))[1]:
        raise rigs.CannotRun("the first job has not succeeded")
    timed = {
        "spec": "300", "repeat_count": REPEATS if trouble else 6, "interval_ms": INTERVAL_MS,
        "first_ms": int(time.time() * 1000) + INTERVAL_MS,
        "steps": [{"count": 4, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300}],
    }
    record.note(f"the timed job: {json.dumps(timed)}")
    await rig.caller(nodes[1], "POST", "/quotes/00000000000000b1", timed)
    await asyncio.sleep(1)
    accepted = []
    for number in range(TRAFFIC_S):
        job = f"{0xc0 + number:016x}"
        # The caller sends the same job again, to another node, until it is accepted or refused.
        for attempt in range(3):
            status, _ = await rig.caller(nodes[(number + attempt) % 3], "POST", f"/quotes/{job}", SMALL)
            if status == 200:
                accepted.append(job)
                break
        await asyncio.sleep(1)
    if not accepted:
        raise rigs.CannotRun("no job was accepted: nothing can be lost")
    record.note(f"the traffic ends; {len(accepted)} small jobs were accepted after the timed one")
    await asyncio.sleep(FINISH_S)
    before = await counted(rig)
    waiting = await open_jobs(rig, nodes, accepted)
    await asyncio.sleep(3.5)
    after, waiting = await counted(rig), waiting & await open_jobs(rig, nodes, accepted)
    for keeper in keepers:
        keeper.cancel()
    record.note(f"runs of all workers, 3.5 s apart: {before}, {after}")
    record.note(f"ended by themselves: {len(ends)} processes: {sorted(set(name for _, name in ends))}")
    return judge(before, after, waiting, accepted)


async def counted(rig):
    status, body = await asyncio.to_thread(rigs.call, "GET", f"http://{rig.site_address}/counted")
    if status != 200:
        raise rigs.CannotRun("the stand-in does not answer")
    return json.loads(body)


async def open_jobs(rig, nodes, jobs):
    """The accepted jobs that some node shows as not ended, or that no node answers about."""
    left = set()
    for job in jobs:
        for node in nodes:
            status, answer = await rig.caller(node, "GET", f"/quotes/{job}")
            if status == 200:
                break
        if status != 200 or json.loads(answer)["state"] in ("queued", "running"):
            left.add(job)
    return left


def judge(before, after, waiting, accepted):
    """LOST: after `finish_s`, for 3 s a job has nothing running though there is capacity.

    The pool has 6 idle workers of 8 cores. If no run has started or ended in that time, nothing
    was running: each run takes 0.3 s.
    """
    if not waiting or before != after:
        return []
    return [
        f"LOST: {len(waiting)} of {len(accepted)} accepted jobs have nothing running for 3 s, "
        f"{FINISH_S} s after the traffic ended, while all workers are idle"
    ]


sys.exit(rigs.run(case, FOLDER))
