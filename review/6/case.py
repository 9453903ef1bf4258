"""A busy engine is taken away at a short notice while its runs are being moved."""

import json
import os
import socket
import struct
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fakes2 as fakes  # noqa: E402

EVENTS = 330
EVENT_GAP_S = 0.03
STRIDE = 4
PROMPT = 3000
RUNS_PER_ENGINE = 7
ZONES = ["z-a", "z-b", "z-c"]
ENGINES = 6
# Notices of the deployment's days, one a round. The first broken round ends the script.
SHORT_NOTICES_S = [1.54, 1.68, 1.82, 1.96, 2.1]
LONG_NOTICE_S = 6.0
# Seconds to copy a token: kvTokenBytes over linkMbps of the deployment.
TOKEN_S = 163840 * 8 / 24000e6
BORN = 1_700_000_000_000


class Engine:
    """A model replica. Its streams have neither a length nor chunks and end with their
    connection."""

    all = {}
    copies = {}

    def __init__(self, number, record):
        self.name, self.record = f"engine-{number}", record
        self.zone = ZONES[number % len(ZONES)]
        self.leaves_at = None
        self.ended = False
        self.runs = {}
        self.lock = threading.Lock()
        self.link = threading.Lock()
        self.server = fakes.Server(self.handle, f"127.0.0.{51 + number}")
        self.address = self.server.address
        Engine.all[self.address] = self

    def handle(self, request, connection):
        path = request.target.partition("?")[0]
        if path == "/v1/report":
            connection.sendall(fakes.json_response(200, self.report()))
            return True
        if path == "/v1/kv-move":
            return self.move(json.loads(request.body), connection)
        if path.startswith("/v1/"):
            connection.sendall(fakes.response(200))
            return True
        return self.generate(request, connection)

    def report(self):
        with self.lock:
            runs = [[name, PROMPT + STRIDE * run["made"], run["made"], 1]
                    for name, run in self.runs.items()]
        report = {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
                  "busy": False, "sequence": 1, "waiting": 0, "running": len(runs),
                  "kvUsed": sum(run[1] for run in runs), "kvTotal": 34307, "handles": 0,
                  "state": "ready", "runs": runs, "born": BORN}
        if self.leaves_at is not None:
            report["state"] = "draining"
            report["leaves_ms"] = max(0, int((self.leaves_at - fakes.now()) * 1000))
        return report

    def move(self, order, connection):
        name, last = order["id"], bool(order.get("last"))
        with self.lock:
            run = self.runs.get(name)
        if run is None:
            connection.sendall(fakes.json_response(404, {}))
            return True
        target = Engine.all[order["target"]]
        self.record.line(f"{self.name} is told to move {name} to {target.name}, last={last}, "
                         f"{run['made']} events made")
        if last:
            # "With it, the run stops first, and its stream is closed without its end."
            run["stop"].set()
            run["closed"].wait()
            self.record.line(f"{self.name} has stopped {name} after {run['made']} events")
        with self.link:
            tokens = PROMPT + STRIDE * run["made"] - run["copied"]
            time.sleep(tokens * TOKEN_S * (1 if target.zone == self.zone else 2))
            run["copied"] += tokens
        if self.ended:
            return False
        handle = f"h-{name}"
        Engine.copies[f"{self.address}/{handle}"] = run["made"]
        connection.sendall(fakes.json_response(200, {"handle": handle, "created": run["made"]}))
        return True

    def generate(self, request, connection):
        name = request.header("attempt-id")
        source = request.header("kv-from")
        identity = [("Attempt-Id", name)]
        if source is not None and Engine.copies.pop(source, None) is None:
            self.record.line(f"{self.name} has no copy {source} and does not run {name}")
            connection.sendall(fakes.response(503, identity + [("Not-Executed", "1")]))
            return True
        after = int(request.header("last-event-id") or 0)
        self.record.line(f"{self.name} runs {name} after event {after}, from copy: {source}")
        run = {"made": after, "copied": 0, "stop": threading.Event(),
               "closed": threading.Event()}
        with self.lock:
            self.runs[name] = run
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {name}\r\nResponse-Signature: s.{name}\r\n"
        if self.leaves_at is not None:
            head += "Server-Leaving: 1\r\n"
        connection.sendall(f"{head}Content-Type: text/event-stream\r\n\r\n".encode())
        while run["made"] < EVENTS and not run["stop"].is_set():
            if self.ended:
                return False
            run["made"] += 1
            number = run["made"]
            connection.sendall(f"id: {number}\ndata: piece {number}\n\n".encode())
            time.sleep(EVENT_GAP_S)
        if self.ended:
            return False
        if not run["stop"].is_set():
            self.record.line(f"{self.name} has completed {name}")
        connection.shutdown(socket.SHUT_RDWR)
        with self.lock:
            self.runs.pop(name, None)
        run["closed"].set()
        return False

    def end(self):
        """Is gone: all its connections are reset, those of running streams too."""
        self.record.line(f"{self.name} is gone, with {len(self.runs)} runs")
        self.ended = True
        with self.server.lock:
            open_connections = list(self.server.connections)
        for connection in open_connections:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.server.reset()


def case(record, trouble):
    for notice in SHORT_NOTICES_S:
        broken = play(record, notice if trouble else LONG_NOTICE_S)
        if broken:
            return broken
    return []


def play(record, notice):
    """One engine of six leaves, with this notice. Returns the streams that broke the rule."""
    record.line("a round begins")
    store = fakes.Store(record)
    engines = [Engine(number, record) for number in range(ENGINES)]
    port = fakes.free_port("127.0.0.51")
    routes = [fakes.route("report", "/report/", "streaming", "pool", 39000, 1800, 1)]
    total = RUNS_PER_ENGINE * ENGINES
    answers = {}
    with fakes.Processes(record) as processes:
        store.put("keyed.op", "config", fakes.config(1, routes))
        for number, engine in enumerate(engines):
            processes.observer(f"side-{number}", store.address, engine.zone, engine.address, port)
            store.put("keyed.servers", f"i-{number}",
                      fakes.entry("pool", engine.address, engine.zone, born=BORN))
        gateway = processes.gateway("frontend-1", store.address, ZONES[0], port)
        fakes.wait_for("the gateway is ready", lambda: fakes.is_ready(gateway))
        time.sleep(2.0)

        def send(number):
            headers = [("Host", "h.example"), ("Attempt-Id", f"a{number}"),
                       ("Deadline-Ms", "39000"), ("Authorization", "Bearer k1"), ("Model", "m"),
                       ("Token-Usage", f"{PROMPT},{EVENTS * STRIDE}"), ("Length-Hint", "940")]
            answers[number] = fakes.call(gateway.callers, "POST", f"/report/{number}", headers,
                                         b"hello")

        callers = [threading.Thread(target=send, args=(number,)) for number in range(total)]
        for caller in callers:
            caller.start()
            time.sleep(0.02)
        time.sleep(1.0)
        number = max(range(ENGINES), key=lambda number: len(engines[number].runs))
        leaving = engines[number]
        record.line(f"{leaving.name} with {len(leaving.runs)} runs leaves in {notice} s")
        leaving.leaves_at = fakes.now() + notice
        store.put("keyed.servers", f"i-{number}",
                  fakes.entry("pool", leaving.address, leaving.zone, "draining", sequence=2,
                              born=BORN))
        time.sleep(notice)
        leaving.end()
        for caller in callers:
            caller.join()
    broken = []
    whole = 0
    for number, answer in sorted(answers.items()):
        pieces = answer.body.decode().count("data: piece ")
        state = "complete" if answer.complete else "broken off"
        record.line(f"a{number} is answered {answer.status}, {pieces} of {EVENTS} pieces, {state}")
        whole += pieces == EVENTS and answer.complete
        if answer.status == 200 and answer.complete and pieces < EVENTS:
            broken.append(f"ORDER: stream a{number} ends as complete after {pieces} of {EVENTS} "
                          "pieces")
    record.line(f"{whole} of {total} streams are whole")
    if whole < total * 3 / 4:
        raise RuntimeError("too few streams were served")
    return broken


sys.exit(fakes.run_case(FOLDER, case))
