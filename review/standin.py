"""Stand-ins for the platform's store, workers and clients, and gateways of the machines.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import shutil
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

LOCAL = "127.0.0.1"
# How long after it has begun to listen a worker registers itself, in seconds.
REGISTRATION_S = 0.15
# The interval of its entries, in seconds.
HEARTBEAT_S = 0.8
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target/release/zinnia-router")


def free_ports(count):
    """Returns unused ports of the loopback address with five digits."""
    sockets, ports = [], []
    while len(ports) < count:
        taken = socket.socket()
        taken.bind((LOCAL, 0))
        port = taken.getsockname()[1]
        sockets.append(taken)
        if port >= 10_000:
            ports.append(port)
    for taken in sockets:
        taken.close()
    return ports


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def note(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads the head of an HTTP message; returns its first line and headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Gateway:
    """What is between one machine and the others: it may be cut, and it translates the machine's own
    address, as address translation does: `inner` is where the machine listens, `outer` is where the
    others reach it. Both texts have the same length."""

    def __init__(self, inner, outer):
        self.inner, self.outer = f"{LOCAL}:{inner}".encode(), f"{LOCAL}:{outer}".encode()
        self.inner_port, self.outer_port = inner, outer
        self.is_cut = False
        self.streams = set()

    def outward(self, data):
        return data.replace(self.inner, self.outer)

    def inward(self, data):
        return data.replace(self.outer, self.inner)

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False
        for writer in list(self.streams):
            writer.transport.abort()


class Store:
    """The platform's store. Each machine reaches it through its own gateway, at its own port."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.groups = {}

    async def listen(self, port, gateway=None):
        handler = lambda reader, writer: self.serve(reader, writer, gateway)
        return await asyncio.start_server(handler, LOCAL, port, limit=1 << 20)

    def log(self, topic):
        return self.topics.setdefault(topic, [])

    async def append(self, topic, records):
        log = self.log(topic)
        offset = len(log)
        log.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, topic, key, value):
        await self.append(topic, [(key.encode(), value)])

    async def serve(self, reader, writer, gateway):
        if gateway:
            gateway.streams.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                if gateway and gateway.is_cut:
                    continue
                method, target, _ = line.split(" ", 2)
                answer = await self.answer(method, target, body, gateway)
                if gateway and gateway.is_cut:
                    continue
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if gateway:
                gateway.streams.discard(writer)
            writer.close()

    async def answer(self, method, target, body, gateway):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        call = url.path.rsplit("/", 1)[-1]
        await asyncio.sleep(0.004)
        if call == "log-append":
            return await self.answer_append(query, body, gateway)
        if call == "log-read":
            return await self.answer_read(query, gateway)
        if call == "log-newest":
            return self.answer_newest(query, gateway)
        if call in ("log-join", "log-leave"):
            return self.answer_group(call, json.loads(body))
        return response(404)

    async def answer_append(self, query, body, gateway):
        topic = query["topic"]
        records, at = [], 0
        while at < len(body):
            size = int.from_bytes(body[at : at + 4], "big")
            content = body[at + 4 : at + 4 + size]
            key = content[1 : 1 + content[0]]
            value = content[1 + content[0] :]
            records.append((key, gateway.outward(value) if gateway else value))
            at += 4 + size
        end = len(self.log(topic))
        if "at" in query and int(query["at"]) != end:
            return response(412, json.dumps({"end": end}).encode())
        offset = await self.append(topic, records)
        answer = {"offset": offset, "end": offset + len(records)}
        return response(200, json.dumps(answer).encode())

    async def answer_read(self, query, gateway):
        topic, start = query["topic"], int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1_000
        while len(self.log(topic)) <= start and time.monotonic() < until:
            async with self.changed:
                left = max(until - time.monotonic(), 0.001)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        log = self.log(topic)
        out = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
        limit = int(query.get("max_kb", "1024")) * 1_024
        for key, value in log[start:]:
            value = gateway.inward(value) if gateway else value
            content = bytes([len(key)]) + key + value
            if len(out) + len(content) + 4 > limit:
                break
            out += len(content).to_bytes(4, "big") + content
        return response(200, out)

    def answer_newest(self, query, gateway):
        log = self.log(query["topic"])
        newest = {}
        for offset, (key, value) in enumerate(log):
            newest[key] = (offset, value)
        after = query.get("after", "").encode()
        items = []
        for key in sorted(newest):
            offset, value = newest[key]
            if value and key > after:
                value = gateway.inward(value) if gateway else value
                text = base64.b64encode(value).decode()
                items.append({"key": key.decode(), "value": text, "offset": offset})
        page = {"items": items[:500], "has_more": len(items) > 500, "end": len(log)}
        return response(200, json.dumps(page).encode())

    def answer_group(self, call, body):
        group = self.groups.setdefault(body["group"], {"members": {}, "holder": None, "generation": 0})
        now = time.monotonic()
        members = group["members"]
        if call == "log-join":
            members[body["member"]] = now + body["ttl_ms"] / 1_000
        else:
            members.pop(body["member"], None)
        for member, until in list(members.items()):
            if until <= now:
                del members[member]
        if group["holder"] not in members:
            group["holder"] = next(iter(members), None)
            group["generation"] += 1
        if call == "log-leave":
            return response(200, b"{}")
        holds = group["holder"] == body["member"]
        parts = [[body["topics"][0], 0, 0]] if holds else []
        answer = {"generation": group["generation"], "parts": parts}
        return response(200, json.dumps(answer).encode())


async def serve_peers(gateway, other):
    """Passes the calls of the other machine on to the one behind `gateway`, frame by frame."""

    async def pump(reader, writer, translate):
        try:
            while True:
                size = await reader.readexactly(4)
                frame = await reader.readexactly(int.from_bytes(size, "big"))
                if gateway.is_cut or other.is_cut:
                    continue
                writer.write(size + translate(frame))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(reader, writer):
        if gateway.is_cut or other.is_cut:
            gateway.streams.add(writer)
            return
        try:
            inner_reader, inner_writer = await asyncio.open_connection(LOCAL, gateway.inner_port)
        except OSError:
            writer.transport.abort()
            return
        gateway.streams |= {writer, inner_writer}
        inward = lambda data: gateway.inward(other.outward(data))
        outward = lambda data: gateway.outward(other.inward(data))
        await asyncio.gather(pump(reader, inner_writer, inward), pump(inner_reader, writer, outward))
        gateway.streams -= {writer, inner_writer}

    return await asyncio.start_server(serve, LOCAL, gateway.outer_port)


class Worker:
    """A worker that registers itself in the store and, where its service has keys, holds them under grants."""

    def __init__(self, store, record, name, service, port, sharded=True, work_ms=20):
        self.store, self.record = store, record
        self.name, self.service, self.port, self.sharded = name, service, port, sharded
        self.work_ms = work_ms
        self.address = f"{LOCAL}:{port}"
        self.server = None
        self.streams = set()
        self.life = 0
        self.holds, self.seen = [], []
        self.body = b"ok"
        self.runs = []

    async def start(self):
        """Starts an incarnation, which holds and knows nothing of before."""
        self.life += 1
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.state = "ready"
        # First key, last key, fence, end of the hold.
        self.holds = []
        # First key, last key, highest fence seen.
        self.seen = []
        self.running = {}
        self.server = await asyncio.start_server(self.serve, LOCAL, self.port, limit=1 << 22)
        self.beating = asyncio.create_task(self.beat(self.life))
        self.record.note("worker-started", worker=self.name, life=self.life, born=self.born)

    def crash(self):
        """Ends the incarnation: its connections are reset."""
        self.record.note("worker-crashed", worker=self.name, life=self.life)
        self.beating.cancel()
        self.server.close()
        self.server = None
        for writer in list(self.streams):
            writer.transport.abort()
        self.holds = []

    @property
    def is_up(self):
        return self.server is not None

    async def beat(self, life):
        await asyncio.sleep(REGISTRATION_S)
        while self.is_up and self.life == life:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": "z1", "version": "v1",
            "slots": 6, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born,
        }
        await self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def held(self, now=None):
        now = now or time.monotonic()
        return [hold for hold in self.holds if hold[3] > now]

    def holds_key(self, key):
        return any(first <= key <= last for first, last, _, _ in self.held())

    async def serve(self, reader, writer):
        self.streams.add(writer)
        life = self.life
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                if life != self.life or not self.is_up:
                    break
                method, target, _ = line.split(" ", 2)
                path = target.split("?")[0]
                if path == "/zinniastack/grant":
                    answer = self.grant(headers, json.loads(body))
                elif path == "/zinniastack/release":
                    answer = await self.release(headers, json.loads(body))
                else:
                    answer = await self.run(method, target, headers, body)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.streams.discard(writer)
            writer.close()

    def is_misdirected(self, headers):
        return headers.get("x-expect-instance", self.name) != self.name

    def refuse(self, status, headers):
        echoed = [("X-Not-Executed", "1")]
        if "x-request-id" in headers:
            echoed.append(("X-Request-Id", headers["x-request-id"]))
        return response(status, b"", echoed)

    def grant(self, headers, body):
        if self.is_misdirected(headers):
            return self.refuse(421, headers)
        first, last, fence = body["from"], body["target"], body["fence"]
        higher = [s for s in self.seen if s[0] <= last and s[1] >= first and s[2] > fence]
        self.record.note(
            "grant", worker=self.name, life=self.life, first=first, last=last, fence=fence,
            answer=409 if higher else 200,
        )
        if higher:
            return response(409, b"{}")
        now = time.monotonic()
        self.note_seen(first, last, fence)
        self.holds = without(self.held(now), first, last)
        self.holds.append((first, last, fence, now + body["hold_ms"] / 1_000))
        return response(200, b"{}")

    def note_seen(self, first, last, fence):
        self.seen = [s for s in self.seen if not (first <= s[0] and s[1] <= last and s[2] <= fence)]
        self.seen.append((first, last, fence))

    async def release(self, headers, body):
        if self.is_misdirected(headers):
            return self.refuse(421, headers)
        first, last, fence = body["from"], body["target"], body["fence"]
        had = any(h[0] <= last and h[1] >= first for h in self.held())
        self.note_seen(first, last, fence)
        self.holds = without(self.held(), first, last)
        life = self.life
        while any(first <= key <= last for key in self.running.values()) and life == self.life:
            await asyncio.sleep(0.005)
        self.record.note(
            "release", worker=self.name, life=life, first=first, last=last, fence=fence, held=had
        )
        token = [("X-Lease-Handover", f"{fence:x}-{self.name}")] if had else []
        return response(200, b"{}", token)

    async def run(self, method, target, headers, body):
        request_id = headers.get("x-request-id", "")
        if self.is_misdirected(headers):
            return self.refuse(421, headers)
        key = int(headers.get("x-shard-key", "0"))
        if self.sharded and not self.holds_key(key):
            self.record.note("not-run", worker=self.name, id=request_id, key=key, answer=421)
            return self.refuse(421, headers)
        life = self.life
        self.runs.append((time.monotonic(), life, request_id, key))
        self.record.note("run", worker=self.name, life=life, id=request_id, key=key)
        self.running[request_id] = key
        await asyncio.sleep(self.work_ms / 1_000)
        self.running.pop(request_id, None)
        signed = [("X-Request-Id", request_id), ("X-Response-Signature", f"s-{request_id}")]
        signed.append(("Keep-Alive", "timeout=5"))
        return response(200, self.body, signed)


def without(holds, first, last):
    """Returns the holds without the keys of a range."""
    left = []
    for low, high, fence, until in holds:
        if high < first or low > last:
            left.append((low, high, fence, until))
            continue
        if low < first:
            left.append((low, first - 1, fence, until))
        if high > last:
            left.append((last + 1, high, fence, until))
    return left


class Router:
    """A process of the program under test."""

    def __init__(self, folder, name, ports, store_port, memory_mb=390, max_fds=6_150):
        self.name = name
        self.front, self.ready, self.peers, self.metrics = ports
        self.log = os.path.join(folder, f"{name}.log")
        self.settings = os.path.join(folder, f"{name}.json")
        self.process = None
        settings = {
            "grants": "call",
            "self": {
                "node": name, "role": "entry", "machine_class": "edge", "serves": ["edge"],
                "ip": LOCAL, "zone": "z1", "region": "r1", "count_loss": False, "bootstrap": True,
                "data_dir": None,
                "limits": {"cpu_share": 0.4, "cpus": 1, "memory_mb": memory_mb, "max_fds": max_fds,
                           "link_mbps": 1500.0, "disk_mb": 0},
            },
            "network": {
                "listen": {"front": f"{LOCAL}:{self.front}", "ready": f"{LOCAL}:{self.ready}"},
                "internal_ports": [self.peers, self.peers], "seeds": [], "zones": {"z1": "r1"},
            },
            "platform": {
                "discovery": "platform", "entry": "vip", "heartbeat_ms": 800,
                "platform": {
                    "address": f"{LOCAL}:{store_port}", "form": "log", "writes_per_s": 400,
                    "reads_per_s": 2000, "parts": 8, "append_ms": 4.0, "part_mb_s": 20.0,
                    "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
                    "keep_s": 300, "part_mb": 200, "min_ttl_ms": 1000,
                },
            },
            "terms": {
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"],
                "tolerate": {"machines": 2, "zones": 1, "regions": 0},
                "bounds": {
                    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
                    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
                    "config_apply_ms": 2000, "back_ms": 250, "max_stretch_ms": 5000,
                    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 60, "recovery_s": 15,
                    "max_hold_ms": 10000, "thaw_ms": 300,
                },
            },
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "ZINNIASTACK_CONFIG": self.settings}
        log = open(self.log, "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--metrics-port", str(self.metrics)],
            env=environment, stdout=log, stderr=log, cwd=ROOT,
        )

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def rss_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1_024
        return 0.0

    def lines(self, event):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return [line for line in file if f"event={event}" in line]

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(LOCAL, self.ready)
            writer.write(b"GET /zinniastack/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


def route(name, kind, service, **more):
    spec = {
        "name": f"r-{name}", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 1_500,
        "target_latency_ms": 500, "priority": 1, "max_attempts": 2, "service": service,
    }
    spec.update(more)
    return spec


def configuration(version, paths, services):
    return {
        "version": version,
        "services": services,
        "limits": {"max_header_bytes": 8_192, "max_body_bytes": 3_000_000,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "hosts": [{"host": "desk.example", "paths": paths}],
    }


async def call(port, path, request_id, key=None, method="GET", body=b"", deadline_ms=2500, timeout=4.0):
    """Sends one request on a new connection; returns the status, the headers and the body, or None."""
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"X-Request-Id: {request_id}",
             f"X-Request-Deadline: {deadline_ms}"]
    if key is not None:
        lines.append(f"X-Shard-Key: {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(LOCAL, port)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await read_head(reader)
        if head is None:
            return None
        content = await read_body(reader, head[1])
        return int(head[0].split(" ")[1]), head[1], content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


async def wait_for(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.05)
    raise CannotRun(what)




def run(play):
    """Plays a case in a temporary folder, and ends with its verdict: 1 where the rule was broken, 0 where it
    held, 2 where the case could not run. Ends all processes that were started."""
    if not os.path.exists(PROGRAM):
        print(f"cannot run: {PROGRAM} is not built")
        sys.exit(2)
    folder = tempfile.mkdtemp()
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.environ.get("RECORD", os.path.join(here, "record.txt")))
    routers = []

    async def main():
        # Connections that the case ends itself are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await play(folder, record, routers)

    try:
        verdict = asyncio.run(main())
    except CannotRun as error:
        print("cannot run:", error)
        record.note("cannot-run", why=error)
        verdict = 2
    except Exception:  # An error of the case itself is no verdict.
        traceback.print_exc()
        verdict = 2
    finally:
        for router in routers:
            router.stop()
        record.close()
        shutil.rmtree(folder)
    sys.exit(verdict)


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"
