"""A configuration that adds a customer with a space in its name is dropped as a whole, while the
gateway goes on to trust the configuration before it."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Replica, config, now, response, route, run, send_request, service, TROUBLE

CUSTOMER = os.environ.get("CUSTOMER", "touring venue group")
REVOKE_S, CONFIG_APPLY_S = 5.0, 2.0
LENGTH_S = 15.0
# A zone of the site sends about 9 sign-offs a second to its gateways.
PAUSE_S = 0.3


class Desk(Replica):
    """A replica of the service for sign-offs."""

    def __init__(self, case, number):
        super().__init__(case.record, case.store, f"c-{number}", "certdesk",
                         lambda request, sock, _: self.sign_off(request, sock), slots=6)

    def sign_off(self, request, sock):
        self.ran(request)
        time.sleep(0.03)
        sock.sendall(response(200, b"x" * 800, self.signed(request)))
        return True


def body(case):
    def version(number, *tenants):
        signoffs = route("signoff", "/signoff/", "non_idempotent", "certdesk", 800, 150, 1)
        tenants = [{"name": name, "apiKeys": keys, "priority": 1} for name, keys in tenants]
        return config(number, [signoffs], [service("certdesk")], tenants)

    case.store.put("keyed.op", "config", version(1, ("huka270", ["k-kept", "k-revoked"])))
    desks = [Desk(case, number) for number in (1, 2, 3)]
    gateways = [case.gateway(), case.gateway()]
    for gateway in gateways:
        case.wait_ready(gateway, len(desks))
    tenants = [("huka270", ["k-kept"])]
    if TROUBLE:
        tenants.append((CUSTOMER, ["k-new"]))
    acked_at = case.store.put("keyed.op", "config", version(2, *tenants))
    added = f", adds customer {CUSTOMER!r} with k-new" if TROUBLE else ""
    case.record.write(f"acknowledged: version 2, takes k-revoked away{added}")
    sent_at, refused = {}, []
    while now() < acked_at + LENGTH_S:
        for number, gateway in enumerate(gateways):
            for key in ("k-kept", "k-revoked") + (("k-new",) if TROUBLE else ()):
                attempt = f"{key}-{len(sent_at)}"
                sent_at[attempt] = now()
                answer = send_request(gateway.callers, "/signoff/a", attempt, key,
                                      deadline_ms=1500, patience_s=1.5)
                age_s = sent_at[attempt] - acked_at
                case.record.write(f"{attempt}, sent {age_s:.2f} s after the ack to gateway {number}: {answer}")
                if key == "k-new" and answer.status in (401, 403, 404) and age_s > CONFIG_APPLY_S:
                    refused.append(f"{attempt} was answered {answer.status} {age_s:.1f} s after the ack")
        time.sleep(PAUSE_S)
    ready = [case.readiness(gateway) for gateway in gateways]
    case.record.write(f"readiness of the gateways: {ready}")
    ran = {attempt for desk in desks for _, attempt in desk.runs}
    late = {attempt: at - acked_at for attempt, at in sent_at.items()
            if attempt.startswith("k-revoked") and attempt in ran and at > acked_at + REVOKE_S}
    return [f"{attempt} ran, sent {age_s:.1f} s after its key was taken away"
            for attempt, age_s in late.items()] + refused


run(__file__, body)
