"""Stand-ins for the platform, the upstreams and the clients, and the start of
the project's daemons as separate processes.

Each case is a coroutine that gets a `Case`. It starts machines, sends requests
and calls `case.check` for what the rule says. Everything runs on loopback
addresses and on the real clock.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "bin", "platform", "jackdawd")
LONGEST_RUN_S = 110

# The bounds of sites/wallegang-hq.toml as a process gets them.
BOUNDS = [
    "seed_lag_s=3", "addr_reuse_s=2", "stable_window_ms=4000", "ack_ms=4000",
    "catch_up_s=4", "drain_ms=2500", "grace_s=6", "loss_slack_ms=200",
    "config_apply_ms=2500", "rollback_slack_ms=250", "max_stretch_ms=5000",
    "strict_revoke=false", "revoke_ms=5000", "retry_budget_ratio=0.2",
    "budget_window_s=10", "budget_slack=47", "quota_window_s=5",
    "quota_overage=0.1", "quota_slack=20", "recovery_s=15"]
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "pressure",
             "tenants", "quota", "platform"]


class CannotRun(Exception):
    """The case can't run here, which says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, event, **fields):
        line = {"t": round(self.now(), 3), "event": event}
        line.update(fields)
        self.file.write(json.dumps(line, default=str) + "\n")
        self.file.flush()


class Message:
    """A parsed request or answer."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name):
        for each, value in self.headers:
            if each.lower() == name.lower():
                return value
        return None

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader):
    """Reads one HTTP/1.1 message; None if the connection ends before it."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    message = Message(lines[0], headers)
    if (message.header("transfer-encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            message.body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return message
    length = int(message.header("content-length") or 0)
    if length:
        message.body = await reader.readexactly(length)
    return message


def answer_bytes(status, headers, body=b""):
    reasons = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone",
               412: "Precondition Failed", 421: "Misdirected Request",
               500: "Internal Server Error", 503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reasons.get(status, "Status"))
    for name, value in list(headers) + [("Content-Length", len(body))]:
        head += "%s: %s\r\n" % (name, value)
    return head.encode("latin-1") + b"\r\n" + body


def free_port_block(ip, count):
    """The first of `count` consecutive ports that are free for TCP and UDP."""
    for _ in range(200):
        first = random.randrange(20000, 31000)
        held = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise CannotRun("no free ports on " + ip)


class Store:
    """The platform's metadata store: log-append, log-read and log-newest."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        # Names of the machines that are partitioned from the store: their
        # calls never reach it, and nothing reaches them.
        self.cut_off = set()
        # Time of the last read of each machine: (machine, topic, wait_ms).
        self.reads = {}

    async def listen(self, machine):
        """Opens the address at which one machine reaches the store."""
        async def serve(reader, writer):
            await self.serve(machine, reader, writer)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def put(self, topic, key, value):
        content = bytes([len(key)]) + key.encode() + value
        async with self.changed:
            self.topics.setdefault(topic, []).append(content)
            self.changed.notify_all()

    async def configure(self, configuration):
        """Acts as the operator: writes op/config."""
        await self.put("keyed.op", "config",
                       json.dumps(configuration).encode())
        self.record.write("configuration", version=configuration["version"])

    async def serve(self, machine, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if machine in self.cut_off:
                    continue
                _, target, _ = request.start.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path == "/api/log-read":
                    self.reads[machine, query["topic"],
                               int(query.get("wait_ms", 0))] = self.record.now()
                answer = await self.answer(url.path, query, request.body)
                if machine in self.cut_off:
                    continue
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        records = self.topics.setdefault(query.get("topic", ""), [])
        as_json = [("Content-Type", "application/json")]
        if path == "/api/log-append":
            if "at" in query and int(query["at"]) != len(records):
                return answer_bytes(412, as_json,
                                    json.dumps({"end": len(records)}).encode())
            first = len(records)
            async with self.changed:
                while body:
                    size = struct.unpack(">I", body[:4])[0]
                    records.append(body[4:4 + size])
                    body = body[4 + size:]
                self.changed.notify_all()
            return answer_bytes(200, as_json, json.dumps(
                {"offset": first, "end": len(records)}).encode())
        if path == "/api/log-read":
            first = int(query["from"])
            wait = int(query.get("wait_ms", 0)) / 1000
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(
                        lambda: len(records) > first), wait or 0.001)
                except asyncio.TimeoutError:
                    pass
            data = struct.pack(">QQ", len(records), 0)
            for each in records[first:]:
                data += struct.pack(">I", len(each)) + each
            return answer_bytes(200, [], data)
        if path == "/api/log-newest":
            newest = {}
            for offset, each in enumerate(records):
                key = each[1:1 + each[0]].decode()
                newest[key] = (each[1 + each[0]:], offset)
            items = [{"key": key, "offset": offset,
                      "value": base64.b64encode(value).decode()}
                     for key, (value, offset) in sorted(newest.items())
                     if value]
            return answer_bytes(200, as_json, json.dumps(
                {"items": items, "more": False, "end": len(records)}).encode())
        return answer_bytes(404, [])


class Upstream:
    """An application upstream: serves one request at a time on a connection
    and sends heartbeats to the daemon on its machine.

    `behaviour(upstream, request, writer)` may take over the answer of a
    request that runs; it returns False to leave it to the stand-in.
    """

    def __init__(self, case, machine, ident, service, slots=50, work_s=0.02,
                 behaviour=None):
        self.case, self.machine = case, machine
        self.id, self.service = ident, service
        self.slots, self.work_s, self.behaviour = slots, work_s, behaviour
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        # An upstream that leaves says so in all its answers.
        self.leaving = False
        self.running = 0
        self.runs = []
        self.server = None
        self.beating = None
        self.beat_s = 1.5

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.machine.app_port)
        self.case.closers.append(self.stop)
        self.beating = asyncio.ensure_future(self.beat_forever())

    async def stop(self):
        if self.beating:
            self.beating.cancel()
        if self.server:
            self.server.close()

    def heartbeat(self):
        self.sequence += 1
        return {
            "address": "%s:%d" % (self.machine.ip, self.machine.app_port),
            "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "cold_remaining_ms": 0}}

    async def report(self, method="PUT", body=None, timeout=1.0):
        """Sends a heartbeat, or DELETE; returns the status or None."""
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        text = json.dumps(body).encode() if body is not None else b""
        try:
            answer = await exchange(
                (self.machine.ip, self.machine.control_port), method,
                "/api/instances/" + self.id, headers, text, timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None
        self.case.record.write("report", server=self.id, method=method,
                               body=body, status=answer.status)
        return answer.status

    async def beat_forever(self):
        while True:
            status = await self.report(body=self.heartbeat())
            await asyncio.sleep(self.beat_s if status == 200 else 0.1)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await self.handle(request, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, request, reader, writer):
        attempt = request.header("X-Attempt-Id") or ""
        if request.start.split(" ")[1] == "/healthz":
            writer.write(answer_bytes(200, [("X-Instance-Id", self.id)]))
            return
        expected = request.header("X-Expect-Instance")
        if expected not in (None, self.id):
            writer.write(answer_bytes(421, [("X-Attempt-Id", attempt),
                                            ("X-Instance-Id", self.id)]))
            return
        if self.running >= self.slots:
            writer.write(answer_bytes(503, [("X-Attempt-Id", attempt),
                                            ("X-Not-Executed", "1")]))
            return
        self.running += 1
        self.runs.append((self.case.record.now(), attempt))
        self.case.record.write("run", server=self.id, attempt=attempt,
                               target=request.start,
                               tenant=request.header("X-Tenant"),
                               deadline_ms=request.header("X-Deadline-Ms"))
        try:
            if self.behaviour and await self.behaviour(self, request, writer):
                return
            await asyncio.sleep(self.work_s)
            writer.write(self.success(attempt))
        finally:
            self.running -= 1

    def success(self, attempt, status=200):
        headers = [("X-Attempt-Id", attempt),
                   ("X-Response-Signature", self.id + "." + attempt)]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        return answer_bytes(status, headers, b"answer to " + attempt.encode())


class Machine:
    """One machine: its settings file, and its daemon as a process."""

    def __init__(self, case, name, number, service, zone, region,
                 bounds=BOUNDS):
        self.case, self.name, self.service = case, name, service
        self.zone, self.region, self.bounds = zone, region, bounds
        self.ip = "127.0.0.%d" % (20 + number)
        first = free_port_block(self.ip, 22)
        self.internal = [first, first + 15]
        self.app_port, self.outbound_port = first + 16, first + 17
        self.inbound_port, self.ready_port = first + 18, first + 19
        self.control_port = first + 20
        self.first_start = True
        self.store_address = None
        self.process = None
        self.log_path = os.path.join(case.folder, name + ".log")

    def settings(self):
        def quoted(values):
            return "[" + ", ".join('"%s"' % each for each in values) + "]"
        zones = "".join('%s = "%s"\n' % pair
                        for pair in sorted(self.case.zones.items()))
        return f"""
node = "{self.name}"
role = "jackdawd"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "{self.region}"
internal_ports = [{self.internal[0]}, {self.internal[1]}]
seeds = []
first_start = {"true" if self.first_start else "false"}
loss_counts = false
discovery = "static"
entry = "static"
heartbeat_ms = 1500
contracts = {quoted(CONTRACTS)}
bounds = {quoted(self.bounds)}
app_addr = "{self.ip}:{self.app_port}"
service = "{self.service}"
[zones]
{zones}[listen]
inbound = "{self.ip}:{self.inbound_port}"
outbound = "{self.ip}:{self.outbound_port}"
ready = "{self.ip}:{self.ready_port}"
control = "{self.ip}:{self.control_port}"
[limits]
cpu_share = 0.4
cpu_speed_factor = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = "{self.store_address}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""

    async def start(self):
        if not self.store_address:
            self.store_address = await self.case.store.listen(self.name)
        path = os.path.join(self.case.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(self.log_path, "a", encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "JACKDAWFLOW_SETTINGS": path})
        log.close()
        self.first_start = False
        self.case.record.write("daemon_started", machine=self.name,
                               pid=self.process.pid)

    def signal(self, number):
        self.case.record.write("signal", machine=self.name,
                               number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ended(self, timeout):
        """Exit status if the daemon ends within `timeout`, else None."""
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            return None

    async def kill(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()

    async def ready(self):
        try:
            answer = await exchange((self.ip, self.ready_port), "GET",
                                    "/api/ready", [("Host", "ready")], b"", 0.5)
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    @property
    def outbound(self):
        return (self.ip, self.outbound_port)

    def log_events(self, event):
        """Events of the daemon's log."""
        found = []
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    fields = json.loads(line)
                except ValueError:
                    continue
                if fields.get("event") == event:
                    found.append(fields)
        return found


async def exchange(address, method, target, headers, body=b"", timeout=10.0):
    """One request on a new connection; returns the answer."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(*address), timeout)
    try:
        writer.write(request_bytes(method, target, headers, body))
        return await asyncio.wait_for(read_message(reader), timeout)
    finally:
        writer.close()


class KeptClient:
    """A client that keeps its connection open for many requests."""

    def __init__(self, case, machine):
        self.case, self.machine = case, machine
        self.reader = self.writer = None

    async def send(self, method, host, path, deadline_ms, key=None, body=b"",
                   attempt=None):
        """One client attempt; returns the answer, or None if the connection
        ends without one."""
        case = self.case
        attempt = attempt or case.attempt_id()
        case.record.write("sent", attempt=attempt, machine=self.machine.name,
                          request=method + " " + path, kept=True)
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    *self.machine.outbound)
            self.writer.write(request_bytes(
                method, path, case.headers(host, attempt, deadline_ms, key),
                body))
            answer = await asyncio.wait_for(read_message(self.reader),
                                            deadline_ms / 1000 + 1)
            case.record.write("answered", attempt=attempt,
                              status=answer.status)
            if (answer.header("Connection") or "").lower() == "close":
                self.close()
            return answer
        except (OSError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as problem:
            case.record.write("not_answered", attempt=attempt,
                              problem=repr(problem))
            self.close()
            return None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def request_bytes(method, target, headers, body=b""):
    head = "%s %s HTTP/1.1\r\n" % (method, target)
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    if body or method not in ("GET", "HEAD", "DELETE"):
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode("latin-1") + b"\r\n" + body


class Case:
    def __init__(self, record_path, seed):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.seed = seed
        self.random = random.Random(seed)
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="jackdaw-review-")
        self.store = Store(self.record)
        self.zones = {}
        self.machines = []
        self.closers = []
        self.violations = []
        self.attempts = 0

    def machine(self, name, service, zone="zone-a", region="region-a",
                bounds=BOUNDS):
        self.zones[zone] = region
        added = Machine(self, name, len(self.machines) + 1, service, zone,
                        region, bounds)
        self.machines.append(added)
        return added

    def violated(self, text, **fields):
        self.violations.append(text)
        self.record.write("violation", text=text, **fields)

    def attempt_id(self):
        self.attempts += 1
        return "%016x" % self.random.getrandbits(64)

    def headers(self, host, attempt, deadline_ms, key=None):
        result = [("Host", host), ("X-Attempt-Id", attempt),
                  ("X-Deadline-Ms", str(deadline_ms))]
        if key:
            result.append(("Authorization", "Token " + key))
        return result

    async def send(self, machine, method, host, path, deadline_ms, key=None,
                   body=b"", attempt=None):
        """One client attempt on a new connection. Returns its id and the
        answer, or None for the answer if the connection ends without one."""
        attempt = attempt or self.attempt_id()
        self.record.write("sent", attempt=attempt, machine=machine.name,
                          request=method + " " + path)
        try:
            answer = await exchange(
                machine.outbound, method, path,
                self.headers(host, attempt, deadline_ms, key), body,
                deadline_ms / 1000 + 1)
            self.record.write("answered", attempt=attempt,
                              status=answer.status, headers=answer.headers)
            return attempt, answer
        except (OSError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as problem:
            self.record.write("not_answered", attempt=attempt,
                              problem=repr(problem))
            return attempt, None

    async def wait_until(self, condition, timeout, what):
        limit = time.monotonic() + timeout
        while time.monotonic() < limit:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("timed out: " + what)

    async def all_served(self, pairs, host, path, deadline_ms=5000, key=None):
        """Waits until each machine of `pairs` serves an idempotent request."""
        for machine in pairs:
            async def served():
                _, answer = await self.send(machine, "GET", host, path,
                                            deadline_ms, key)
                return answer is not None and answer.status == 200
            await self.wait_until(served, 20, machine.name + " serves")

    async def close(self):
        for machine in self.machines:
            await machine.kill()
        for each in self.closers:
            await each()
        if os.environ.get("KEEP_LOGS") == "1":
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, public=True, timeout_ms=5000,
          attempts=2, target_ms=1500, priority=0):
    return host, {"name": name, "kind": kind, "target_latency_ms": target_ms,
                  "priority": priority, "public": public,
                  "match": {"path_prefix": prefix},
                  "action": {"service": service, "timeout_ms": timeout_ms,
                             "attempts": attempts}}


def configuration(version, routes, services, tenants=(), limits=None):
    hosts = {}
    for host, rule in routes:
        hosts.setdefault(host, []).append(rule)
    result = {
        "version": version,
        "limits": limits or {
            "max_header_bytes": 16384, "max_body_bytes": 67108864,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "listeners": [{"host": host, "rules": rules}
                      for host, rules in hosts.items()],
        "clusters": [{"name": name, "health_check": "/healthz",
                      "max_connections": 694, "protocol": "h1", "tls": False}
                     for name in services]}
    if tenants:
        result["tenants"] = list(tenants)
    return result


def main(run, folder):
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (did not run). The
    first argument names the record in the case's folder."""
    async def body():
        if not os.access(DAEMON, os.X_OK):
            print("can't run: target/bin/platform/jackdawd is not built")
            return NOT_RUN
        case = Case(os.path.join(folder, sys.argv[1]),
                    int(os.environ.get("SEED", "1")))
        problem = None
        try:
            await asyncio.wait_for(run(case), LONGEST_RUN_S)
        except (Exception, asyncio.CancelledError) as each:
            problem = each
            case.record.write("not_run", problem=repr(problem))
        finally:
            await case.close()
        for each in case.violations:
            print("broken:", each)
        case.record.write("result", broken=len(case.violations))
        if case.violations:
            print("rule broken")
            return BROKEN
        if problem is not None:
            print("can't run:", repr(problem))
            return NOT_RUN
        print("rule held")
        return HELD

    try:
        status = asyncio.run(body())
    except BaseException as problem:  # nothing of this is a broken rule
        print("can't run:", repr(problem))
        status = NOT_RUN
    sys.exit(status)
