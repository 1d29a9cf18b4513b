"""Starts the project's programs on loopback addresses, with proxies between a node and the platform.

Standard library only. The store, the list of hosts and the workers are the project's own stand-in
(`caperhollow standin site`); the nodes are started with the command of `deploy/system.toml`.
"""

import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "release", "caperhollow")
HOST = "shop.example"


class CannotRun(Exception):
    """The case could not be set up: says nothing about the rule."""


def free_port(given=set()):
    """A free port, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in given:
            given.add(port)
            return port


def call(method, url, body=None, headers=None, timeout=4.0):
    """Makes a call; returns (status, body), with status 0 if there was no answer."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, TimeoutError) as error:
        return 0, str(error).encode()


def end_with_parent():
    """Has the kernel end a started process with this one, however this one ends."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Record:
    """What was sent, answered and run, in order, with milliseconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, text):
        self.file.write(f"{self.now():7} ms  {text}\n")
        self.file.flush()


class Cut:
    """A silent cut between one node and the platform.

    Bytes that were sent over an open connection before or during the cut are kept by the sender's
    kernel, and arrive once the cut has healed, also if the sender has closed the connection since.
    They are lost if the sender has reset it. A connection that is opened during the cut carries
    nothing.
    """

    def __init__(self):
        self.on = False
        self.healed = asyncio.Event()
        self.healed.set()

    def begin(self):
        self.on = True
        self.healed.clear()

    def heal(self):
        self.on = False
        self.healed.set()


class Proxy:
    """A TCP proxy of one node to one address of the platform."""

    def __init__(self, record, name, upstream, cut, on_request=None):
        self.record, self.name, self.upstream, self.cut = record, name, upstream, cut
        self.on_request = on_request
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.address

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            if self.cut.on:
                # Its opening packet is lost.
                while await reader.read(65536):
                    pass
                return
            host, port = self.upstream.split(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self.forward(reader, up_writer, True), self.forward(up_reader, writer, False)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.tasks.discard(task)

    async def forward(self, reader, writer, outgoing):
        queue = asyncio.Queue()
        sender = asyncio.ensure_future(self.send(queue, writer))
        try:
            while True:
                data = await reader.read(65536)
                if outgoing and data and self.on_request:
                    self.on_request(data)
                queue.put_nowait(data)
                if not data:
                    break
        except OSError:
            # Reset: what is still held up is lost.
            sender.cancel()
            writer.close()
            return
        await sender

    async def send(self, queue, writer):
        while True:
            data = await queue.get()
            while self.cut.on:
                await self.cut.healed.wait()
            if not data:
                try:
                    writer.write_eof()
                except OSError:
                    pass
                return
            writer.write(data)
            await writer.drain()


class Hosts:
    """The platform's list of hosts, where fences are not checked (`require_fencing` false).

    Passes calls on to the project's stand-in. That one checks fences, so the token of each call is
    replaced by the same one. A repeated upkeep of one wave is answered as already done.
    """

    def __init__(self, record, site):
        self.record, self.site = record, site
        self.arrived, self.done = [], set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, path, _ = head.split("\r\n")[0].split(" ")
                lines = [line.split(":", 1) for line in head.split("\r\n")[1:] if ":" in line]
                fields = {name.strip().lower(): value.strip() for name, value in lines}
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                status, answer = await self.answer(method, path, fields, body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(answer)) + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, fields, body):
        url, headers = f"http://{self.site}{path}", {"Content-Type": "application/json"}
        if method != "POST":
            return await asyncio.to_thread(call, method, url)
        change, holder = json.loads(body), fields["lease-holder"]
        machine, token = change["machine"], int(fields["fencing-token"])
        self.arrived.append((self.record.now(), machine, holder, token))
        what = f"{path} {json.dumps(change)} from {holder}, token {token}"
        key = (machine, change.get("wave"))
        if "wave" in change and key in self.done:
            self.record.note(f"platform: {what} arrives: 200, already done")
            return 200, b"{}"
        headers |= {"Lease-Holder": holder, "Fencing-Token": "1"}
        status, answer = await asyncio.to_thread(call, method, url, body, headers)
        self.record.note(f"platform: {what} arrives: {status} {answer.decode().strip()}")
        if status == 200:
            self.done.add(key)
        return status, answer


class Rig:
    """All processes of a case."""

    def __init__(self, record):
        self.record = record
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.processes = []

    async def spawn(self, name, arguments, pipe=False):
        if not os.path.exists(BINARY):
            raise CannotRun(f"{BINARY} is missing: build it first")
        log = open(os.path.join(self.dir, f"{name}.log"), "ab")
        out = asyncio.subprocess.PIPE if pipe else log
        process = await asyncio.create_subprocess_exec(
            BINARY, *arguments, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=log, cwd=ROOT,
            preexec_fn=end_with_parent,
        )
        self.processes.append(process)
        self.record.note(f"started {name}: process {process.pid}")
        return process

    async def site(self, *arguments):
        process = await self.spawn("site", ["standin", "site", "--listen", "127.0.0.1:0", *arguments], True)
        line = await asyncio.wait_for(process.stdout.readline(), 20)
        self.site_address = line.decode().strip().rsplit(" ", 1)[-1]
        asyncio.ensure_future(process.stdout.read())
        return self.site_address

    async def put(self, key, value):
        """Writes a record as the operator does."""
        status, body = await asyncio.to_thread(
            call, "POST", f"http://{self.site_address}/put?{key}", value
        )
        if status != 200:
            raise CannotRun(f"{key} not written: {status} {body!r}")
        self.record.note(f"operator: {key} = {json.dumps(value)}: acknowledged")

    async def configure(self, version, queues):
        """Queues by prefix, with their pool."""
        routes = [
            {
                "name": f"r{prefix}", "host": HOST, "path_prefix": prefix, "kind": "unsafe",
                "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": pool,
                "max_attempts": 3, "stretch": 1.6,
            }
            for prefix, pool in queues.items()
        ]
        pools = sorted(set(queues.values()))
        services = [{"name": pool, "admission_check": True, "headroom": False} for pool in pools]
        await self.put("op/config", {"version": version, "routes": routes, "services": services})

    async def node(self, name, store, hosts):
        """A node with the settings of deploy/scheduler.json for a small deployment."""
        addresses = {key: f"127.0.0.1:{free_port()}" for key in ("callers", "readiness", "metrics", "peers")}
        settings = {
            "node": name, "zone": "hall-a", "cpu_cores": 0.25, "listen": addresses,
            "platform": {"store": store, "hosts": hosts, "handover_ms": 3000},
            "pools": {
                "calls_per_s": 64.0, "full_percent": 50, "growth_percent": 300, "margin_hosts": 3,
                "shrink_after_ms": 2500,
            },
            "configuration": {"apply_ms": 2000},
            "zones": {"tolerated_losses": 0},
            "stop": {"grace_ms": 6000},
        }
        path = os.path.join(self.dir, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        process = await self.spawn(name, ["schedule", "--settings", path])
        return {"name": name, "process": process, "settings": path, **addresses}

    async def ready(self, node, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _ = await asyncio.to_thread(call, "GET", f"http://{node['readiness']}/-/ready", None, None, 1)
            if status == 200:
                return
            if node["process"].returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun(f"node {node['name']} did not become ready")

    async def caller(self, node, method, path, body=None, timeout=4.0):
        """A caller's request; returns (status, body)."""
        headers = {"Host": HOST, "Deadline-Ms": "3000", "Content-Type": "application/json"}
        self.record.note(f"caller: {method} {path} to {node['name']}: sent")
        status, answer = await asyncio.to_thread(
            call, method, f"http://{node['callers']}{path}", body, headers, timeout
        )
        self.record.note(f"caller: {method} {path} at {node['name']}: answered {status} {answer[:200]!r}")
        return status, answer

    async def log_events(self):
        """What the workers have started and ended, by the stand-in's log."""
        _, body = await asyncio.to_thread(call, "GET", f"http://{self.site_address}/log?0")
        return json.loads(body)

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()
        if os.environ.get("KEEP"):
            self.record.note(f"logs kept in {self.dir}")
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def run(case, folder, limit_s=110):
    """Runs a case; returns the exit code: 1 if the rule was broken, 0 if it held, 2 if not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        rig = Rig(record)
        this = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        try:
            return await asyncio.wait_for(case(rig, record, trouble), limit_s)
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError, ValueError) as error:
            record.note(f"the case could not run: {error!r}")
            return None
        finally:
            await rig.stop()
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            rest = asyncio.all_tasks() - {asyncio.current_task()}
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)

    broken = asyncio.run(main())
    if broken is None:
        print("the case could not run: see record.txt")
        return 2
    for line in broken:
        record.note(f"BROKEN: {line}")
        print(line)
    record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
