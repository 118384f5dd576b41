"""Stand-ins and process control that the review's scripts share.

The store, the servers and the clients follow the users' pages: PROTOCOL.md for
what is spoken and DEPLOY.md for how a process is started. They run in the
script's own process on loopback addresses; mimosa-entry runs as separate
processes, with the command and the template of the deploy file.
"""

import asyncio
import base64
import copy
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]

BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 56,
    "quota_window_s": 8,
}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


# --- Record ----------------------------------------------------------------


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def line(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


# --- HTTP ------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {k: v[-1] for k, v in parse_qs(parts.query, True).items()}

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    start, headers = await read_head(reader)
    method, target, _ = start.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def response_bytes(status, headers=None, body=b""):
    reason = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on a connection."""

    def __init__(self, ip, port, handler):
        self.ip, self.port = ip, port
        self._handler = handler
        self._server = None
        self._tasks = {}

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512, reuse_address=True)

    async def _serve(self, reader, writer):
        self._tasks[asyncio.current_task()] = writer
        connection = {}  # What a handler keeps of the connection.
        try:
            while True:
                request = await read_request(reader)
                request.connection = connection
                request.reader, request.writer = reader, writer
                request.peer = writer.get_extra_info("peername")[0]
                answer = await self._handler(request)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError, ValueError):
            pass
        finally:
            self._tasks.pop(asyncio.current_task(), None)
            writer.close()

    async def stop(self):
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task, writer in list(self._tasks.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.sleep(0)


class Answer:
    def __init__(self, status=None, headers=None, body=b"", error=""):
        self.status = status  # None if there was no complete answer
        self.headers = headers or {}
        self.body = body
        self.error = error


async def fetch(ip, port, method, target, headers=None, body=b"",
                timeout_s=10.0, source_ip=None):
    """Sends one request on a new connection. Never raises for the network."""
    writer = None

    async def run():
        nonlocal writer
        local = (source_ip, 0) if source_ip else None
        reader, writer = await asyncio.open_connection(ip, port,
                                                       local_addr=local)
        lines = [f"{method} {target} HTTP/1.1"]
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        start, got = await read_head(reader)
        status = int(start.split(" ")[1])
        if got.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                if size == 0:
                    await reader.readline()
                    break
                data += await reader.readexactly(size)
                await reader.readline()
        else:
            data = await reader.readexactly(int(got.get("content-length", "0")))
        return Answer(status, got, data)

    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError,
            OSError, ValueError) as error:
        return Answer(error=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


def json_answer(value, status=200, headers=None):
    return response_bytes(
        status, {"Content-Type": "application/json", **(headers or {})},
        json.dumps(value).encode())


# --- The platform's store --------------------------------------------------


class Item:
    def __init__(self, value, revision, created, lease):
        self.value, self.revision = value, revision
        self.created, self.lease = created, lease

    def json(self, key):
        return {"key": key, "value": base64.b64encode(self.value).decode(),
                "revision": self.revision, "created": self.created,
                "lease": self.lease}


class StoreState:
    def __init__(self):
        self.revision = 100
        self.items = {}
        self.leases = {}  # id: [ttl_s, ends at]
        self.last_lease = 7000
        self.history = []  # (revision, key, json of the item or tombstone)
        self.history_from = 100  # Watches from here on are served.


class Store:
    """The platform's store of PROTOCOL.md. `answers` counts calls by path."""

    def __init__(self, ip, record):
        self.ip, self.port = ip, free_port(ip)
        self.record = record
        self.state = StoreState()
        self.era = 1
        self._changed = asyncio.Event()  # Set at the next change.
        self._server = HttpServer(ip, self.port, self._handle)
        self._expiry = None
        self._watches = 0

    async def start(self):
        await self._server.start()
        self._expiry = asyncio.create_task(self._expire_leases())

    async def stop(self):
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        await self._server.stop()

    def copy(self):
        return copy.deepcopy(self.state)

    def restore(self, state):
        """Takes over an older copy. Its history is gone."""
        self.state = copy.deepcopy(state)
        self.state.history = []
        self.state.history_from = self.state.revision
        self.era += 1

    async def put(self, key, value, lease=0):
        """A write of the operator or of a server, without a condition."""
        await self._commit([(key, value, lease)], [])
        return self.state.revision

    async def remove(self, key):
        await self._commit([], [key])
        return self.state.revision

    async def _commit(self, writes, removed):
        state = self.state
        state.revision += 1
        for key, value, lease in writes:
            old = state.items.get(key)
            item = Item(value, state.revision,
                        old.created if old else state.revision, lease)
            state.items[key] = item
            state.history.append((state.revision, key, item.json(key)))
        for key in removed:
            if state.items.pop(key, None) is not None:
                state.history.append(
                    (state.revision, key,
                     {"key": key, "revision": state.revision,
                      "tombstone": True}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends) in list(self.state.leases.items()):
                if now >= ends:
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        if self.state.leases.pop(lease, None) is None:
            return False
        keys = [k for k, i in self.state.items.items() if i.lease == lease]
        if keys:
            await self._commit([], keys)
        return True

    def _answer(self, value, status=200):
        return json_answer(value, status, {"Store-Era": self.era})

    async def _handle(self, request):
        call = (request.method, request.path)
        if call == ("GET", "/mimosarouter/kv-key"):
            item = self.state.items.get(request.query.get("key", ""))
            if item is None:
                return self._answer({}, 404)
            return self._answer({**item.json(request.query["key"]),
                                 "current_rev": self.state.revision})
        if call == ("GET", "/mimosarouter/kv-range"):
            return self._range(request)
        if call == ("GET", "/mimosarouter/kv-watch"):
            return await self._watch(request)
        if call == ("POST", "/mimosarouter/kv-txn"):
            return await self._transaction(json.loads(request.body))
        if call == ("POST", "/mimosarouter/kv-lease"):
            ttl_ms = json.loads(request.body)["ttl_ms"]
            self.state.last_lease += 1
            self.state.leases[self.state.last_lease] = [
                ttl_ms / 1000, time.monotonic() + ttl_ms / 1000]
            return self._answer({"lease": self.state.last_lease,
                                 "ttl_ms": ttl_ms})
        keep = re.fullmatch(r"/mimosarouter/kv-keep/(\d+)", request.path)
        if request.method == "POST" and keep:
            lease = self.state.leases.get(int(keep[1]))
            if lease is None:
                return self._answer({}, 404)
            lease[1] = time.monotonic() + lease[0]
            return self._answer({"ttl_ms": int(lease[0] * 1000)})
        end = re.fullmatch(r"/mimosarouter/kv-lease-end/(\d+)", request.path)
        if request.method == "DELETE" and end:
            found = await self._end_lease(int(end[1]))
            return self._answer({}, 200 if found else 404)
        return self._answer({}, 404)

    def _range(self, request):
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        keys = sorted(k for k in self.state.items
                      if k.startswith(prefix) and k > after)
        page = keys[:500]
        return self._answer(
            {"items": [self.state.items[k].json(k) for k in page],
             "has_more": len(keys) > len(page),
             "current_rev": self.state.revision})

    async def _watch(self, request):
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        wait_s = int(request.query.get("wait_ms", "30000")) / 1000
        self._watches += 1
        number = self._watches
        self.record.line(f"store: watch {number} of {request.peer} after "
                         f"{after}, revision {self.state.revision}")
        ends = time.monotonic() + wait_s
        while True:
            # A revision that the store doesn't have, or whose changes it has
            # no longer.
            if after > self.state.revision or after < self.state.history_from:
                self.record.line(f"store: watch {number} answered 410")
                return self._answer({}, 410)
            events = [e for r, k, e in self.state.history
                      if r > after and k.startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return self._answer({"events": events,
                                     "current_rev": self.state.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _transaction(self, body):
        items = self.state.items
        writes = [(w["key"], base64.b64decode(w["value"]), w.get("lease", 0))
                  for w in body.get("writes", [])]
        removed = body.get("remove", [])
        for key in [w[0] for w in writes] + removed:
            if key.startswith(("op/", "servers/")):
                return self._answer({}, 403)
        for row in body.get("expected", []):
            item = items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                present = [items[r["key"]].json(r["key"])
                           for r in body["expected"] if r["key"] in items]
                return self._answer({"items": present}, 412)
        for _, _, lease in writes:
            if lease and lease not in self.state.leases:
                return self._answer({}, 404)
        await self._commit(writes, removed)
        return self._answer({"revision": self.state.revision})


# --- Servers ---------------------------------------------------------------


class Server:
    """A plain server of a service, with its entry in the store."""

    def __init__(self, ip, store, record, id_, service, zone="a", work_s=0.015,
                 slots=6):
        self.ip, self.port = ip, free_port(ip)
        self.store, self.record = store, record
        self.id, self.service, self.zone = id_, service, zone
        self.work_s, self.slots = work_s, slots
        self.runs = []  # (time, request id)
        self.state = "ready"
        self._sequence = 0
        self._http = HttpServer(ip, self.port, self._handle)
        self._heartbeat = None
        self.era_written = None

    def entry(self):
        self._sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{self.ip}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0,
            "sequence": self._sequence, "born": 1764900000000,
        }).encode()

    async def register(self):
        await self.store.put("servers/" + self.id, self.entry())

    async def start(self):
        await self._http.start()
        await self.register()

    async def stop(self):
        await self._http.stop()

    async def _handle(self, request):
        expected = request.header("Mimosarouter-Expect-Instance")
        if expected and expected != self.id:
            return response_bytes(
                421, {"Mimosarouter-Instance-Id": self.id})
        if request.path == "/health":
            return response_bytes(200, {"Mimosarouter-Instance-Id": self.id})
        id_ = request.header("Mimosarouter-Request-Id")
        self.runs.append((self.record.now(), id_))
        self.record.line(f"server {self.id} of {self.service}: runs {id_}")
        await asyncio.sleep(self.work_s)
        headers = {"Mimosarouter-Request-Id": id_,
                   "Mimosarouter-Response-Seal": f"seal.{self.id}.{id_}"}
        return response_bytes(200, headers, f"{self.service} {id_}".encode())


class Engine(Server):
    """A model engine that takes orders and doesn't check their fences."""

    SWITCH_S = 6.0  # `role_switch_s`
    behaviour = {"prefill_s": 0.1, "run_s": 0.1}  # Of all engines.

    def __init__(self, ip, store, record, id_, service, stage, zone="a"):
        super().__init__(ip, store, record, id_, service, zone, slots=48)
        self.stage = stage
        self.orders = []  # (time, holder, fencing token)
        self._accepted = 0
        self._next = None  # The stage that an order in progress leads to.
        self._serial = 0

    def entry(self):
        entry = json.loads(super().entry())
        entry["stage"] = self.stage
        entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return json.dumps(entry).encode()

    async def _handle(self, request):
        expected = request.header("Mimosarouter-Expect-Instance")
        if expected and expected != self.id:
            return response_bytes(421, {"Mimosarouter-Instance-Id": self.id})
        if request.path == "/health":
            return response_bytes(200, {"Mimosarouter-Instance-Id": self.id})
        if request.path == "/mimosarouter/report":
            return json_answer({
                "stage": self.stage, "busy": self._next is not None,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self._accepted, "queued": 0, "running": 0,
                "kv_used": 0, "kv_total": 36000, "kv_handles": 0})
        if request.path == "/mimosarouter/order":
            return self._order(json.loads(request.body))
        if request.path == "/mimosarouter/hold-take":
            self._serial += 1
            return json_answer({"hold": f"{self.id}-{self._serial}"})
        if request.method == "DELETE":
            return response_bytes(200)
        return await self._serve_model(request)

    def _order(self, order):
        fence, holder = order["fencing_token"], order["holder"]
        self.orders.append((self.record.now(), holder, fence))
        self.record.line(f"engine {self.id}: order of {holder} with fencing "
                         f"token {fence}: {order['op']} {order['stage']}")
        if order["stage"] == self.stage and self._next is None:
            return response_bytes(200)
        if self._next is not None or order.get(
                "expected", self._accepted) != self._accepted:
            return response_bytes(409)
        self._accepted += 1
        self._next = order["stage"]
        asyncio.get_running_loop().call_later(
            self.SWITCH_S, lambda: asyncio.ensure_future(self._switch()))
        return response_bytes(202)

    async def _switch(self):
        self.stage, self._next = self._next, None
        await self.register()

    async def _serve_model(self, request):
        id_ = request.header("Mimosarouter-Request-Id")
        headers = {"Mimosarouter-Request-Id": id_}
        prefill = request.header("Mimosarouter-Serving-Stage") == "prefill"
        if self._next is not None:
            return response_bytes(
                503, {**headers, "Mimosarouter-Not-Executed": "1"})
        if prefill != (self.stage == "prefill"):
            return response_bytes(421, headers)
        if prefill:
            await asyncio.sleep(self.behaviour["prefill_s"])
            self._serial += 1
            return json_answer({"handle": f"{self.id}-h{self._serial}",
                                "tokens": 3000, "version": 1}, 200, headers)
        self.runs.append((self.record.now(), id_))
        await asyncio.sleep(self.behaviour["run_s"])
        headers["Mimosarouter-Response-Seal"] = f"seal.{self.id}.{id_}"
        headers["Content-Type"] = "text/event-stream"
        body = "".join(f"id: {i}\ndata: {id_}\n\n" for i in range(1, 7))
        return response_bytes(200, headers, body.encode())


# --- A proxy ---------------------------------------------------------------


class Proxy:
    """Forwards TCP connections to one address, until they are silenced."""

    def __init__(self, ip, to_ip, to_port):
        self.ip, self.port = ip, free_port(ip)
        self._to = (to_ip, to_port)
        self._server = None
        self._pairs = []

    async def start(self):
        self._server = await asyncio.start_server(self._accept, self.ip,
                                                  self.port, backlog=512)

    async def stop(self):
        self._server.close()
        for pair in self._pairs:
            for writer in pair["writers"]:
                writer.transport.abort()
        await asyncio.sleep(0)

    def silence_open(self):
        """Open connections carry nothing any more; new ones work."""
        count = sum(1 for pair in self._pairs if pair["open"])
        for pair in self._pairs:
            pair["silent"] = True
        return count

    async def _accept(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(*self._to)
        except OSError:
            writer.transport.abort()
            return
        pair = {"silent": False, "open": True, "writers": [writer, to_writer]}
        self._pairs.append(pair)

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    if pair["silent"]:
                        continue
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            if not pair["silent"]:
                sink.close()
            pair["open"] = False

        await asyncio.gather(pump(reader, to_writer), pump(to_reader, writer))


# --- mimosa-entry ----------------------------------------------------------


def fill_template(text, fields):
    """The subset of DEPLOY.md's templates that deploy/entry.env uses."""

    def look_up(path, scope):
        value = scope
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                return ""
        return value

    def section(match):
        table, inner = look_up(match[1], fields), match[2]
        parts = []
        for i, (key, value) in enumerate(table.items()):
            comma = "," if i + 1 < len(table) else ""
            parts.append(inner.replace("{{@}}", key).replace("{{.}}", value)
                         .replace("{{,}}", comma))
        return "".join(parts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(look_up(m[1], fields)), text)


class Entry:
    """One mimosa-entry process, started as the deploy file says."""

    def __init__(self, name, ip, zone, zones, store, folder, memory_mb=110):
        self.name, self.ip = name, ip
        self.front, self.ready = free_port(ip), free_port(ip)
        self.control, self.peer = free_port(ip), free_port(ip)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        fields = {
            "node_name": name, "ip": ip, "zone": zone,
            "zones": {z: "region" for z in zones},
            "listen_addrs": {"front": f"{ip}:{self.front}",
                             "ready": f"{ip}:{self.ready}",
                             "control": f"{ip}:{self.control}"},
            "internal_ports": [self.peer, self.peer + 15],
            "limits": {"memory_mb": memory_mb, "link_mbps": 1000.0},
            "bounds": BOUNDS,
            "platform": {"address": f"{store[0]}:{store[1]}"},
        }
        settings = Path(folder) / f"{name}.env"
        settings.write_text(
            fill_template((ROOT / role["template"]).read_text(), fields))
        words = role["run"].split()
        self._command = [str(settings) if w == "/etc/mimosarouter/node.toml"
                         else w for w in words]
        self._environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"), "LANG": "C",
            "MIMOSAROUTER_CONFIG": str(settings)}
        self._log = open(Path(folder) / f"{name}.log", "ab")
        self.process = None

    async def start(self):
        program = ROOT / self._command[0]
        if not program.exists():
            raise CannotRun(f"{self._command[0]} is not built")
        self.process = await asyncio.create_subprocess_exec(
            str(program), *self._command[1:], cwd=ROOT, env=self._environment,
            stdout=self._log, stderr=self._log)

    @property
    def pid(self):
        return self.process.pid

    async def is_ready(self):
        answer = await fetch(self.ip, self.ready, "GET", "/mimosarouter/ready",
                             {"Host": "ready"}, timeout_s=1)
        return answer.status == 200

    async def status(self):
        answer = await fetch(self.ip, self.control, "GET", "/status",
                             {"Host": "control"}, timeout_s=2)
        return json.loads(answer.body) if answer.status == 200 else {}

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self._log.close()


async def wait_until(what, condition, timeout_s=15):
    ends = time.monotonic() + timeout_s
    while time.monotonic() < ends:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{what} did not come about in {timeout_s} s")


async def wait_for_fleet(entries, servers=None):
    """Waits until all are ready and know each other and all servers."""
    for entry in entries:
        await wait_until(f"readiness of {entry.name}", entry.is_ready)

    async def know_all():
        for entry in entries:
            status = await entry.status()
            if status.get("members") != len(entries):
                return False
            if servers and len(status.get("back_ends", [])) != servers:
                return False
        return True

    await wait_until("the list of members", know_all)


def main(folder, case):
    """Runs `case(record, folder, trouble)`; it returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"trouble: {'yes' if trouble else 'no'}")
    try:
        with tempfile.TemporaryDirectory() as scratch:
            try:
                loop = asyncio.new_event_loop()
                play = loop.create_task(
                    asyncio.wait_for(case(record, scratch, trouble), 110))
                # The processes are ended also if the script is.
                for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                    loop.add_signal_handler(number, play.cancel)
                held = loop.run_until_complete(play)
            finally:
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in Path(scratch).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError,
            OSError) as error:
        record.line(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        code = 2
    else:
        verdict = "the rule held" if held else "the rule was broken"
        record.line(verdict)
        print(verdict)
        code = 0 if held else 1
    record.close()
    sys.stdout.flush()
    # Nothing that is left in the loop may delay the end.
    os._exit(code)
