"""Requests whose prompts have very many short parts.

No case, see REPORT-2.md. Run it with PYTHONPATH=review/6; TROUBLE=0 sends two parts.
"""

import asyncio
from collections import Counter

from stand_ins.crowd import list_ended, send_crowd, start_callers
from stand_ins.play import run_case
from stand_ins.site import Site
from stand_ins.wire import Answer

# 11 bytes each, so that the head stays below the 16,384 bytes that are allowed.
N_PARTS = 1400
N_REQUESTS = 1800
N_AT_ONCE = 12


async def play(site: Site, with_trouble: bool) -> list[str]:
    """Send the crowd until an entry host was ended or all requests are sent."""
    for runner in site.runners:
        runner.keeps_bodies = False
    statuses: list[int] = []
    callers = start_callers(site, statuses)

    async def send(number: int) -> Answer:
        first = number * N_PARTS
        parts = [f"{first + k:08x}:1" for k in range(N_PARTS)]
        if not with_trouble:
            parts = [f"5c1e07a2:{N_PARTS - 100}", f"{first:08x}:100"]
        fields = {
            "X-Model": "m",
            "X-Token-Usage": f"{N_PARTS},80",
            "X-Prompt-Prefix": ",".join(parts),
        }
        node = site.entries[number % len(site.entries)]
        return await site.request(node, "POST", "/desk/1", fields, b"hi")

    crowd = await send_crowd(
        N_REQUESTS, N_AT_ONCE, send, lambda: bool(list_ended(site))
    )
    await asyncio.sleep(3)
    for caller in callers:
        caller.cancel()
    site.record("crowd answered", statuses=dict(crowd))
    site.record("calls of ordinary callers", statuses=dict(Counter(statuses)))
    return list_ended(site)


if __name__ == "__main__":
    run_case(__file__, play)
