"""Stand-ins of the platform's store and of replicas, and helpers to start gateways, for the cases of this review.

Everything listens on 127.0.0.1. Only Python's standard library is used.
"""

import asyncio
import base64
import json
import logging
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target/source/programs/cuminpathd/cuminpathd"
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # Writes to connections that the peer has closed.


class Record:
    """Writes what was sent, answered and run to a file, one line for each, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# Below the ephemeral ports of outgoing connections, so that none of these takes a port before its process listens.
PORTS = range(15000, 32000)
reserved_ports = set()


def free_port():
    """Returns a port that is free for TCP and UDP, each one once."""
    while True:
        port = random.choice(PORTS)
        if port in reserved_ports:
            continue
        reserved_ports.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


class Watch:
    """Measures for how long the script itself was held up; a run in which that was long shows nothing."""

    LONGEST_S = 0.5

    def __init__(self, record):
        self.record, self.worst = record, 0.0
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            self.worst = max(self.worst, time.monotonic() - before - 0.05)

    def held_up(self):
        self.task.cancel()
        self.record(f"longest time for which this script was held up: {self.worst:.2f} s")
        return self.worst > self.LONGEST_S


async def read_head(reader):
    """Returns the first line and the headers (lower-case names); None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's metadata store: rows-get, rows-feed and rows-tx."""

    MAX_ROWS = 500
    MAX_BYTES = 1 << 20

    def __init__(self, answer_s=0.004, history_s=20.0):
        self.rows = {}  # (table, part, key) -> [value or None, ver]
        self.ver = 0
        self.answer_s = answer_s
        self.changed = asyncio.Event()
        self.on_read = None  # Called with the query of each rows-get after its answer has been made.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value, part=""):
        self.ver += 1
        self.rows[(table, part, key)] = [value, self.ver]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def put_json(self, table, key, value):
        return self.put(table, key, json.dumps(value).encode())

    def drop(self, table, key):
        return self.put(table, key, None)

    @staticmethod
    def encode(name, row):
        table, part, key = name
        out = {"table": table, "part": part, "key": key, "ver": row[1]}
        if row[0] is None:
            out["deleted"] = True
        else:
            out["value"] = base64.b64encode(row[0]).decode()
        return out

    def rows_get(self, query):
        rows, size, truncated = [], 0, False
        limit = min(self.MAX_ROWS, int(query.get("limit", self.MAX_ROWS)))
        for name in sorted(n for n in self.rows if n[0] == query["table"] and n[1] == query.get("part", "")):
            row = self.rows[name]
            if row[0] is None or name[2] < query.get("from", "") or ("to" in query and name[2] >= query["to"]):
                continue
            if len(rows) >= limit or size + len(row[0]) > self.MAX_BYTES:
                truncated = True
                break
            rows.append(self.encode(name, row))
            size += len(row[0])
        return {"rows": rows, "truncated": truncated, "ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    async def rows_feed(self, query):
        after, until = int(query["afterRevision"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changes = [(n, r) for n, r in self.rows.items() if n[0] == query["table"] and r[1] > after]
            left = until - time.monotonic()
            if changes or left <= 0:
                changes.sort(key=lambda each: each[1][1])
                return {"rows": [self.encode(n, r) for n, r in changes], "ver": self.ver,
                        "nowMs": int(time.monotonic() * 1000)}
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    def rows_tx(self, body):
        for row in body.get("puts", []) + body.get("delete", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
        for row in body.get("expectedRevision", []):
            known = self.rows.get((row["table"], row["part"], row["key"]))
            if (known[1] if known and known[0] is not None else 0) != row["ver"]:
                return 412, {"rows": []}
        for row in body.get("puts", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]), row["part"])
        for row in body.get("delete", []):
            self.put(row["table"], row["key"], None, row["part"])
        return 200, {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                target = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(target.query))
                status, after = 200, None
                if target.path == "/cuminpath/rows-get":
                    out = self.rows_get(query)
                    after = lambda q=query, o=out: self.on_read and self.on_read(q, o)
                elif target.path == "/cuminpath/rows-feed":
                    out = await self.rows_feed(query)
                else:
                    status, out = self.rows_tx(json.loads(body))
                if after:
                    after()
                await asyncio.sleep(self.answer_s)
                data = json.dumps(out).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Replica:
    """A sound replica. `body_of` returns the body of the answer to a request."""

    def __init__(self, record, ident, service, work_s=0.02, body_of=None, slots=6):
        self.record, self.id, self.service, self.work_s, self.slots = record, ident, service, work_s, slots
        self.body_of = body_of or (lambda path: b"x" * 800)
        self.runs = []  # (seconds, request id)
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def row(self):
        return {"service": self.service, "address": self.address, "zone": "talca", "version": "1",
                "slots": self.slots, "state": "draining" if self.leaving else "ready", "coldRemainingMs": 0,
                "sequence": 0, "born": self.born}

    async def end(self):
        """Ends as a crashed process does: the port is closed and all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, path, _ = line.split(" ", 2)
                await reader.readexactly(int(headers.get("content-length", 0)))
                ident = headers.get("cuminpath-request-id", "")
                extra = "Server-Leaving: 1\r\n" if self.leaving else ""
                if headers.get("cuminpath-target-instance", self.id) != self.id:
                    writer.write((f"HTTP/1.1 421 X\r\nCuminpath-Request-Id: {ident}\r\nCuminpath-Not-Executed: 1\r\n"
                                  f"{extra}Content-Length: 0\r\n\r\n").encode())
                    continue
                self.runs.append((self.record.now(), ident))
                self.record(f"run {ident} at {self.id}{' (leaving)' if self.leaving else ''}")
                await asyncio.sleep(self.work_s)
                body = self.body_of(path)
                writer.write((f"HTTP/1.1 200 OK\r\nCuminpath-Request-Id: {ident}\r\n"
                              f"Cuminpath-Response-Stamp: {self.id}.{len(self.runs)}\r\nKeep-Alive: timeout=5\r\n{extra}"
                              f"Content-Length: {len(body)}\r\n\r\n").encode())
                if method != "HEAD":
                    writer.write(body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def configuration(version, routes, services, limits=None):
    return {"version": version,
            "routes": routes, "services": services,
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000,
                                 "idleTimeoutMs": 20000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}]}


def route(name, prefix, kind, service, timeout_ms=4000, target_ms=300, **more):
    return dict({"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "service": service,
                 "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "maxAttempts": 3, "priority": 1}, **more)


def render(template, values):
    """Fills in a template of the deploy file: sections, lists and plain values."""

    def find(scope, name):
        if name == ".":
            return scope
        for part in name.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
            if scope is None:
                return None
        return scope

    def section(match):
        value = find(values, match.group(1))
        if not value and value != 0:
            return ""
        entries = value if isinstance(value, list) else [value]
        out = ""
        for index, entry in enumerate(entries):
            text = match.group(2).replace("{{,}}", "," if index + 1 < len(entries) else "")
            out += text.replace("{{.}}", str(entry))
        return out

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: "" if find(values, m.group(1)) is None else str(find(values, m.group(1))),
                  text)


class Gateway:
    """A gateway process with the settings of a small deployment."""

    def __init__(self, directory, name, store, seeds=(), memory_mb=182, max_fds=2870, zone="talca"):
        self.name, self.directory = name, directory
        ports = {each: free_port() for each in ("front", "ready", "control", "directory", "metrics")}
        udp = free_port()
        self.front = ("127.0.0.1", ports["front"])
        self.ready = ("127.0.0.1", ports["ready"])
        self.control = "127.0.0.1:%d" % ports["control"]
        values = {"nodeName": name, "zone": zone, "region": "maule", "ip": "127.0.0.1",
                  "listen": {k: "127.0.0.1:%d" % ports[k] for k in ("front", "ready", "control", "directory")},
                  "internalPorts": [udp, ports["metrics"]], "platform": {"address": store.address},
                  "seeds": list(seeds),
                  "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "retryBudgetBurst": 207},
                  "limits": {"memoryMb": memory_mb, "maxFds": max_fds}}
        self.settings = pathlib.Path(directory) / f"{name}.toml"
        self.settings.write_text(render((ROOT / "deploy/gateway.toml.in").read_text(), values))
        self.process = None

    def start(self):
        log = open(pathlib.Path(self.directory) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(PROGRAM), "--settings", str(self.settings)], cwd=ROOT, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /cuminpath/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False


def request_bytes(method, path, ident, deadline_ms, body=b"", more=""):
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nCuminpath-Request-Id: {ident}\r\n"
            f"Cuminpath-Request-Deadline: {deadline_ms}\r\nApi-Key: {KEY}\r\n{more}{length}\r\n").encode() + body
