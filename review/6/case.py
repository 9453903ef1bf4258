"""A leaving engine crashes while it carries out the order to stop and move a run."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fakes2 as fakes  # noqa: E402

EVENTS = 120
EVENT_GAP_S = 0.03
BORN = 1_700_000_000_000


class Engine:
    """A model replica. Its streams have neither a length nor chunks and end with their
    connection."""

    copies = {}

    def __init__(self, name, host, record, crashes):
        self.name, self.record, self.crashes = name, record, crashes
        self.leaves_at = None
        self.runs = {}
        self.lock = threading.Lock()
        self.server = fakes.Server(self.handle, host)
        self.address = self.server.address

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
            runs = [[name, 3000 + run["made"], run["made"], 1] for name, run in self.runs.items()]
        report = {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
                  "busy": False, "sequence": 1, "waiting": 0, "running": len(runs),
                  "kvUsed": 3000 * len(runs), "kvTotal": 34307, "handles": 0, "state": "ready",
                  "runs": runs, "born": BORN}
        if self.leaves_at is not None:
            report["state"] = "draining"
            report["leaves_ms"] = max(0, int((self.leaves_at - fakes.now()) * 1000))
        return report

    def move(self, order, connection):
        with self.lock:
            run = self.runs.get(order["id"])
        if run is None:
            connection.sendall(fakes.json_response(404, {}))
            return True
        last = bool(order.get("last"))
        self.record.line(f"{self.name} is told to move {order['id']} to {order['target']}, "
                         f"last={last}, {run['made']} events made")
        if last:
            # "With it, the run stops first, and its stream is closed without its end."
            run["stop"].set()
            run["closed"].wait()
            self.record.line(f"{self.name} has stopped {order['id']} after {run['made']} events")
            if self.crashes:
                time.sleep(0.05)
                self.record.line(f"{self.name} crashes before it answers the order")
                self.server.crash()
                return False
        handle = f"h-{order['id']}"
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
        run = {"made": after, "stop": threading.Event(), "closed": threading.Event()}
        with self.lock:
            self.runs[name] = run
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {name}\r\nResponse-Signature: s.{name}\r\n"
        if self.leaves_at is not None:
            head += "Server-Leaving: 1\r\n"
        connection.sendall(f"{head}Content-Type: text/event-stream\r\n\r\n".encode())
        while run["made"] < EVENTS and not run["stop"].is_set():
            run["made"] += 1
            number = run["made"]
            connection.sendall(f"id: {number}\ndata: piece {number}\n\n".encode())
            time.sleep(EVENT_GAP_S)
        if not run["stop"].is_set():
            self.record.line(f"{self.name} has completed {name}")
        connection.shutdown(2)
        with self.lock:
            self.runs.pop(name, None)
        run["closed"].set()
        return False


def case(record, trouble):
    store = fakes.Store(record)
    engines = [Engine("engine-1", "127.0.0.21", record, trouble),
               Engine("engine-2", "127.0.0.22", record, trouble)]
    port = fakes.free_port("127.0.0.21")
    routes = [fakes.route("report", "/report/", "streaming", "pool", 39000, 1800, 1)]
    with fakes.Processes(record) as processes:
        store.put("keyed.op", "config", fakes.config(1, routes))
        for number, engine in enumerate(engines):
            processes.observer(f"side-{number}", store.address, "z", engine.address, port)
            store.put("keyed.servers", f"i-{number}",
                      fakes.entry("pool", engine.address, "z", born=BORN))
        gateway = processes.gateway("frontend-1", store.address, "z", port)
        fakes.wait_for("the gateway is ready", lambda: fakes.is_ready(gateway))
        time.sleep(2.0)
        answers = []
        headers = [("Host", "h.example"), ("Attempt-Id", "a1"), ("Deadline-Ms", "39000"),
                   ("Authorization", "Bearer k1"), ("Model", "m"), ("Token-Usage", "3000,480")]
        caller = threading.Thread(target=lambda: answers.append(
            fakes.call(gateway.callers, "POST", "/report/1", headers, b"hello")))
        record.line("caller sends a1")
        caller.start()
        fakes.wait_for("an engine runs the request", lambda: any(one.runs for one in engines))
        time.sleep(1.0)
        number = 0 if engines[0].runs else 1
        record.line(f"engine-{number + 1} leaves in 2 s, its entry and its report say so")
        engines[number].leaves_at = fakes.now() + 2.0
        store.put("keyed.servers", f"i-{number}",
                  fakes.entry("pool", engines[number].address, "z", "draining", sequence=2,
                              born=BORN))
        caller.join()
    answer = answers[0]
    pieces = answer.body.decode().count("data: piece ")
    record.line(f"caller gets {answer.status}, {pieces} of {EVENTS} pieces, "
                f"the answer is {'complete' if answer.complete else 'broken off'}")
    if answer.status == 200 and answer.complete and pieces < EVENTS:
        return [f"ORDER: the stream ends as complete after {pieces} of {EVENTS} pieces"]
    if not trouble and (not answer.complete or pieces != EVENTS):
        raise RuntimeError("the stream was not served without the disruption")
    return []


sys.exit(fakes.run_case(FOLDER, case))
