"""A key is taken away. Seconds later the store comes back from a copy of before, and one gateway is
restarted at that time. The operator writes its config again after a moment."""

import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import standins3 as s  # noqa: E402

OTHER_KEY = "k2b7m0vq4tz8yd1xw6cn"
REVOKE_S = s.BOUNDS["revokeMs"] / 1000
AWAY_S, WRITTEN_AGAIN_S = 1.0, 1.5
ROUTES = [s.route("signoff", "non_idempotent", "certdesk", 800, 150)]


class Requester:
    """A requester that goes on with the key that was taken away."""

    def __init__(self, site, gateway):
        self.site, self.gateway, self.sent, self.statuses = site, gateway, {}, []
        self.mark = gateway.name[-1]

    async def one(self, number):
        identity = f"9c41d07be2a{self.mark}{number:04x}"
        self.sent[identity] = s.now_ms()
        try:
            status, *_ = await asyncio.wait_for(s.request(
                self.gateway.host, self.gateway.port, "POST", "/signoff/2f",
                s.call_headers(identity, 1500), b"hoist 9"), 2)
        except (asyncio.TimeoutError, OSError):
            status = "no answer"
        if not self.statuses or self.statuses[-1] != status:
            self.statuses.append(status)
            self.site.record(f"requester with the key that goes: {identity}: {status}")

    async def run(self):
        number = 0
        tasks = set()
        while True:
            tasks.add(asyncio.create_task(self.one(number)))
            number += 1
            await asyncio.sleep(0.05)


async def play(site):
    await site.start_store()
    site.choose_ports(["127.0.7.1", "127.0.7.2"])
    services = [s.plain_service("certdesk")]
    before = s.config(4, ROUTES, services, (s.KEY, OTHER_KEY))
    after = s.config(7, ROUTES, services, (OTHER_KEY,))
    site.store.put("keyed.op", "config", before)
    for number in range(1, 4):
        await site.start_replica(f"i-{number}", f"127.0.7.{10 + number}", service="certdesk")
    gateways = [await site.start_gateway(f"frontend-ch-west-a-{number}", f"127.0.7.{number}")
                for number in (1, 2)]
    await site.until_ready(*gateways)
    await asyncio.sleep(s.CONTACT_S)
    requesters = [Requester(site, gateway) for gateway in gateways]
    running = [asyncio.create_task(it.run()) for it in requesters]
    await asyncio.sleep(1)
    copy = site.store.copy()
    await asyncio.sleep(0.5)
    site.store.put("keyed.op", "config", after)
    acked = s.now_ms()
    site.record("the store has acknowledged the config without the key")
    gateway = gateways[1]
    if site.trouble:
        await asyncio.sleep(REVOKE_S - AWAY_S)
        site.store.go_away()
        site.record("the store is away")
        await gateway.kill()
        site.record(f"{gateway.name} is killed (SIGKILL)")
        await asyncio.sleep(AWAY_S)
        site.store.come_back(copy)
        site.record(f"the store is back from a copy {REVOKE_S + 0.5:.1f} s old; "
                    f"its era is {site.store.era}")
        await gateway.start()
        site.record(f"{gateway.name} is started again")
        await asyncio.sleep(WRITTEN_AGAIN_S)
        site.store.put("keyed.op", "config", after)
        site.record("the operator has written the config again")
    else:
        await asyncio.sleep(REVOKE_S)
        await gateway.kill()
        await gateway.start()
        site.record(f"{gateway.name} was killed (SIGKILL) and started again")
    await asyncio.sleep(4)
    for task in running:
        task.cancel()
    late = acked + REVOKE_S * 1000
    sent = {identity: at for it in requesters for identity, at in it.sent.items()}
    ran = []
    for requester in requesters:
        names = {identity for identity, at in requester.sent.items() if at > late}
        found = [it for it in site.received(late) if it["what"] == "runs" and it["id"] in names]
        site.record(f"{requester.gateway.name}: {len(found)} of {len(names)} requests with the "
                    f"key ran that were sent later than {REVOKE_S} s after the ack")
        ran += found
    if ran:
        last = max(sent[it["id"]] for it in ran)
        return (f"CONFIG: {len(ran)} requests ran with a key that had been taken away, the last "
                f"one sent {(last - acked) / 1000:.1f} s after the ack")
    return None


s.main(CASE, play)
