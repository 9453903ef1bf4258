"""Stand-ins for the scripts of review/6 to review/10: the platform's log, replicas, callers, a
proxy, and the project's own processes with the commands of deploy/system.toml.

Only the standard library is used. All addresses are loopback addresses."""

import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} s  {text}\n")
            self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name):
        return self.headers.get(name.lower())

    def query(self, name, default=None):
        text = self.target.partition("?")[2]
        for part in text.split("&"):
            key, _, value = part.partition("=")
            if key == name:
                return value
        return default


def read_head(stream):
    lines = []
    while True:
        line = stream.readline()
        if not line:
            return None
        line = line.rstrip(b"\r\n").decode("latin-1")
        if not line:
            return lines
        lines.append(line)


def parse_headers(lines):
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


def read_request(stream):
    lines = read_head(stream)
    if not lines:
        return None
    method, target, _ = lines[0].split(" ", 2)
    headers = parse_headers(lines[1:])
    body = stream.read(int(headers.get("content-length", "0") or 0))
    return Request(method, target, headers, body)


def response(status, headers=(), body=b""):
    head = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def json_response(status, value):
    return response(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Server:
    """An HTTP server. `handler(request, connection)` returns whether the connection is kept."""

    def __init__(self, handler, host="127.0.0.1", port=0):
        self.handler = handler
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(256)
        self.host, self.port = self.listener.getsockname()
        self.address = f"{self.host}:{self.port}"
        self.connections = set()
        self.lock = threading.Lock()
        self.ended = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.ended:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                request = read_request(stream)
                if request is None or not self.handler(request, connection):
                    break
        except (OSError, ValueError):
            pass
        with self.lock:
            self.connections.discard(connection)
        for each in (stream, connection):
            try:
                each.close()
            except OSError:
                pass

    def reset(self):
        """Ends; connections are closed as their sockets' options say."""
        self.ended = True
        self.listener.close()
        with self.lock:
            open_connections = list(self.connections)
        for connection in open_connections:
            try:
                # Ends the reader that shares the socket, then the socket itself.
                os.close(connection.detach())
            except OSError:
                pass

    def crash(self):
        """Ends like a killed process: nothing more is answered or accepted."""
        self.ended = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            open_connections = list(self.connections)
        for connection in open_connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's log, with the topics that gateways and observers read."""

    def __init__(self, record):
        self.record = record
        self.topics = {"keyed.op": [], "keyed.servers": []}
        self.changed = threading.Condition()
        self.server = Server(self.handle)
        self.address = self.server.address

    def put(self, topic, key, value):
        """Writes a record; `None` deletes the key. Returns when it was acknowledged."""
        data = b"" if value is None else json.dumps(value).encode()
        with self.changed:
            self.topics[topic].append((key, data))
            self.changed.notify_all()
            return now()

    def handle(self, request, connection):
        topic = self.topics.get(request.query("topic", ""))
        if topic is None:
            connection.sendall(response(404))
        elif request.target.startswith("/v1/log-newest"):
            connection.sendall(json_response(200, self.newest(topic)))
        elif request.target.startswith("/v1/log-read"):
            connection.sendall(response(200, (), self.read(topic, request)))
        else:
            connection.sendall(response(404))
        return True

    def newest(self, topic):
        with self.changed:
            newest = {}
            for offset, (key, data) in enumerate(topic):
                newest[key] = (offset, data)
            items = [
                {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
                for key, (offset, data) in sorted(newest.items())
                if data
            ]
            return {"items": items, "hasMore": False, "endOffset": len(topic)}

    def read(self, topic, request):
        start = int(request.query("from"))
        until = time.monotonic() + int(request.query("waitMs", "0")) / 1000
        with self.changed:
            while len(topic) <= start and time.monotonic() < until:
                self.changed.wait(max(0.0, until - time.monotonic()))
            body = struct.pack(">QQ", len(topic), 0)
            for key, data in topic[start:]:
                name = key.encode()
                body += struct.pack(">IB", 1 + len(name) + len(data), len(name)) + name + data
            return body


class Proxy:
    """Passes connections on to an address, and stops passing bytes while it is cut. Nothing is
    reset: connections hang, as behind a partition."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.cut = threading.Event()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            if self.cut.is_set():
                threading.Thread(target=self.hold, args=(connection,), daemon=True).start()
                continue
            upstream = socket.create_connection(self.target)
            for one, other in ((connection, upstream), (upstream, connection)):
                threading.Thread(target=self.pump, args=(one, other), daemon=True).start()

    def hold(self, connection):
        while self.cut.is_set():
            time.sleep(0.05)
        connection.close()

    def pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                while self.cut.is_set():
                    time.sleep(0.01)
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for one in (source, sink):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Answer:
    def __init__(self, status, headers, body, complete, sent, ended):
        self.status, self.headers, self.body = status, headers, body
        self.complete, self.sent, self.ended = complete, sent, ended


def call(address, method, target, headers, body=b"", timeout=45.0):
    """Sends one request on a new connection and reads the whole answer."""
    host, port = address.split(":")
    sent = now()
    text = f"{method} {target} HTTP/1.1\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    try:
        connection = socket.create_connection((host, int(port)), timeout=5)
        connection.settimeout(timeout)
        connection.sendall(text.encode() + b"\r\n" + body)
        stream = connection.makefile("rb")
        lines = read_head(stream)
        if not lines:
            return Answer(0, {}, b"", False, sent, now())
        answer = Answer(int(lines[0].split(" ")[1]), parse_headers(lines[1:]), b"", False, sent, 0)
        try:
            read_body(stream, answer)
        except (OSError, ValueError):
            pass
        answer.ended = now()
        connection.close()
        return answer
    except OSError:
        return Answer(0, {}, b"", False, sent, now())


def read_body(stream, answer):
    length = answer.headers.get("content-length")
    if length is not None:
        answer.body = stream.read(int(length))
        answer.complete = len(answer.body) == int(length)
        return
    while True:
        line = stream.readline()
        if not line:
            return
        size = int(line.strip(), 16)
        data = stream.read(size + 2)
        if len(data) < size + 2:
            return
        if size == 0:
            answer.complete = True
            return
        answer.body += data[:size]


BOUNDS = {
    "revokeMs": 5000,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 8,
    "coldStartSlack": 5,
    "retryBudgetRatio": 0.2,
    "retryBudgetSlack": 58,
    "budgetWindowS": 10,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "places", "platform"]


def render(template, fields):
    """Fills in one of the deploy file's templates."""
    with open(os.path.join(REPO, template), encoding="utf-8") as file:
        text = file.read()
    text = re.sub(r"\{\{#bounds\.exposureShare\}\}.*?\{\{/bounds\.exposureShare\}\}\n?", "", text,
                  flags=re.S)
    contracts = ",".join(json.dumps(name) for name in CONTRACTS)
    text = re.sub(r"\{\{#contracts\}\}.*?\{\{/contracts\}\}", contracts, text)
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: str(fields[match.group(1)]), text)


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Processes:
    """The project's own processes. Leaving the context ends all of them."""

    def __init__(self, record):
        self.record = record
        with open(os.path.join(REPO, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.folder = tempfile.TemporaryDirectory()
        self.started = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()
        self.folder.cleanup()

    def start(self, role, name, fields):
        settings = os.path.join(self.folder.name, f"{name}.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(render(self.roles[role]["template"], fields))
        words = self.roles[role]["run"].replace("/etc/lentiltray/boot.toml", settings).split()
        words[0] = os.path.join(REPO, words[0])
        log = open(os.path.join(self.folder.name, f"{name}.log"), "w", encoding="utf-8")
        process = subprocess.Popen(words, cwd=REPO, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        process.log = log.name
        self.started.append(process)
        self.record.line(f"{name} started")
        return process

    def gateway(self, name, store, zone, observer_port):
        ports = [free_port() for _ in range(3)]
        fields = {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "listen.frontend": f"127.0.0.1:{ports[0]}",
            "listen.readiness": f"127.0.0.1:{ports[1]}",
            "internalPorts.0": observer_port, "internalPorts.1": ports[2],
            "platform.address": store,
        }
        fields.update({f"bounds.{key}": value for key, value in BOUNDS.items()})
        process = self.start("gateway", name, fields)
        process.callers = fields["listen.frontend"]
        process.readiness = fields["listen.readiness"]
        return process

    def observer(self, name, store, zone, engine, port):
        host = engine.split(":")[0]
        fields = {
            "nodeName": name, "zone": zone, "ip": host, "app": engine,
            "internalPorts.0": port, "internalPorts.1": free_port(host),
            "platform.address": store,
        }
        return self.start("observer", name, fields)


def log_has(process, text):
    with open(process.log, encoding="utf-8", errors="replace") as file:
        return text in file.read()


def wait_for(what, condition, seconds=20.0):
    """Waits for a condition; a script that waits in vain can't run."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(what)
        time.sleep(0.02)


def is_ready(gateway):
    answer = call(gateway.readiness, "GET", "/v1/readiness", [("Host", "x")], timeout=2)
    return answer.status == 200


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts, resumable=False):
    made = {"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": False,
            "sticky": kind == "streaming", "resumable": resumable}
    if kind == "streaming":
        made["gapTargetMs"] = 180
    return made


ENGINE = {"slots": 48, "kvCapacityTokens": 34307, "kvTokenBytes": 163840, "linkMbps": 24000.0,
          "moves": True, "backups": True, "stride": 4, "most": 12, "pinMs": 4000.0,
          "holdMs": 2000.0, "handleTtlS": 5.0, "models": [{"name": "m"}]}


def config(version, routes, keys=("k1",)):
    """A configuration like that of the deployment hpw-rigging."""
    def service(name, connections, **more):
        return {"name": name, "healthPath": "/health", "maxConnections": connections,
                "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0, **more}
    return {
        "version": version, "routes": routes,
        "services": [
            {**service("pool", 382, engine=ENGINE), "coldStartS": 1.0, "coldPerS": 41.0},
            service("desk", 110),
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "t1", "apiKeys": list(keys), "priority": 1}],
    }


def entry(service, address, zone, state="ready", slots=48, sequence=1, born=1):
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
            "state": state, "coldRemainingMs": 0, "sequence": sequence, "born": born}


def run_case(folder, case):
    """Runs `case(record, trouble)`, which returns what broke the rule. Ends with the status that
    the review asks for: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A script that is told to end still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record.line(f"TROUBLE={int(trouble)}")
    try:
        broken = case(record, trouble)
    except Exception as error:  # The case couldn't run, whatever the reason.
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    for text in broken:
        record.line(f"BROKEN {text}")
        print(f"BROKEN {text}")
    if not broken:
        record.line("the rule held")
        print("the rule held")
    return 1 if broken else 0
