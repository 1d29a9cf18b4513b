"""Runners as the users' pages describe them, each at an address of its own on the loopback."""

import asyncio
import json
import re
import secrets
import time

import rig as rigs

BEAT_S = 1.5
STOP_S = 0.3
# After its start a lasting task takes this long until it is at work.
BEGIN_S = 0.2


class Worker:
    """A machine with one runner at a time."""

    def __init__(self, rig, record, number, pool="work"):
        self.rig, self.record, self.number, self.pool = rig, record, number, pool
        self.machine = f"m{number}"
        self.id, self.server, self.connections = None, None, set()
        self.port = rigs.free_port()

    def now_ms(self):
        return int((time.monotonic() - self.born) * 1000) + 1000

    async def start(self):
        self.id = "i-" + secrets.token_hex(5)
        self.born, self.fence, self.until = time.monotonic(), 0, 0
        self.runs, self.finished, self.last, self.number_of_end = {}, [], {}, 0
        self.changed = asyncio.Event()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.record.note(f"{self.machine}: runner {self.id} is up")
        asyncio.ensure_future(self.beat(self.id))
        asyncio.ensure_future(self.expire(self.id))

    async def crash(self, down_s):
        """The runner ends with all that it runs; another one comes at the same address."""
        ended, runs = self.id, dict(self.runs)
        self.record.note(f"CRASH: {self.machine}: runner {ended} with {sorted(runs)}")
        self.id, self.runs = None, {}
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        asyncio.ensure_future(self.lapse(ended))
        await asyncio.sleep(down_s)
        await self.start()

    async def lapse(self, ended):
        """Its entry goes after three heartbeats without a write."""
        await asyncio.sleep(3 * BEAT_S)
        await asyncio.to_thread(rigs.call, "POST", f"http://{self.rig.site_address}/remove?servers/{ended}")

    async def beat(self, life):
        sequence = 0
        while self.id == life:
            sequence += 1
            entry = {
                "service": self.pool, "address": f"127.0.0.1:{self.port}", "zone": "hall-a", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
                "machine": self.machine, "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 0},
                "labels": ["a", f"r{self.number // 4}"],
            }
            url = f"http://{self.rig.site_address}/put?servers/{life}"
            await asyncio.to_thread(rigs.call, "POST", url, entry)
            await asyncio.sleep(BEAT_S)

    async def expire(self, life):
        """When the lease is over, everything is killed."""
        while self.id == life:
            if self.runs and self.until <= self.now_ms():
                for task in list(self.runs):
                    self.end(task, "lapsed")
            await asyncio.sleep(0.02)

    def percent(self, run):
        return 100 if BEGIN_S <= time.monotonic() - run["began"] else 0

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last[task] = max(self.last.get(task, 0), run["run"])
        self.number_of_end += 1
        self.finished.append([self.number_of_end, task, run["run"], how, ""])
        self.record.note(f"{self.machine}: {task} run {run['run']}: {how}")
        self.changed.set()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"content-length: *(\d+)", head, re.I)
                instance = re.search(r"expect-instance: *([^\r]*)", head, re.I)
                body = await reader.readexactly(int(length.group(1)) if length else 0)
                path, life = head.split(" ")[1], self.id
                if instance and instance.group(1) != life:
                    status, answer = 421, {}
                else:
                    status, answer = await self.answer(path, json.loads(body or b"{}"))
                if self.id != life:
                    return
                body = json.dumps({"clock_ms": self.now_ms(), **answer}).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(body))).encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, path, order):
        if order.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = order.get("fencing_token", 0)
        task = order.get("task")
        if path == "/-/run-start":
            self.until = max(self.until, min(order["until_ms"], self.now_ms() + 10_000))
            if order["until_ms"] <= self.now_ms():
                return 409, {"reason": "late"}
            if task in self.runs and self.runs[task]["run"] == order["run"]:
                return 200, {}
            if task in self.runs or order["run"] <= self.last.get(task, 0):
                return 409, {"reason": "old"}
            self.runs[task] = {"run": order["run"], "began": time.monotonic()}
            self.record.note(f"{self.machine}: {task} run {order['run']}: started on an order")
            return 200, {}
        if path == "/-/run-stop":
            if task in self.runs and self.runs[task]["run"] <= order["run"]:
                run = self.runs[task]
                if "stop" not in run:
                    run["stop"] = True
                    self.rig.stops.append((time.monotonic(), self.machine, task, self.percent(run)))
                    self.record.note(f"{self.machine}: {task} run {run['run']}: ordered to stop, at {self.percent(run)} %")
                    asyncio.get_running_loop().call_later(STOP_S, self.stopped, self.id, task, run)
            else:
                self.last[task] = max(self.last.get(task, 0), order["run"])
            return 200, {}
        if path == "/-/pace":
            return 200, {}
        if path != "/-/hold":
            return 404, {}
        if order.get("until_ms"):
            self.until = max(self.until, min(order["until_ms"], self.now_ms() + 10_000))
        self.finished = [end for end in self.finished if order["last_seen"] < end[0]]
        if order.get("wait_ms") and not self.finished:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), min(order["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", self.percent(run), 0] for task, run in self.runs.items()]
        return 200, {"running": running, "finished": self.finished[:500]}

    def stopped(self, life, task, run):
        if self.id == life and self.runs.get(task) is run:
            self.end(task, "stopped")


class Machines:
    """The platform's list of machines: all up, all in their pool."""

    def __init__(self, workers):
        self.workers = workers

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                rows = [
                    {
                        "machine": worker.machine, "pool": worker.pool, "zone": "hall-a",
                        "state": "up" if worker.id else "down", "id": worker.id,
                        "labels": ["a", f"r{worker.number // 4}"],
                        "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 0},
                    }
                    for worker in self.workers
                ]
                body = json.dumps({"machines": rows, "next_page_token": ""}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()
