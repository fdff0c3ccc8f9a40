"""A group of engine ranks in expert parallel, as the users' pages describe it, in one process of the script.

All ranks run each pass together. Each rank reports its state, counts the experts that its requests choose, and
carries out the orders prepare, arm, disarm, hold and go. Reports are fresh for the process on the rank's own
machine and some hundred milliseconds old for others.
"""

import asyncio
import json
import os
import random
import time

import standins

RANKS = 4
SETS, EXPERTS, PLACES, SPARE = 2, 16, 6, 2
SLOTS = 6
PASS_S = 0.035
STRIDE = 6             # Tokens of one event.
PICKS = 8              # Experts that a token chooses in each set.
COPY_S = 0.04          # Time to copy one expert.
REPORT_LAG_S = 0.2
PROBE_S = 0.0055       # Time to answer a question for the state: "5.5 ms a probe" on the sheet of vidal-cuminpath.
SHIFT_S = 1.5          # Time between two changes of what is liked.
ENGINE = {"step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800, "pairs_per_m": 0.232,
          "stride": STRIDE, "chunk": 512, "sets": SETS, "experts": EXPERTS, "places": PLACES, "spare": SPARE,
          "expertMb": 460.0, "linkMbps": 92000.0, "report_lag_ms": 200}


class Rank(standins.Replica):
    def __init__(self, group, number, store, record, port):
        super().__init__(f"i-{number}", group.service, store, record, slots=SLOTS)
        self.host = f"127.0.1.{number + 1}"
        self.port = port
        self.address = f"{self.host}:{port}"
        self.group = group
        self.number = number
        self.experts = [[expert for expert in range(EXPERTS) if expert % RANKS == number] for _ in range(SETS)]
        self.map_version = 0
        self.highest = 0
        self.prepared = None   # (version, experts, time at which the copy is complete)
        self.armed = None      # (version, step)
        self.held = None
        self.fence = 0
        self.disarmed_at = 0.0
        self.sequence = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.streams = []      # Queues, one for each request that runs.
        self.history = []      # (time, report)

    def report(self):
        copied = self.prepared is not None and time.monotonic() >= self.prepared[2]
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.prepared is not None and not copied, "sequence": self.sequence, "queued": 0,
                "running": len(self.streams), "kvUsed": 0, "kvTotal": 494000, "handles": 0, "pace": 1.0,
                "born": self.born, "size": RANKS, "step": self.group.step, "map": self.map_version,
                "prepared": self.prepared[0] if copied else None,
                "armed": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None,
                "held": self.held, "epoch": 1,
                "group": {"name": "g1", "epoch": 1, "rank": self.number, "state": "open"}}

    def remember(self, now):
        self.history.append((now, self.report()))
        while len(self.history) > 1 and self.history[1][0] <= now - REPORT_LAG_S:
            self.history.pop(0)

    async def handle(self, request, reader, writer):
        if request.path in ("/cuminpath/report", "/cuminpath/picked", "/cuminpath/order"):
            await asyncio.sleep(PROBE_S)
        if request.path == "/cuminpath/report":
            own = self.group.is_own_machine(writer, self.number)
            writer.write(standins.json_response(self.report() if own or not self.history else self.history[0][1]))
            return True
        if request.path == "/cuminpath/picked":
            if "lists" in request.query:
                writer.write(standins.json_response({"step": self.group.step, "epoch": 1,
                                                     "map": {"version": self.map_version, "experts": self.experts},
                                                     "prepared": None}))
            else:
                writer.write(standins.json_response({"step": self.group.step, "epoch": 1, "counts": self.counts}))
            return True
        if request.path == "/cuminpath/order":
            order = json.loads(request.body)
            status = self.execute(order)
            detail = {name: order[name] for name in ("version", "step", "fence") if name in order}
            self.record.add(self.name, "order " + order["op"], status=status, **detail)
            writer.write(standins.json_response({}, status))
            return True
        return await super().handle(request, reader, writer)

    def execute(self, order):
        if order.get("fence", 0) < self.fence:
            return 412
        self.fence = max(self.fence, order.get("fence", 0))
        if order.get("epoch", 1) != 1:
            return 409
        status = {"prepare": self.prepare, "arm": self.arm, "disarm": self.disarm, "hold": self.hold,
                  "go": self.go}.get(order["op"], lambda _: 400)(order)
        self.sequence += status == 202
        return status

    def prepare(self, order):
        version, wanted = order["version"], [each[self.number] for each in order["map"]]
        if self.map_version == version or (self.prepared and self.prepared[0] == version):
            return 200
        new = [len(set(after) - set(before)) for before, after in zip(self.experts, wanted)]
        everywhere = all({expert for rank in each for expert in rank} == set(range(EXPERTS)) for each in order["map"])
        if version <= self.highest or self.armed or max(new) > SPARE or not everywhere or \
                max(len(each) for each in wanted) > PLACES:
            return 409
        self.highest = version
        self.prepared = (version, wanted, time.monotonic() + COPY_S * sum(new))
        return 202

    def arm(self, order):
        if self.armed == (order["version"], order["step"]):
            return 200
        if not self.prepared or self.prepared[0] != order["version"] or time.monotonic() < self.prepared[2] or \
                order["step"] <= self.group.step:
            return 409
        self.armed = (order["version"], order["step"])
        return 202

    def disarm(self, order):
        if self.map_version == order["version"]:
            return 409
        if not self.armed or self.armed[0] != order["version"]:
            return 200
        self.armed = None
        self.disarmed_at = time.monotonic()
        return 202

    def hold(self, order):
        if self.held == order["step"]:
            return 200
        if self.held is not None or order["step"] <= self.group.step:
            return 409
        self.held = order["step"]
        return 202

    def go(self, order):
        if self.held != order["step"]:
            return 409
        self.held = None
        return 202

    async def answer(self, request, reader, writer):
        if len(self.streams) >= SLOTS:
            writer.write(standins.response_bytes(503, [*self.headers(request), ("Cuminpath-Not-Executed", "1")]))
            return True
        queue = asyncio.Queue()
        self.streams.append(queue)
        request_id = request.header("Cuminpath-Request-Id")
        first = int(request.header("Last-Event-Id") or 0) + 1
        closed = asyncio.ensure_future(reader.read(1))  # Ends when the caller closes its connection.
        try:
            number = first
            while number <= self.events:
                passed = asyncio.ensure_future(queue.get())
                await asyncio.wait({passed, closed}, return_when=asyncio.FIRST_COMPLETED)
                if closed.done():
                    passed.cancel()
                    return False
                if number == first:
                    writer.write(standins.head_bytes("HTTP/1.1 200 OK", [*self.headers(request),
                                                                         ("Content-Type", "text/event-stream"),
                                                                         ("Transfer-Encoding", "chunked"),
                                                                         ("Connection", "close")]))
                event = f"id: {number}\ndata: {request_id} {number}/{self.events}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                number += 1
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return False
        finally:
            closed.cancel()
            self.streams.remove(queue)


class Group:
    def __init__(self, service, store, record, seed=1):
        self.service = service
        self.record = record
        self.step = 0
        self.mixed = 0
        self.switches = 0
        self.held_since = None
        self.random = random.Random(seed)
        self.balancers = {}    # Rank -> process id.
        self.owners = {}       # Connection -> rank of the balancer at its other end.
        port = standins.free_port([f"127.0.1.{number + 1}" for number in range(RANKS)])
        self.ranks = [Rank(self, number, store, record, port) for number in range(RANKS)]
        self.popular = []

    async def start(self):
        for rank in self.ranks:
            await rank.start()
            rank.register()
        self.task = asyncio.ensure_future(self.run())

    @property
    def held_s(self):
        """Length of the present hold."""
        return time.monotonic() - self.held_since if self.held_since else 0.0

    def is_own_machine(self, writer, number):
        """Whether the balancer of this rank is at the other end of the connection."""
        if writer not in self.owners:
            self.owners[writer] = self.find_owner(writer.get_extra_info("peername"))
        return self.owners[writer] == number

    def find_owner(self, peer):
        address = "".join(f"{int(part):02X}" for part in reversed(peer[0].split("."))) + f":{peer[1]:04X}"
        with open("/proc/net/tcp", encoding="ascii") as table:
            inodes = [line.split()[9] for line in table if line.split()[1] == address]
        for number, pid in self.balancers.items():
            for entry in os.scandir(f"/proc/{pid}/fd"):
                try:
                    if inodes and os.readlink(entry.path) == f"socket:[{inodes[0]}]":
                        return number
                except OSError:
                    pass
        return None

    async def run(self):
        last_shift = 0.0
        while True:
            now = time.monotonic()
            for rank in self.ranks:
                rank.remember(now)
            if now - last_shift >= SHIFT_S:
                last_shift = now
                self.popular = [self.random.sample(range(EXPERTS), 2) for _ in range(SETS)]
            held = any(rank.held == self.step + 1 for rank in self.ranks)
            if held or not any(rank.streams for rank in self.ranks):
                self.held_since = (self.held_since or now) if held else None
                await asyncio.sleep(0.005)
                continue
            self.held_since = None
            self.begin_pass()
            await asyncio.sleep(PASS_S)
            for rank in self.ranks:
                for queue in rank.streams:
                    queue.put_nowait(True)
                self.count(rank)

    def begin_pass(self):
        self.step += 1
        switched = [rank for rank in self.ranks if rank.armed and rank.armed[1] == self.step and rank.prepared]
        for rank in switched:
            rank.experts, rank.map_version = rank.prepared[1], rank.armed[0]
            rank.prepared = rank.armed = None
        if switched:
            self.switches += 1
            self.record.add("group", "switches maps", step=self.step, ranks=len(switched))
        if len({rank.map_version for rank in self.ranks}) > 1:
            self.mixed += 1
            self.record.add("group", "begins a pass with different maps", step=self.step,
                            maps=[rank.map_version for rank in self.ranks])

    def count(self, rank):
        tokens = len(rank.streams) * STRIDE * PICKS
        for layer in range(SETS):
            for expert in range(EXPERTS):
                share = 0.35 if expert in self.popular[layer] else 0.3 / (EXPERTS - 2)
                rank.counts[layer * EXPERTS + expert] += int(tokens * share + self.random.random())
