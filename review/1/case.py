"""A spoiled Keep-Alive number in one answer ends the gateway that reads it."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Reader, Replica, now, response, route, run, service, config, TROUBLE
import socket

GARBLE_SHARE, GARBLE_X, GARBLE_S = 0.5, 0.03, 5.5
WARM_S, AFTER_S = 4.0, 2.0


class KeptConnection:
    """A requester that keeps its connection for many requests."""

    def __init__(self, case, gateway, name, method, target, pause_s):
        self.case, self.gateway, self.name = case, gateway, name
        self.method, self.target, self.pause_s = method, target, pause_s
        # (attempt, whether the connection had served a request before, sent at, status)
        self.sent = []

    def loop(self, until):
        number = 0
        while now() < until:
            try:
                self.one_connection(until, number)
            except (OSError, EOFError, ValueError):
                pass
            number += 1
            time.sleep(0.1)

    def one_connection(self, until, connection):
        ip, port = self.gateway.callers.split(":")
        with socket.create_connection((ip, int(port)), timeout=1.0) as sock:
            sock.settimeout(5.0)
            reader = Reader(sock)
            served = 0
            while now() < until:
                attempt = f"{self.name}-{connection}-{served}"
                entry = [attempt, served > 0, now(), None]
                self.sent.append(entry)
                body = b"" if self.method == "GET" else b"sign"
                sock.sendall((f"{self.method} {self.target} HTTP/1.1\r\nHost: h.example\r\n"
                              f"Attempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\n"
                              f"Authorization: Bearer k1\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                start, headers = reader.head()
                reader.exactly(int(headers.get("content-length", "0")))
                entry[3] = int(start.split(" ")[1])
                served += 1
                if headers.get("connection", "") == "close":
                    return
                time.sleep(self.pause_s)


def body(case):
    garbling = set()

    def serve(request, sock, replica):
        replica.ran(request)
        time.sleep(random.uniform(0.03, 0.09))
        keep_alive = "timeout=5"
        if replica.name in garbling and random.random() < GARBLE_X:
            keep_alive = "timeout=9999999999999999999"
            case.record.write(f"{replica.name} spoils the head of its answer to {request.id}")
        sock.sendall(response(200, b"done", replica.signed(request) + [("Keep-Alive", keep_alive)]))
        return True

    routes = [route("sign", "/sign/", "non_idempotent", "certdesk", 1500, 150, 1),
              route("look", "/look/", "idempotent", "certdesk", 1500, 150, 2)]
    tenants = [{"name": "t1", "apiKeys": ["k1"], "priority": 1}]
    case.store.put("keyed.op", "config", config(1, routes, [service("certdesk")], tenants))
    replicas = [Replica(case.record, case.store, f"i-{n}", "certdesk", serve, slots=24)
                for n in range(1, 5)]
    gateways = [case.gateway(), case.gateway()]
    for gateway in gateways:
        case.wait_ready(gateway, len(replicas))
    until = now() + WARM_S + GARBLE_S + AFTER_S
    requesters = []
    for g, gateway in enumerate(gateways):
        for n in range(24):
            requesters.append(KeptConnection(case, gateway, f"g{g}s{n}", "POST", "/sign/a", 0.02))
        for n in range(5):
            requesters.append(KeptConnection(case, gateway, f"g{g}l{n}", "GET", "/look/a", 0.02))
    threads = [threading.Thread(target=r.loop, args=(until,)) for r in requesters]
    for thread in threads:
        thread.start()
    trouble_from = now() + WARM_S
    ends = {id(gateway): 0 for gateway in gateways}
    while now() < until:
        if TROUBLE:
            active = trouble_from <= now() < trouble_from + GARBLE_S
            garbling.clear()
            if active:
                garbling.update(r.name for r in replicas[:int(len(replicas) * GARBLE_SHARE)])
        for gateway in gateways:
            if gateway.poll() is not None and not getattr(gateway, "counted", False):
                gateway.counted = True
                ends[id(gateway)] += 1
                case.record.write(f"gateway at {gateway.callers} ended by itself, status {gateway.returncode}")
        time.sleep(0.01)
    for thread in threads:
        thread.join()
    sound = {replica.name for replica in replicas[int(len(replicas) * GARBLE_SHARE):]}
    ran_at = {}
    for replica in replicas:
        for _, attempt in replica.runs:
            ran_at.setdefault(attempt, []).append(replica.name)
    breaks = []
    for g in range(len(gateways)):
        lost = []
        for requester in requesters:
            if not requester.name.startswith(f"g{g}"):
                continue
            for attempt, kept, sent_at, status in requester.sent:
                at = ran_at.get(attempt, [])
                if status is None and kept and at and set(at) <= sound:
                    lost.append(attempt)
        case.record.write(f"gateway {g + 1}: {len(lost)} requests from kept connections were passed on to a "
                          f"sound replica and got no answer: {' '.join(lost)}")
        if len(lost) > 3:
            breaks.append(f"gateway {g + 1} passed {len(lost)} requests of kept connections on to sound replicas "
                          f"and closed the connections without an answer")
    return breaks


run(__file__, body)
