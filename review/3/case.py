"""A replica in trouble runs a sign-off and answers 503; the gateway passes the 503 on as its
own promise that the sign-off has not run, so the requester sends it again."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Replica, config, now, response, route, run, send_request, service, TROUBLE

GREY_X, GREY_S = 0.45, 6.5
REQUESTERS = 6


def body(case):
    grey = threading.Event()
    applied = {}
    lock = threading.Lock()

    def serve(request, sock, replica):
        replica.ran(request)
        with lock:
            applied.setdefault(request.body.decode(), []).append(request.id)
        time.sleep(random.uniform(0.02, 0.04))
        if grey.is_set() and replica.name == "i-3" and random.random() < GREY_X:
            # The work is done, and then the replica fails. Not-Executed is not stated.
            sock.sendall(response(503, b"failed after the work", replica.signed(request)))
        else:
            sock.sendall(response(200, b"done", replica.signed(request)))
        return True

    routes = [route("sign", "/sign/", "non_idempotent", "certdesk", 1500, 150, 1)]
    tenants = [{"name": "t1", "apiKeys": ["k1"], "priority": 1}]
    case.store.put("keyed.op", "config", config(1, routes, [service("certdesk")], tenants))
    replicas = [Replica(case.record, case.store, f"i-{n}", "certdesk", serve, slots=6) for n in (1, 2, 3)]
    gateway = case.gateway()
    case.wait_ready(gateway, 3)
    answers = {}
    until = now() + 2.0 + GREY_S + 1.0

    def requester(name):
        number = 0
        while now() < until:
            sign_off = f"certificate {name}-{number}"
            started = now()
            # A requester retries what may not run twice only after a promise, once.
            for attempt_number in (1, 2):
                attempt = f"{name}-{number}-{attempt_number}"
                left_ms = int(1500 - (now() - started) * 1000)
                answer = send_request(gateway.callers, "/sign/a", attempt, "k1", body=sign_off.encode(),
                                      deadline_ms=left_ms)
                answers[attempt] = answer.status
                case.record.write(f"{attempt} ({sign_off}) answered {answer}")
                if answer.status not in (408, 421, 429, 503):
                    break
                time.sleep(min(float(answer.headers.get("retry-after", "0")), left_ms / 3000))
            number += 1
            time.sleep(0.05)

    threads = [threading.Thread(target=requester, args=(f"r{n}",)) for n in range(REQUESTERS)]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    if TROUBLE:
        case.record.write("i-3 fails part of its requests")
        grey.set()
    time.sleep(GREY_S)
    grey.clear()
    for thread in threads:
        thread.join()
    ran = {attempt: replica.name for replica in replicas for _, attempt in replica.runs}
    breaks = [f"{attempt} was answered {status} and has run at {ran[attempt]}"
              for attempt, status in answers.items()
              if status in (408, 421, 429, 503) and attempt in ran]
    twice = [sign_off for sign_off, attempts in applied.items() if len(attempts) > 1]
    case.record.write(f"sign-offs that were applied twice: {', '.join(twice) or 'none'}")
    return breaks


run(__file__, body)
