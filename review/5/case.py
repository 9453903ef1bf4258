"""A gateway whose log is read late stops to answer requests and readiness checks."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Reader, Replica, config, now, response, route, run, service, TROUBLE
import socket

TIMEOUT_MS, DEADLINE_MS = 800, 1500
# The time after a route's timeoutMs by which there is a final answer.
SLACK_S = 0.5
REQUESTERS, PAUSE_BETWEEN_S = 24, 0.6
WARM_S, LOG_PAUSE_S, AFTER_S = 3.0, 15.0, 3.0


class Requester:
    """Keeps its connection, and waits for each answer until its time budget has passed."""

    def __init__(self, case, gateway, name):
        self.case, self.gateway, self.name = case, gateway, name
        # (attempt, sent at, time until the final answer or None)
        self.sent = []

    def loop(self, until):
        number = 0
        while now() < until:
            try:
                ip, port = self.gateway.callers.split(":")
                with socket.create_connection((ip, int(port)), timeout=1.0) as sock:
                    sock.settimeout(DEADLINE_MS / 1000)
                    reader = Reader(sock)
                    while now() < until:
                        number += 1
                        self.one(sock, reader, f"{self.name}-{number}")
                        time.sleep(PAUSE_BETWEEN_S)
            except (OSError, EOFError):
                time.sleep(PAUSE_BETWEEN_S)

    def one(self, sock, reader, attempt):
        entry = [attempt, now(), None]
        self.sent.append(entry)
        try:
            sock.sendall((f"POST /sign/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\n"
                          f"Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer k1\r\n"
                          f"Content-Length: 4\r\n\r\nsign").encode())
            start, headers = reader.head()
            reader.exactly(int(headers.get("content-length", "0")))
            entry[2] = now() - entry[1]
            self.case.record.write(f"{attempt} answered {start.split(' ')[1]} after {entry[2]:.2f} s")
        except (OSError, EOFError) as error:
            self.case.record.write(f"{attempt} got no answer in {now() - entry[1]:.2f} s: {error!r}")
            raise


def body(case):
    def serve(request, sock, replica):
        replica.ran(request)
        time.sleep(0.03)
        sock.sendall(response(200, b"done", replica.signed(request)))
        return True

    routes = [route("sign", "/sign/", "non_idempotent", "certdesk", TIMEOUT_MS, 150, 1)]
    tenants = [{"name": "t1", "apiKeys": ["k1"], "priority": 1}]
    case.store.put("keyed.op", "config", config(1, routes, [service("certdesk")], tenants))
    replicas = [Replica(case.record, case.store, f"i-{n}", "certdesk", serve, slots=6) for n in (1, 2, 3)]
    gateway = case.gateway(log_pipe=True)
    case.wait_ready(gateway, len(replicas))
    until = now() + WARM_S + LOG_PAUSE_S + AFTER_S
    requesters = [Requester(case, gateway, f"r{n}") for n in range(REQUESTERS)]
    threads = [threading.Thread(target=requester.loop, args=(until,)) for requester in requesters]
    for thread in threads:
        thread.start()
    time.sleep(WARM_S)
    if TROUBLE:
        case.record.write("the reader of the gateway's log pauses")
        gateway.collector.pause()
    paused_until = now() + LOG_PAUSE_S
    misses = 0
    while now() < paused_until:
        status = case.readiness(gateway)
        misses += status != 200
        case.record.write(f"readiness {status or 'without an answer'}")
        time.sleep(1.0)
    case.record.write("the reader of the gateway's log goes on")
    gateway.collector.go_on()
    for thread in threads:
        thread.join()
    due_s = TIMEOUT_MS / 1000
    sent = [entry for requester in requesters for entry in requester.sent]
    longer = [entry for entry in sent if entry[2] is None or entry[2] > due_s]
    late = [entry for entry in longer if entry[2] is None or entry[2] > due_s + SLACK_S]
    case.record.write(f"of {len(sent)} requests {len(longer)} lasted longer than timeoutMs; {len(late)} of these had "
                      f"no final answer {SLACK_S} s after it; {misses} readiness checks failed")
    if len(late) >= 8 and len(late) > len(longer) / 4:
        return [f"{len(late)} of {len(longer)} requests that lasted longer than timeoutMs had no final answer "
                f"{SLACK_S} s after it"]
    return []


run(__file__, body)
