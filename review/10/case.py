"""Replicas in need name a limit, and one of them fails part of its requests."""

import collections
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fakes2 as fakes  # noqa: E402

BORN = 1_700_000_000_000
CYCLES = 120
CYCLE_S = 0.5
WORK_S = 0.03
LIMIT_PER_S = "8.0"
FAIL_SHARE = 0.45
MAX_ATTEMPTS = 2
EXCUSED = 3


class Desk:
    """A replica of the certificate service. It takes 8 requests a second, and says so."""

    def __init__(self, name, record, runs, fails, seed):
        self.name, self.record, self.runs, self.fails = name, record, runs, fails
        self.random = random.Random(seed)
        self.server = fakes.Server(self.handle)
        self.address = self.server.address

    def handle(self, request, connection):
        name = request.header("attempt-id")
        if name is None:
            connection.sendall(fakes.response(200))
            return True
        self.runs[name].append(self.name)
        time.sleep(WORK_S)
        failed = self.fails and self.random.random() < FAIL_SHARE
        status = 500 if failed else 200
        self.record.line(f"{self.name} has run {name}: {status}")
        headers = [("Attempt-Id", name), ("Response-Signature", f"s.{name}"),
                   ("Server-Limit", LIMIT_PER_S), ("Replica-Load", "1,0,6")]
        connection.sendall(fakes.response(status, headers, b"done"))
        return True


def engine(request, connection):
    """An idle engine, whose observer counts the gateways."""
    report = {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
              "busy": False, "sequence": 1, "waiting": 0, "running": 0, "kvUsed": 0,
              "kvTotal": 34307, "handles": 0, "state": "ready", "runs": [], "born": BORN}
    connection.sendall(fakes.json_response(200, report))
    return True


def case(record, trouble):
    store = fakes.Store(record)
    runs = collections.defaultdict(list)
    desks = [Desk(f"desk-{number}", record, runs, trouble and number == 0, number)
             for number in range(3)]
    pool = fakes.Server(engine, "127.0.0.31")
    port = fakes.free_port("127.0.0.31")
    routes = [fakes.route("lookup", "/lookup/", "idempotent", "desk", 800, 150, MAX_ATTEMPTS)]
    answers = collections.Counter()
    with fakes.Processes(record) as processes:
        store.put("keyed.op", "config", fakes.config(1, routes))
        processes.observer("side-0", store.address, "z", pool.address, port)
        store.put("keyed.servers", "i-pool", fakes.entry("pool", pool.address, "z", born=BORN))
        for number, desk in enumerate(desks):
            store.put("keyed.servers", f"i-desk-{number}",
                      fakes.entry("desk", desk.address, "z", slots=6, born=BORN))
        gateway = processes.gateway("frontend-1", store.address, "z", port)
        fakes.wait_for("the gateway is ready", lambda: fakes.is_ready(gateway))
        time.sleep(2.0)

        def send(number):
            headers = [("Host", "h.example"), ("Attempt-Id", f"a{number}"),
                       ("Deadline-Ms", "1500"), ("Authorization", "Bearer k1")]
            answer = fakes.call(gateway.callers, "GET", f"/lookup/{number}", headers, timeout=5)
            answers[answer.status] += 1
            record.line(f"a{number} is answered {answer.status} after "
                        f"{(answer.ended - answer.sent) * 1000:.0f} ms")

        threads = []
        for cycle in range(CYCLES):
            began = time.monotonic()
            for number in range(3):
                thread = threading.Thread(target=send, args=(3 * cycle + number,))
                thread.start()
                threads.append(thread)
                if number == 1:
                    time.sleep(0.03)
            time.sleep(max(0.0, began + CYCLE_S - time.monotonic()))
        for thread in threads:
            thread.join()
    record.line(f"answers by status: {dict(answers)}")
    if answers[200] < len(threads) / 4:
        raise RuntimeError("too few requests were served")
    beyond = {name: ran for name, ran in runs.items() if len(set(ran)) > MAX_ATTEMPTS}
    for name, ran in beyond.items():
        record.line(f"{name} has run on {len(set(ran))} replicas: {', '.join(ran)}")
    if len(beyond) > EXCUSED:
        return [f"BUDGET: {len(beyond)} requests have run on more than {MAX_ATTEMPTS} replicas"]
    return []


sys.exit(fakes.run_case(FOLDER, case))
