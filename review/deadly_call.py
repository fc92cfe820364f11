"""A call that crashes each runner that begins to run it, and comes again.

No case, see REPORT-2.md. Run it with PYTHONPATH=review/6; TROUBLE=0 is without crashes.
"""

import asyncio
import time
from collections import Counter

from stand_ins.crowd import start_callers
from stand_ins.play import run_case
from stand_ins.servers import Runner
from stand_ins.site import Site
from stand_ins.wire import Request, render

DEADLY = b"a body that crashes its runner"
# "The runner is back after some seconds."
DOWN_S = 3.0
GAP_S = 5.0
N_SENDS = 10
# `stable_window_ms` of the deployment, and what the rule allows.
STABLE_WINDOW_S = 3.0
N_RETRIES_ALLOWED = 3


class FragileRunner(Runner):
    """A plain service that ends when it begins to run one content."""

    crashes: list[float]
    writers: set[asyncio.StreamWriter]

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request, and remember its connection."""
        self.writers.add(writer)
        await super().handle(request, writer)

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request, or crash as it begins."""
        if request.body != DEADLY:
            await super().run(request, writer)
            return
        number = request.headers.get("x-request-id", "")
        self.record("crash", runner=self.name, id=number)
        self.crashes.append(time.monotonic())
        assert self.server is not None
        self.server.close()
        for open_writer in self.writers:
            open_writer.transport.abort()
        self.writers.clear()
        self.restart = asyncio.create_task(self.come_back())
        raise OSError("crashed")

    async def come_back(self) -> None:
        """Start again under the same id, at the same address."""
        await asyncio.sleep(DOWN_S)
        self.born = int(time.time() * 1000)
        await self.start()
        self.record("back", runner=self.name)


class HarmlessRunner(FragileRunner):
    """The same service, which runs the content like any other."""

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer that the content makes no sense."""
        if request.body != DEADLY:
            await super().run(request, writer)
            return
        fields = self.make_fields(request)
        fields["X-Server-Stamp"] = f"stamp.{self.name}"
        writer.write(render(500, fields, b"no sense"))


async def play(site: Site, with_trouble: bool) -> list[str]:
    """Send the request again and again, at one entry host after the other."""
    crashes: list[float] = []
    for runner in site.runners:
        if not runner.is_engine:
            runner.__class__ = FragileRunner if with_trouble else HarmlessRunner
            assert isinstance(runner, FragileRunner)
            runner.crashes = crashes
            runner.writers = set()
    statuses: list[int] = []
    callers = start_callers(site, statuses)
    answers: Counter[int] = Counter()
    for number in range(N_SENDS):
        node = site.entries[number % len(site.entries)]
        answer = await site.request(node, "POST", "/file/1", {}, DEADLY, 2000)
        answers[answer.status] += 1
        await asyncio.sleep(GAP_S)
    for caller in callers:
        caller.cancel()
    site.record("deadly request", statuses=dict(answers), crashes=len(crashes))
    site.record("calls of ordinary callers", statuses=dict(Counter(statuses)))
    if len(crashes) < N_RETRIES_ALLOWED:
        return []
    since = crashes[2] + STABLE_WINDOW_S
    n_late = sum(at > since for at in crashes)
    if n_late <= N_RETRIES_ALLOWED:
        return []
    return [
        f"{n_late} retries reached runners later than {STABLE_WINDOW_S} s after the "
        f"third crash; {len(crashes)} crashes in all"
    ]


if __name__ == "__main__":
    run_case(__file__, play, n_services=4)
