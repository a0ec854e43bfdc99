"""Answers of discovery come in two pieces: each drain is known only after its grace."""

from __future__ import annotations

import asyncio
import secrets
import time

from play import TROUBLE, Client, Play, play, workload

# The pause between the two pieces: half of the grace.
PAUSE = 0.25
# The grace of the settings, and what the rules add to each time limit on sockets.
GRACE, SLACK = 0.5, 0.05
LOGINS_PER_SECOND, RESTARTS = 12, 14


async def run(this: Play) -> list[str]:
    servers = await this.start_servers(5)
    discovery = await this.start_discovery(servers)
    balancer = this.balancer("n1", discovery, [workload("standard")])
    await balancer.start("n1")
    address, stopped = (balancer.host, balancer.port), asyncio.Event()

    async def login() -> None:
        client = Client(this, address, secrets.token_hex(8))
        await client.ask(
            f"OPEN {client.name} {secrets.token_hex(8)} c=standard,d=3200,g=5c0f6e1a", 3.7
        )
        await asyncio.sleep(1)
        client.close()

    async def clients() -> None:
        tasks = []
        while not stopped.is_set():
            tasks.append(asyncio.create_task(login()))
            await asyncio.sleep(1 / LOGINS_PER_SECOND)
        await asyncio.gather(*tasks)

    traffic = asyncio.create_task(clients())
    await asyncio.sleep(2)
    if TROUBLE:
        discovery.pause = PAUSE
        this.record.write(f"answers of discovery come in two pieces, {PAUSE} s apart")
        await asyncio.sleep(4)
    breaks = []
    for number in range(RESTARTS):
        server = servers[number % len(servers)]

        async def turn_away(name: str, text: str) -> str:
            return "BUSY"

        server.answer, count = turn_away, len(server.taken)
        discovery.put(server.entry("leaving"))
        told_at = this.record.now()
        await asyncio.sleep(2.5)
        breaks += [
            f"{server.name}, whose drain discovery had at {told_at:.3f}, got {name} at {at:.3f}, "
            f"{at - told_at:.3f} s later"
            for at, name, _ in server.taken[count:]
            if at > told_at + GRACE + SLACK
        ]
        server.answer = None
        discovery.put(server.entry("active", since_ms=time.time_ns() // 1_000_000))
        await asyncio.sleep(2.5)
    stopped.set()
    await traffic
    return breaks


play(__file__, run)
