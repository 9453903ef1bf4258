"""Two versions of a service's software serve side by side. The store turns one gateway away, which is
killed some seconds later. Requesters take their streams up at two others."""

import asyncio
import os
import re
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import standins3 as s  # noqa: E402

STREAMS = 16
OLD, NEW = "1.4.0", "1.5.0"
ROUTES = [s.route("verdict", "streaming", "lentil-pool", 39000, 1500, gapTargetMs=180,
                  sticky=True, resumable=True, maxAttempts=2)]


class Stream:
    """A requester that takes its stream up at another gateway when it breaks off."""

    def __init__(self, site, number):
        self.site, self.number, self.events = site, number, {}
        self.first, self.complete = None, False

    async def run(self, gateways):
        for attempt in range(3):
            gateway = gateways[min(attempt, len(gateways) - 1)]
            identity = f"9c41d07b{self.number:04x}{attempt:04x}"
            more = {}
            if self.events:
                more = {"Last_Event_Id": str(max(self.events)), "Resumes": self.first}
            headers = s.call_headers(identity, 39000, Model="m", Token_Usage="1460,640",
                                     Prompt_Prefix=f"91bd3f06:400,e440{self.number:04x}:250",
                                     **more)
            try:
                status, answer, body, complete = await asyncio.wait_for(s.request(
                    gateway.host, gateway.port, "POST", "/verdict/2f", headers,
                    f"hoist log {self.number}".encode()), 40)
            except (asyncio.TimeoutError, OSError):
                status, answer, body, complete = None, {}, b"", False
            found = re.findall(r"id: (\d+)\ndata: (\S+) (\S+)", body.decode())
            for event, version, replica in found:
                self.events[int(event)] = (version, replica)
            if found and self.first is None:
                self.first = identity
            self.site.record(f"requester: {identity} at {gateway.name} {more or ''}: {status}, "
                             f"{len(found)} events, {'complete' if complete else 'broken off'}")
            self.complete = status == 200 and complete
            if self.complete:
                return
            await asyncio.sleep(min(2.0, float(answer.get("retry-after", 0.05))))

    def versions(self):
        return sorted({version for version, _ in self.events.values()})


async def play(site):
    await site.start_store()
    link = await site.store.start_link()
    hosts = [f"127.0.10.{100 + number}" for number in range(1, 5)]
    fronts = ["127.0.10.1", "127.0.10.2", "127.0.10.3"]
    site.choose_ports(hosts + fronts)
    site.store.put("keyed.op", "config", s.config(1, ROUTES, [s.engine_service("lentil-pool")]))

    async def start_engine(number, version):
        engine = await site.start_replica(f"i-{number}", hosts[number - 1], kind="engine",
                                          service="lentil-pool", version=version, prefill_ms=60,
                                          events=160, gap_ms=50)
        await site.start_observer(engine)
    for number in (1, 2):
        await start_engine(number, OLD)
    first = await site.start_gateway("frontend-ch-west-a-1", fronts[0], store=link.address)
    second = await site.start_gateway("frontend-ch-west-a-2", fronts[1])
    third = await site.start_gateway("frontend-ch-west-a-3", fronts[2])
    await site.until_ready(first, second, third)
    await asyncio.sleep(12)
    for number in (3, 4):
        await start_engine(number, NEW)
    site.record(f"two replicas of version {NEW} serve beside two of {OLD}")
    await asyncio.sleep(8)
    if site.trouble:
        link.refuses = True
        site.record(f"the store turns {first.name} away (503)")
    await asyncio.sleep(1)
    streams = [Stream(site, number) for number in range(STREAMS)]
    tasks = [asyncio.create_task(stream.run([first, (second, third)[stream.number % 2]])) for stream in streams]
    await asyncio.sleep(2.5)
    await first.kill()
    site.record(f"{first.name} is killed (SIGKILL)")
    await asyncio.gather(*tasks)
    joined = [it for it in streams if len(it.versions()) > 1]
    for stream in joined:
        changes = []
        for event, (version, replica) in sorted(stream.events.items()):
            if not changes or changes[-1][1:] != (version, replica):
                changes.append((event, version, replica))
        parts = ", ".join(f"from event {event} version {version} of {replica}"
                          for event, version, replica in changes)
        site.record(f"stream {stream.number}: {parts}")
    done = sum(stream.complete for stream in streams)
    site.record(f"{done} of {STREAMS} streams are complete, {len(joined)} hold events of two "
                f"versions")
    if done < STREAMS / 2:
        raise s.CannotRun("the streams were not served")
    if len(joined) > 2:
        return f"ORDER: {len(joined)} streams hold events from replicas of two software versions"
    return None


s.main(CASE, play)
