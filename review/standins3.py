"""Stand-ins for the platform, its replicas and requesters, and a runner of lentiltray's programs.

`case.py` of each folder from 11 on imports this file. Run as a program it is one replica:
`python3 standins3.py replica '{"id": ...}'`. Only the standard library is used, and only
loopback addresses.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time

REVIEW = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(REVIEW)
PROGRAM = os.path.join(ROOT, "target/deploy/lentiltray")
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
             "tenants", "places", "platform"]
# The bounds of the sheet of hpw-rigging.
BOUNDS = {"revokeMs": 5000, "drainTimeoutMs": 2000, "gracePeriodS": 8, "coldStartSlack": 5,
          "retryBudgetRatio": 0.2, "retryBudgetSlack": 58, "budgetWindowS": 10}
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"


class CannotRun(Exception):
    """The case could not run as planned; it proves nothing."""


def now_ms():
    return int(time.time() * 1000)


def free_port(*hosts):
    """A port that is free at all of these addresses."""
    for _ in range(200):
        sockets = []
        try:
            first = socket.socket()
            sockets.append(first)
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            for host in hosts[1:]:
                other = socket.socket()
                sockets.append(other)
                other.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for it in sockets:
                it.close()
    raise CannotRun("no free port")


# HTTP


class Message:
    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body
        words = first.split(" ", 2)
        self.method, self.target = words[0], (words[1] if len(words) > 1 else "")

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, mark, value = line.partition(":")
        if mark:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_message(reader):
    """A request with its body; `None` at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.get("transfer-encoding", "").lower().endswith("chunked"):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                message.body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        else:
            message.body = await reader.readexactly(int(message.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def response(status, headers, body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return (f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(body)}\r\n\r\n").encode() + body


class HttpServer:
    """Serves each connection's requests one after the other with `handle(message, writer)`."""

    def __init__(self, handle):
        self.handle, self.server, self.writers = handle, None, set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.connected, host, port, limit=1 << 20)
        return self.server.sockets[0].getsockname()[1]

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None or await self.handle(message, writer, reader) is False:
                    break
        except (ConnectionError, asyncio.TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# The platform's store


class Store:
    """The platform's store: keyed topics, raw topics, long polls and the era of a restore.

    Replicas renew their entries through `/standin/renew`; an entry is removed after three
    intervals of silence.
    """

    def __init__(self):
        self.topics, self.era, self.changed = {}, 1, asyncio.Event()
        self.renewed, self.away, self.cut_replicas = {}, False, set()
        self.port = None

    async def start_link(self, host="127.0.0.1"):
        """A further address of the store, which can turn away all that call there."""
        link = StoreLink(self)
        link.address = f"{host}:{await HttpServer(link.serve).start(host)}"
        return link

    async def start(self, host="127.0.0.1"):
        self.port = await HttpServer(self.serve).start(host)
        self.address = f"{host}:{self.port}"
        asyncio.get_running_loop().create_task(self.expire_entries())
        return self.address

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def put(self, topic, key, value):
        value = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append((key, value))
        self.notify()

    def copy(self):
        return {name: list(records) for name, records in self.topics.items()}

    def go_away(self):
        self.away = True
        self.notify()

    def come_back(self, copy):
        """The store comes back from an older copy."""
        self.topics, self.era, self.away = {name: list(it) for name, it in copy.items()}, \
            self.era + 1, False
        now = time.monotonic()
        self.renewed = {key: now for key in self.newest("keyed.servers")}
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self.topic(topic)):
            found[key] = (value, offset)
        return {key: it for key, it in sorted(found.items()) if it[0]}

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.05)
            for key, at in list(self.renewed.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.renewed[key]
                    self.put("keyed.servers", key, None)

    async def answer(self, writer, status, headers, body):
        if self.away:
            return False
        headers["Store-Era"] = str(self.era)
        writer.write(response(status, headers, body))
        await writer.drain()
        return None

    async def serve(self, message, writer, _reader):
        path, _, query = message.target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if self.away:
            return False
        if path == "/standin/renew":
            entry = json.loads(message.body)
            key = entry.pop("id")
            if key in self.cut_replicas:
                await asyncio.sleep(30)
                return False
            self.renewed[key] = time.monotonic()
            self.put("keyed.servers", key, entry)
            return await self.answer(writer, 200, {}, b"{}")
        topic = query.get("topic", "")
        if path == "/v1/log-newest":
            after = query.get("after", "")
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in self.newest(topic).items() if key > after]
            body = {"items": items, "hasMore": False, "endOffset": len(self.topic(topic))}
            return await self.answer(writer, 200, {}, json.dumps(body).encode())
        if path == "/v1/log-read":
            start, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
            until, era = time.monotonic() + wait, self.era
            while (len(self.topic(topic)) <= start and time.monotonic() < until
                   and era == self.era and not self.away):
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            records = self.topic(topic)
            if start > len(records):
                body = json.dumps({"firstOffset": 0}).encode()
                return await self.answer(writer, 410, {}, body)
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                if topic.startswith("keyed."):
                    value = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(value)) + value
            return await self.answer(writer, 200, {}, body)
        if path == "/v1/log-append":
            records, body = self.topic(topic), message.body
            if "at" in query and int(query["at"]) != len(records):
                end = json.dumps({"endOffset": len(records)}).encode()
                return await self.answer(writer, 412, {}, end)
            offset = len(records)
            while body:
                size, = struct.unpack(">I", body[:4])
                record, body = body[4:4 + size], body[4 + size:]
                if topic.startswith("keyed."):
                    length = record[0]
                    records.append((record[1:1 + length].decode(), record[1 + length:]))
                else:
                    records.append(("", record))
            self.notify()
            end = json.dumps({"offset": offset, "endOffset": len(records)}).encode()
            return await self.answer(writer, 200, {}, end)
        return await self.answer(writer, 404, {}, b"{}")


class StoreLink:
    def __init__(self, store):
        self.store, self.refuses, self.address = store, False, None

    async def serve(self, message, writer, reader):
        if not self.refuses:
            return await self.store.serve(message, writer, reader)
        writer.write(response(503, {"Store-Era": str(self.store.era)}, b"{}"))
        return await writer.drain()


# Replicas, each a process of its own


class Replica:
    """One replica. Writes a line of JSON for all that it receives and does."""

    def __init__(self, options):
        self.o = options
        self.born, self.sequence, self.runs, self.leaving = now_ms(), 0, {}, False
        self.started = time.monotonic()
        self.state = "ready"

    def say(self, what, **more):
        print(json.dumps({"ms": now_ms(), "replica": self.o["id"], "what": what, **more}),
              flush=True)

    async def run(self):
        await HttpServer(self.serve).start(self.o["host"], self.o["port"])
        self.say("started", born=self.born, version=self.o.get("version", "1.0"))
        asyncio.get_running_loop().create_task(self.commands())
        while True:
            await self.renew()
            await asyncio.sleep(HEARTBEAT_S)

    async def renew(self):
        self.sequence += 1
        entry = {"id": self.o["id"], "service": self.o["service"],
                 "address": f"{self.o['host']}:{self.o['port']}",
                 "zone": self.o.get("zone", "ch-west-a"), "version": self.o.get("version", "1.0"),
                 "slots": self.o.get("slots", 16), "state": self.state, "coldRemainingMs": 0,
                 "sequence": self.sequence, "born": self.born}
        host, port = self.o["store"].split(":")
        try:
            await asyncio.wait_for(request(host, int(port), "POST", "/standin/renew", {},
                                           json.dumps(entry).encode()), 1.0)
        except (asyncio.TimeoutError, ConnectionError, OSError):
            self.say("entry not renewed")

    async def commands(self):
        """Takes orders of the case on standard input: `drain MS` announces that it leaves."""
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := (await reader.readline()).decode().split():
            if line[0] == "drain":
                self.state, self.leaving = "draining", time.monotonic() + float(line[1]) / 1000
                self.say("draining", for_ms=float(line[1]))
                await self.renew()

    def headers(self, message):
        identity = message.get("attempt-id", "")
        headers = {"Attempt-Id": identity, "Response-Signature": f"3e1b.{identity}",
                   "Replica-Load": f"{len(self.runs)},0,{self.o.get('slots', 16)}"}
        return headers

    async def serve(self, message, writer, reader):
        path = message.target
        if path == "/v1/report":
            body = {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False, "sequence": 0, "waiting": 0, "running": len(self.runs),
                    "kvUsed": self.o.get("run_tokens", 300) * len(self.runs), "kvTotal": 34307,
                    "handles": 0,
                    "nextToken": 0, "born": self.born, "state": self.state,
                    "runs": [[key, self.o.get("run_tokens", 300), made, 5]
                             for key, made in self.runs.items()]}
            if self.leaving:
                body["leaves_ms"] = max(0, int((self.leaving - time.monotonic()) * 1000))
            writer.write(response(200, {"Content-Type": "application/json"},
                                  json.dumps(body).encode()))
            return await writer.drain()
        if path == self.o.get("health", "/health"):
            writer.write(response(200, {"Replica-Id": self.o["id"]}))
            return await writer.drain()
        if path.startswith("/v1/"):
            return await self.serve_call(message, writer)
        identity, expected = message.get("attempt-id"), message.get("expected-replica")
        self.say("received", id=identity, target=path, tenant=message.get("tenant"),
                 after=message.get("last-event-id"), kv_from=message.get("kv-from"))
        if identity is None:
            writer.write(response(400, {"Not-Executed": "1"}))
            return await writer.drain()
        if expected not in (None, self.o["id"]):
            headers = {"Attempt-Id": identity, "Replica-Id": self.o["id"], "Not-Executed": "1"}
            writer.write(response(421, headers))
            return await writer.drain()
        if self.o.get("kind") == "engine":
            return await self.generate(message, writer, reader)
        return await self.answer(message, writer)

    async def serve_call(self, _message, writer):
        writer.write(response(404, {}))
        await writer.drain()

    async def answer(self, message, writer):
        """The answer of a plain service."""
        identity = message.get("attempt-id")
        rest = self.o.get("rest")
        passed = time.monotonic() - self.started
        if rest and rest["from_s"] <= passed < rest["to_s"]:
            self.say("refused", id=identity, retry_after_s=rest["retry_after_s"])
            writer.write(response(503, {"Attempt-Id": identity, "Not-Executed": "1",
                                        "Retry-After": str(rest["retry_after_s"])}))
            return await writer.drain()
        self.say("runs", id=identity)
        await asyncio.sleep(self.o.get("work_ms", 30) / 1000)
        body = (f"certificate of {identity} by {self.o['id']};" + "x" * 800)[:800].encode()
        if not self.o.get("unframed"):
            writer.write(response(200, self.headers(message), body))
            await writer.drain()
            self.say("answered", id=identity, bytes=len(body))
            return None
        # An answer with neither a length nor chunks ends with its connection.
        head = "".join(f"{name}: {value}\r\n" for name, value in self.headers(message).items())
        writer.write(f"HTTP/1.1 200 X\r\n{head}\r\n".encode() + body[:300])
        await writer.drain()
        self.say("half", id=identity, bytes=300)
        await asyncio.sleep(self.o.get("pause_ms", 0) / 1000)
        writer.write(body[300:])
        await writer.drain()
        self.say("answered", id=identity, bytes=len(body))
        return False

    async def generate(self, message, writer, reader):
        """A stream of events. Its head comes with the first event."""
        identity = message.get("attempt-id")
        parts = [part.split(":")[0] for part in message.get("prompt-prefix", "").split(",")]
        self.runs[identity] = 0
        closed = asyncio.get_running_loop().create_task(reader.read(1))
        try:
            await asyncio.sleep(self.o.get("prefill_ms", 100) / 1000)
            if self.o.get("poison") in parts[:-1]:
                self.say("crashes", id=identity)
                os.kill(os.getpid(), signal.SIGKILL)
            first = int(message.get("last-event-id", -1)) + 1
            self.say("runs", id=identity, first_event=first)
            head = self.headers(message) | {"Content-Type": "text/event-stream",
                                            "Transfer-Encoding": "chunked"}
            text = "".join(f"{name}: {value}\r\n" for name, value in head.items())
            writer.write(f"HTTP/1.1 200 X\r\n{text}\r\n".encode())
            version = self.o.get("version", "1.0")
            for number in range(first, self.o.get("events", 40)):
                event = f"id: {number}\ndata: {version} {self.o['id']} {identity}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                self.runs[identity] = number + 1
                await asyncio.sleep(self.o.get("gap_ms", 50) / 1000)
                if closed.done():
                    self.say("cancelled", id=identity, events=number + 1)
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.say("answered", id=identity)
            return False
        finally:
            closed.cancel()
            self.runs.pop(identity, None)


# Requesters


async def open_connection(host, port):
    return await asyncio.open_connection(host, port, limit=1 << 20)


async def request(host, port, method, target, headers, body=b""):
    """Sends one request on a new connection. Returns status, headers, body and whether the
    answer is complete."""
    reader, writer = await open_connection(host, port)
    try:
        lines = {"Host": f"{host}:{port}"} | headers
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        writer.write(f"{method} {target} HTTP/1.1\r\n{head}{length}\r\n".encode() + body)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return None, {}, b"", False
    status = int(head.first.split(" ")[1])
    body, complete = b"", True
    try:
        if head.get("transfer-encoding", "").lower().endswith("chunked"):
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    raise ConnectionError
                size = int(line.split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        elif head.get("content-length") is not None:
            body = await reader.readexactly(int(head.get("content-length")))
        else:
            body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        complete = False
    return status, head.headers, body, complete


def call_headers(identity, deadline_ms, **more):
    headers = {"Host": HOST, "Attempt-Id": identity, "Deadline-Ms": str(deadline_ms),
               "Authorization": f"Bearer {KEY}"}
    return headers | {name.replace("_", "-"): value for name, value in more.items()}


# The operator


def route(name, kind, service, timeout_ms, target_ms, **more):
    base = {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1,
            "service": service, "maxAttempts": 1, "public": False, "sticky": False,
            "resumable": False}
    return base | more


def config(version, routes, services, keys=(KEY,)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}]}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1",
            "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}


def engine_service(name, **more):
    engine = {"slots": 48, "kvCapacityTokens": 34307, "kvTokenBytes": 163840,
              "linkMbps": 24000.0, "moves": False, "stride": 4, "handleTtlS": 5.0,
              "models": [{"name": "m"}]} | more
    return plain_service(name) | {"maxConnections": 382, "engine": engine}


# The programs


def render(template, values):
    """Fills in a settings template in the way of the deploy page."""
    def find(path):
        found = values
        for step in path.split("."):
            if isinstance(found, list):
                found = found[int(step)] if int(step) < len(found) else None
            else:
                found = found.get(step) if isinstance(found, dict) else None
        return found

    def section(match):
        found = find(match.group(1))
        if not found:
            return ""
        if not isinstance(found, list):
            return match.group(2)
        parts = [match.group(2).replace("{{.|json}}", json.dumps(it)) for it in found]
        last = len(parts) - 1
        return "".join(it.replace("{{,}}", "" if index == last else ",")
                       for index, it in enumerate(parts))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(find(match.group(1))), text)


class Process:
    """A process that the case started, with its output in a file."""

    def __init__(self, name, folder, words, stdin=False):
        self.name, self.folder, self.words, self.process = name, folder, words, None
        self.stdin, self.starts = stdin, 0

    async def start(self):
        self.starts += 1
        self.log = os.path.join(self.folder, f"{self.name}.{self.starts}.log")
        with open(self.log, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.words, stdout=log, stderr=log, cwd=ROOT,
                stdin=asyncio.subprocess.PIPE if self.stdin else asyncio.subprocess.DEVNULL)

    def tell(self, line):
        self.process.stdin.write(line.encode() + b"\n")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def stop(self, timeout_s=10):
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), timeout_s)
        except asyncio.TimeoutError:
            await self.kill()

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def lines(self):
        """The lines of JSON that a replica has written, over all its starts."""
        found = []
        for start in range(1, self.starts + 1):
            path = os.path.join(self.folder, f"{self.name}.{start}.log")
            with open(path, encoding="utf-8", errors="replace") as log:
                found += [json.loads(line) for line in log if line.startswith("{")
                          and line.endswith("}\n")]
        return found


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, case):
        self.case = case
        self.folder = tempfile.mkdtemp(prefix="lentiltray-review-")
        self.record_path = os.path.join(case, "record.txt")
        self.record_file = open(self.record_path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.store, self.processes, self.gateways, self.replicas = Store(), [], {}, {}
        self.observer_port, self.metrics_port = None, None
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def record(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record_file.write(line + "\n")
        self.record_file.flush()
        print(line, flush=True)

    async def start_store(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/deploy/lentiltray is not built")
        await self.store.start()

    def choose_ports(self, hosts):
        self.observer_port = free_port(*hosts)
        self.metrics_port = free_port(*hosts)

    def values(self, name, host, zone):
        return {"nodeName": name, "zone": zone, "ip": host, "contracts": CONTRACTS,
                "bounds": dict(BOUNDS), "platform": {"address": self.store.address},
                "internalPorts": [self.observer_port, self.metrics_port]}

    def write_settings(self, name, role, values):
        with open(os.path.join(ROOT, "deploy", f"{role}.yaml"), encoding="utf-8") as file:
            text = render(file.read(), values)
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def start_gateway(self, name, host, zone="ch-west-a", store=None):
        if name not in self.gateways:
            values = self.values(name, host, zone)
            if store:
                values["platform"] = {"address": store}
            listen = {"frontend": f"{host}:{free_port(host)}",
                      "readiness": f"{host}:{free_port(host)}"}
            values["listen"] = listen
            path = self.write_settings(name, "gateway", values)
            words = [PROGRAM, "gateway", "--settings", path]
            gateway = Process(name, self.folder, words)
            gateway.host, gateway.port = host, int(listen["frontend"].split(":")[1])
            gateway.readiness = int(listen["readiness"].split(":")[1])
            self.gateways[name] = gateway
            self.processes.append(gateway)
        await self.gateways[name].start()
        return self.gateways[name]

    async def start_observer(self, engine, zone="ch-west-a"):
        name = f"observer-{engine.name}"
        known = [it for it in self.processes if it.name == name]
        if known:
            await known[0].start()
            return known[0]
        values = self.values(name, engine.host, zone)
        values["app"] = f"{engine.host}:{engine.port}"
        path = self.write_settings(name, "observer", values)
        observer = Process(name, self.folder, [PROGRAM, "observer", "--settings", path])
        self.processes.append(observer)
        await observer.start()
        return observer

    async def start_replica(self, name, host, **options):
        options = {"id": name, "host": host, "port": free_port(host),
                   "store": self.store.address} | options
        replica = Process(name, self.folder, [], stdin=True)
        replica.host, replica.port, replica.options = host, options["port"], options
        self.replicas[name] = replica
        self.processes.append(replica)
        await self.restart_replica(replica)
        return replica

    async def restart_replica(self, replica, **changes):
        replica.options |= changes
        replica.words = [sys.executable, os.path.join(REVIEW, "standins3.py"), "replica",
                         json.dumps(replica.options)]
        await replica.start()

    async def until(self, what, condition, timeout_s=15):
        end = time.monotonic() + timeout_s
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            if time.monotonic() > end:
                raise CannotRun(f"timed out waiting until {what}")
            await asyncio.sleep(0.05)

    async def is_ready(self, gateway):
        try:
            status, *_ = await asyncio.wait_for(request(
                gateway.host, gateway.readiness, "GET", "/v1/readiness", {}), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        return status == 200

    async def until_ready(self, *gateways):
        for gateway in gateways:
            await self.until(f"{gateway.name} is ready", lambda: self.is_ready(gateway))

    def received(self, since_ms=0):
        """All that replicas have written since, in order."""
        lines = [line for it in self.replicas.values() for line in it.lines()]
        return sorted((it for it in lines if it["ms"] >= since_ms), key=lambda it: it["ms"])

    def offset_s(self, ms):
        return (ms - now_ms()) / 1000 + time.monotonic() - self.began

    def record_replicas(self):
        self.record("--- what the replicas received and ran (seconds of this record)")
        for line in self.received():
            more = {key: value for key, value in line.items()
                    if key not in ("ms", "replica", "what") and value is not None}
            self.record_file.write(f"{self.offset_s(line['ms']):8.3f}   {line['replica']} "
                                   f"{line['what']} {json.dumps(more)}\n")

    async def close(self):
        for process in self.processes:
            await process.kill()


def main(case, play):
    """Plays a case: `play(site)` returns why the rule is broken, or `None`."""
    async def run():
        site = Site(case)
        try:
            broken = await asyncio.wait_for(play(site), 110)
            site.record_replicas()
            if broken:
                site.record(f"BROKEN: {broken}")
                return 1
            site.record("the rule held")
            return 0
        except (CannotRun, asyncio.TimeoutError) as error:
            site.record(f"the case could not run: {error!r}")
            return 2
        finally:
            await site.close()
            if os.environ.get("KEEP"):
                print("logs are in", site.folder)
    sys.exit(asyncio.run(run()))


if __name__ == "__main__" and sys.argv[1:2] == ["replica"]:
    asyncio.run(Replica(json.loads(sys.argv[2])).run())
