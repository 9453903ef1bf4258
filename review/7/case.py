"""Another writer leaves entries with a service that nobody named, at the addresses of replicas."""

import collections
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fakes2 as fakes  # noqa: E402

BORN = 1_700_000_000_000
BEAT_S = 1.2
BEFORE_S = 4.0
AFTER_S = 30.0
INTERVAL_S = 0.2


class Desk:
    """A sound replica of the certificate service."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.server = fakes.Server(self.handle)
        self.address = self.server.address

    def handle(self, request, connection):
        name = request.header("attempt-id")
        if name is None or request.header("expected-replica") != self.name:
            connection.sendall(fakes.response(421, [("Replica-Id", self.name)]))
            return True
        time.sleep(0.03)
        self.record.line(f"{self.name} has run {name}")
        headers = [("Attempt-Id", name), ("Response-Signature", f"s.{name}"),
                   ("Replica-Load", "1,0,6")]
        connection.sendall(fakes.response(200, headers, b"done"))
        return True


def engine(request, connection):
    """A sound engine with short streams."""
    name = request.header("attempt-id")
    if name is None:
        report = {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
                  "busy": False, "sequence": 1, "waiting": 0, "running": 0, "kvUsed": 0,
                  "kvTotal": 34307, "handles": 0, "state": "ready", "runs": [], "born": BORN}
        connection.sendall(fakes.json_response(200, report))
        return True
    events = "".join(f"id: {number}\ndata: piece\n\n" for number in range(1, 4)).encode()
    headers = [("Attempt-Id", name), ("Response-Signature", f"s.{name}"),
               ("Content-Type", "text/event-stream")]
    connection.sendall(fakes.response(200, headers, events))
    return True


def case(record, trouble):
    store = fakes.Store(record)
    desks = [Desk(f"i-desk-{number}", record) for number in range(3)]
    pool = fakes.Server(engine, "127.0.0.41")
    port = fakes.free_port("127.0.0.41")
    routes = [fakes.route("signoff", "/signoff/", "non_idempotent", "desk", 800, 150, 1),
              fakes.route("verdict", "/verdict/", "streaming", "pool", 6000, 1500, 2, True)]
    ended = threading.Event()
    served = collections.Counter()
    asked = collections.Counter()
    since = [float("inf")]

    def beat():
        sequence = 1
        while not ended.is_set():
            sequence += 1
            for desk in desks:
                store.put("keyed.servers", desk.name,
                          fakes.entry("desk", desk.address, "z", slots=6, sequence=sequence,
                                      born=BORN))
            store.put("keyed.servers", "i-pool",
                      fakes.entry("pool", pool.address, "z", sequence=sequence, born=BORN))
            ended.wait(BEAT_S)

    def send(gateway, kind, number):
        headers = [("Host", "h.example"), ("Attempt-Id", f"{kind}-{number}"),
                   ("Deadline-Ms", "1500" if kind == "signoff" else "6000"),
                   ("Authorization", "Bearer k1")]
        if kind == "verdict":
            headers += [("Model", "m"), ("Token-Usage", "2200,12")]
        answer = fakes.call(gateway.callers, "POST", f"/{kind}/{number}", headers, b"x", 10)
        good = answer.status == 200 and answer.complete
        record.line(f"{kind}-{number} is answered {answer.status}")
        if answer.sent > since[0]:
            asked[kind] += 1
            served[kind] += good

    with fakes.Processes(record) as processes:
        store.put("keyed.op", "config", fakes.config(1, routes))
        beats = threading.Thread(target=beat)
        beats.start()
        try:
            processes.observer("side-0", store.address, "z", pool.address, port)
            gateway = processes.gateway("frontend-1", store.address, "z", port)
            fakes.wait_for("the gateway is ready", lambda: fakes.is_ready(gateway))
            time.sleep(2.0)
            threads = []
            began = fakes.now()
            number = 0
            written = False
            while fakes.now() < began + BEFORE_S + AFTER_S:
                if not written and fakes.now() >= began + BEFORE_S:
                    written = True
                    since[0] = fakes.now() + 3.0
                    if trouble:
                        for desk in desks:
                            key = desk.name.replace("desk", "other")
                            record.line(f"another writer leaves the entry {key}, service "
                                        f"'metrics', at the address of {desk.name}")
                            store.put("keyed.servers", key,
                                      fakes.entry("metrics", desk.address, "z", born=BORN))
                number += 1
                for kind in ("signoff", "verdict"):
                    thread = threading.Thread(target=send, args=(gateway, kind, number))
                    thread.start()
                    threads.append(thread)
                time.sleep(INTERVAL_S)
            for thread in threads:
                thread.join()
        finally:
            ended.set()
            beats.join()
    share = {kind: served[kind] / max(1, asked[kind]) for kind in asked}
    overall = sum(served.values()) / max(1, sum(asked.values()))
    for kind, value in share.items():
        record.line(f"{kind}: {served[kind]} of {asked[kind]} served, {value:.2f}")
    record.line(f"all: {overall:.2f}")
    if not trouble and overall < 0.9:
        raise RuntimeError("too few requests were served without the disruption")
    return [f"Starved: {kind} served at {value:.2f}, all requests at {overall:.2f}"
            for kind, value in share.items() if value < overall / 4]


sys.exit(fakes.run_case(FOLDER, case))
