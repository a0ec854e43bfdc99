"""Case 1: bad clients that state a huge load, and come again as soon as they are turned away."""

from __future__ import annotations

import asyncio
import multiprocessing
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

MEMORY_MB = 64
BAD_CLIENTS = 4
SECONDS = 75
HUGE = "1e308"


def bad_client(number: int, port: int, sent, errors, closes) -> None:
    """Connects, sends one line, reads until it is turned away, and does the same again."""
    count = 0
    until = time.monotonic() + SECONDS + 10
    while time.monotonic() < until:
        count += 1
        try:
            with socket.create_connection(("127.0.0.1", port), 3) as client:
                line = (
                    f"OPEN b{number}-{count:x} 7f3a9c21e0b4d655 c=standard,d=2000,g=5c0f,h={HUGE}"
                )
                client.sendall(line.encode() + b"\r\n")
                sent.value += 1
                answer = client.recv(4096)
                (errors if answer else closes).value += 1
        except OSError:
            time.sleep(0.01)


async def case(record, folder, trouble, started) -> int:
    servers = [s.Server(record, f"s-{number:08x}") for number in (0x5BE2A07C, 0x1F, 0x2E, 0x3D)]
    discovery = s.Discovery(record)
    await discovery.start()
    for server in servers:
        await server.start()
        discovery.put(server.name, server.port)
    port, admin = s.free_port(), s.free_port()
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "admin_addr": f"127.0.0.1:{admin}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "known": discovery.listing(),
        "settings": s.settings([s.STANDARD]),
    }
    balancer = s.Balancer(record, folder, config, "n1")
    started.append(balancer)
    await s.wait_ready(port)
    clients = s.Clients(record, port)
    load = asyncio.create_task(clients.load(SECONDS, 4, "standard", 3200, 6))
    counts = [
        [multiprocessing.Value("q", 0, lock=False) for _ in range(3)] for _ in range(BAD_CLIENTS)
    ]
    bad = [
        multiprocessing.Process(target=bad_client, args=(number, port, *counts[number]))
        for number in range(BAD_CLIENTS)
    ]
    await asyncio.sleep(5)
    killed = False
    try:
        if trouble:
            record.write(
                f"{BAD_CLIENTS} bad clients begin: OPEN ... c=standard,d=2000,...,h={HUGE}"
            )
            for process in bad:
                process.start()
        at = record.now()
        while not load.done() and balancer.process.poll() is None:
            memory = balancer.memory_mb()
            if memory > MEMORY_MB:
                # "Over `memory_mb` the balancer is killed."
                record.write(f"platform: {memory:.0f} MB, over memory_mb = {MEMORY_MB}")
                balancer.signal(s.signal.SIGKILL)
                balancer.process.wait()
                killed = True
                break
            if record.now() >= at:
                at += 5
                sent, errors, closes = (sum(c[k].value for c in counts) for k in range(3))
                record.write(
                    f"memory {memory:.0f} MB; bad lines sent {sent}, "
                    f"answered with an error {errors}, closed {closes}"
                )
            await asyncio.sleep(0.1)
    finally:
        for process in bad:
            if process.is_alive():
                process.terminate()
                process.join()
    if not killed:
        await load
    alive = balancer.process.poll() is None
    cut = len(clients.open)
    await clients.finish(12)
    sent, errors, closes = (sum(c[k].value for c in counts) for k in range(3))
    record.write(f"bad lines: {sent}; answered with an error {errors}, closed {closes}")
    record.write(f"logins of usual clients: {len(clients.logins)}, lost: {len(clients.late())}")
    if not alive:
        record.write(f"the balancer crashed; connections of usual clients open then: {cut}")
    return 0 if alive and not clients.late() else 1


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).resolve().parent, case))
