"""Stand-ins of the platform's store, of replicas and of requesters, and the start of the
project's own programs with the commands and templates of the deploy file.

Only the standard library is used. All addresses are loopback addresses.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
# Faults of the stand-ins themselves; with any of them the case has no verdict.
FAULTS = []


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes record.txt in the folder of the case, a line for each event."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.write(f"TROUBLE={1 if TROUBLE else 0}")

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():9.3f} {text}\n")
            self.file.flush()


# --- HTTP -------------------------------------------------------------------------------


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, count):
        while len(self.buffer) < count:
            self.more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def chunks(self):
        """Yields the chunks of a chunked body."""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                self.line()
                return
            data = self.exactly(size)
            self.exactly(2)
            yield data


class Request:
    def __init__(self, start, headers, body):
        self.method, self.target, _ = start.split(" ", 2)
        self.headers = headers
        self.body = body
        self.path, _, query = self.target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)

    @property
    def id(self):
        return self.headers.get("attempt-id", "")


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8") + body


class Server:
    """A threaded HTTP server; `handle(request, sock)` writes raw bytes and returns whether
    the connection stays open."""

    def __init__(self, handle, ip="127.0.0.1", port=0):
        self.handle = handle
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        """Accepts no more connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(sock)
        try:
            while True:
                start, headers = reader.head()
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = b"".join(reader.chunks())
                else:
                    body = reader.exactly(int(headers.get("content-length", "0")))
                if not self.handle(Request(start, headers, body), sock):
                    return
        except (EOFError, OSError):
            pass
        except Exception as error:  # noqa: BLE001 - a fault of the stand-in, so no verdict
            FAULTS.append(repr(error))
        finally:
            sock.close()


# --- the platform's store -----------------------------------------------------------------


class Store:
    """The two topics that the system reads. The operator and the replicas write with
    `put`, whose return is the acknowledgement."""

    def __init__(self, record):
        self.record = record
        self.topics = {"keyed.op": [], "keyed.servers": []}
        self.changed = threading.Condition()
        # Called before each answer; may sleep. Returns a status to refuse with, or None.
        self.trouble = lambda request: None
        self.answer_s = 0.004
        self.server = Server(self.handle)
        self.address = self.server.address

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value, ensure_ascii=False).encode()
        with self.changed:
            self.topics[topic].append((key, data))
            self.changed.notify_all()
        return now()

    def handle(self, request, sock):
        status = self.trouble(request)
        if status is not None:
            sock.sendall(response(status))
            return True
        time.sleep(self.answer_s)
        topic = self.topics.get(request.query.get("topic", ""))
        if request.path == "/v1/log-newest" and topic is not None:
            sock.sendall(self.newest(topic))
        elif request.path == "/v1/log-read" and topic is not None:
            sock.sendall(self.read(topic, request))
        else:
            sock.sendall(response(404))
        return True

    def newest(self, topic):
        with self.changed:
            records = list(topic)
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        body = {"items": items, "hasMore": False, "endOffset": len(records)}
        return response(200, json.dumps(body).encode())

    def read(self, topic, request):
        start = int(request.query["from"])
        most = int(request.query.get("maxReadKb", "1024")) * 1024
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        with self.changed:
            while len(topic) <= start and time.monotonic() < until:
                self.changed.wait(max(0.0, until - time.monotonic()))
            body = struct.pack(">QQ", len(topic), 0)
            for key, value in topic[start:]:
                content = bytes([len(key)]) + key.encode() + value
                if len(body) > 16 and len(body) + 4 + len(content) > most:
                    break
                body += struct.pack(">I", len(content)) + content
        return response(200, body)


def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts, **more):
    fields = {
        "name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": 1,
        "service": service, "maxAttempts": attempts, "public": False,
        "sticky": kind == "streaming", "resumable": False,
    }
    fields.update(more)
    return fields


def service(name, engine=None, **more):
    fields = {
        "name": name, "healthPath": "/health", "maxConnections": 382, "protocol": "h1",
        "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
    }
    if engine:
        fields["engine"] = engine
    fields.update(more)
    return fields


ENGINE = {
    "slots": 48, "kvCapacityTokens": 34307, "kvTokenBytes": 163840, "linkMbps": 24000.0,
    "moves": True, "backups": True, "stride": 4, "most": 12, "pinMs": 4000.0,
    "holdMs": 2000.0, "handleTtlS": 5.0, "models": [{"name": "m"}],
}


def config(version, routes, services, tenants):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants,
    }


# --- replicas -------------------------------------------------------------------------------


class Replica:
    """A replica; `serve(request, sock, replica)` answers the requests of requesters."""

    def __init__(self, record, store, name, of, serve, ip="127.0.0.1", slots=48, zone="ch-west-a",
                 port=0):
        self.record, self.store, self.name, self.of = record, store, name, of
        self.serve_request, self.slots, self.zone = serve, slots, zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.extra_report = {}
        self.api = {}
        self.runs = []
        self.lock = threading.Lock()
        self.stopped = False
        self.server = Server(self.handle, ip, port)
        self.address = self.server.address
        self.beat()
        threading.Thread(target=self.beats, daemon=True).start()

    def beat(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.name, {
            "service": self.of, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.born,
        })

    def beats(self):
        while not self.stopped:
            time.sleep(1.2)
            if not self.stopped:
                self.beat()

    def ran(self, request):
        """Notes that the replica begins to work on a request."""
        with self.lock:
            self.runs.append((now(), request.id))
        self.record.write(f"{self.name} runs {request.id} {request.method} {request.target}")

    def signed(self, request):
        return [("Attempt-Id", request.id), ("Response-Signature", f"{self.name}.{request.id}")]

    def handle(self, request, sock):
        if request.path == "/health":
            sock.sendall(response(200, b"", [("Replica-Id", self.name)]))
            return True
        if request.path == "/v1/report":
            report = {"stage": "combined", "models": [], "busy": False, "sequence": 1,
                      "waiting": 0, "running": 0, "kvUsed": 100, "kvTotal": 34307,
                      "handles": 0, "state": self.state, "born": self.born}
            report.update(self.extra_report)
            sock.sendall(response(200, json.dumps(report).encode()))
            return True
        if request.path in self.api:
            return self.api[request.path](request, sock)
        if request.path.startswith("/v1/"):
            sock.sendall(response(404, b"{}"))
            return True
        expected = request.headers.get("expected-replica")
        if expected not in (None, self.name):
            sock.sendall(response(421, b"", [("Attempt-Id", request.id), ("Replica-Id", self.name)]))
            return True
        return self.serve_request(request, sock, self)


# --- requesters -----------------------------------------------------------------------------


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete = None, {}, b"", False

    def __str__(self):
        whole = "complete" if self.complete else "cut"
        return f"{self.status} {whole} {len(self.body)} bytes"


def send_request(address, target, attempt, key, method="POST", body=b"hello", deadline_ms=4000,
                 headers=(), patience_s=60.0, on_data=None):
    """Sends one request on a new connection and reads the answer."""
    ip, port = address.split(":")
    answer = Answer()
    lines = [f"{method} {target} HTTP/1.1", "Host: h.example", f"Attempt-Id: {attempt}",
             f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    try:
        with socket.create_connection((ip, int(port)), timeout=1.0) as sock:
            sock.settimeout(patience_s)
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            reader = Reader(sock)
            start, answer.headers = reader.head()
            answer.status = int(start.split(" ")[1])
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                for chunk in reader.chunks():
                    answer.body += chunk
                    if on_data:
                        on_data(chunk)
            else:
                answer.body = reader.exactly(int(answer.headers.get("content-length", "0")))
            answer.complete = True
    except (OSError, EOFError, ValueError) as error:
        answer.error = repr(error)
    return answer


# --- the project's programs -------------------------------------------------------------------


def render(template, fields):
    def value(match):
        item = fields
        for part in match.group(1).split("."):
            if isinstance(item, list):
                item = item[int(part)]
            else:
                item = item[part]
        return str(item)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
    "drainTimeoutMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "outerBoundMs": 5000, "revokeWhenPartitioned": True,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 58,
    "coldOvershoot": 1.5, "coldStartSlack": 5, "evacuationMs": 5000, "recoveryS": 12,
}


class Collector:
    """Reads a process's log from a pipe."""

    def __init__(self, pipe, log):
        self.pipe, self.log = pipe, log
        self.reading = threading.Event()
        self.reading.set()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        while True:
            self.reading.wait()
            data = os.read(self.pipe.fileno(), 4096)
            if not data:
                return
            self.log.write(data)
            self.log.flush()

    def pause(self):
        self.reading.clear()

    def go_on(self):
        self.reading.set()


class Case:
    """One run of a case: the record, the processes and their end."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="lentiltray-review-")
        self.processes = []
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.store = Store(self.record)
        self.observer_port = free_port()

    def start(self, role, fields, ip="127.0.0.1", zone="ch-west-a", log_pipe=False):
        """Starts a role of the deploy file and returns its process. Its log goes to a file,
        through a pipe with a collector if `log_pipe` is set."""
        spec = self.roles[role]
        name = f"{role}-{len(self.processes) + 1}"
        fields = {"nodeName": name, "zone": zone, "ip": ip, "bounds": BOUNDS,
                  "internalPorts": [self.observer_port, free_port(ip)],
                  "platform": {"address": self.store.address}, **fields}
        with open(os.path.join(ROOT, spec["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        path = os.path.join(self.temp, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = spec["run"].replace("/etc/lentiltray/boot.toml", path).split(" ")
        log = open(os.path.join(self.temp, name + ".log"), "wb")
        environment = {"PATH": os.environ.get("PATH", ""), "LENTILTRAY_SETTINGS": path}
        process = subprocess.Popen(words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                   stdout=subprocess.PIPE if log_pipe else log, stderr=log)
        process.log_path = log.name
        if log_pipe:
            process.collector = Collector(process.stdout, log)
        self.processes.append(process)
        self.record.write(f"started {name}: {' '.join(words[:2])}")
        return process

    def gateway(self, zone="ch-west-a", log_pipe=False):
        callers, ready = (f"127.0.0.1:{free_port()}" for _ in range(2))
        listen = {"listen": {"frontend": callers, "readiness": ready}}
        process = self.start("gateway", listen, zone=zone, log_pipe=log_pipe)
        process.callers, process.ready = callers, ready
        return process

    def observer(self, replica):
        ip = replica.address.split(":")[0]
        return self.start("observer", {"app": replica.address}, ip)

    def wait_ready(self, gateway, endpoints, timeout_s=20):
        """Waits until a gateway is ready and knows its endpoints."""
        until = now() + timeout_s
        while now() < until:
            if gateway.poll() is not None:
                break
            with open(gateway.log_path, "rb") as file:
                joined = file.read().count(b"endpoint joined")
            if joined >= endpoints and self.readiness(gateway) == 200:
                return
            time.sleep(0.05)
        raise CannotRun(f"{gateway.args[1]} did not become ready")

    def readiness(self, gateway):
        ip, port = gateway.ready.split(":")
        try:
            with socket.create_connection((ip, int(port)), timeout=1.0) as sock:
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return int(Reader(sock).head()[0].split(" ")[1])
        except (OSError, EOFError):
            return 0

    def log_lines(self, process, part):
        with open(process.log_path, encoding="utf-8", errors="replace") as file:
            return [line for line in file if part in line]

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temp, ignore_errors=True)
        else:
            print(self.temp)


class CannotRun(Exception):
    """The case could not run."""


def run(file, body):
    """Runs `body(case)`, which returns the breaks of the rule as texts, and exits with 1, 0
    or 2."""
    case = Case(os.path.dirname(os.path.abspath(file)))
    code = 2
    try:
        breaks = body(case)
        if FAULTS:
            raise CannotRun(f"a stand-in failed: {FAULTS[0]}")
        for text in breaks:
            case.record.write(f"BROKEN {text}")
        case.record.write(f"verdict: {'broken' if breaks else 'held'}")
        print(f"{'broken' if breaks else 'held'}: {len(breaks)}" + (f", e.g. {breaks[0]}" if breaks else ""))
        code = 1 if breaks else 0
    except CannotRun as error:
        case.record.write(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception as error:  # noqa: BLE001 - any other failure of the script is no verdict
        case.record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        case.end()
    sys.stdout.flush()
    os._exit(code)
