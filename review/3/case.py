"""Case 3: a planned restart of a balancer whose listening socket the platform holds."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

WORKLOADS = [
    {"name": "subestacion", "soft-limit-ns": 300 * s.MS, "time-limit-ns": 1200 * s.MS},
    {"name": "medidor", "soft-limit-ns": 500 * s.MS, "time-limit-ns": 2000 * s.MS},
]


async def case(record, folder, trouble, started) -> int:
    servers = [s.Server(record, f"s-{number:08x}") for number in (0x5BE2A07C, 0x1F, 0x2E, 0x3D)]
    discovery = s.Discovery(record)
    await discovery.start()
    for server in servers:
        await server.start()
        discovery.put(server.name, server.port)
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    port = listener.getsockname()[1]
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.listing(),
        "settings": s.settings(WORKLOADS),
    }

    def start(name):
        admin = s.free_port()
        balancer = s.Balancer(
            record,
            folder,
            config,
            name,
            BALANCER_LISTEN_FD=str(listener.fileno()),
            BALANCER_ADMIN_ADDR=f"127.0.0.1:{admin}",
        )
        started.append(balancer)
        return balancer

    old = start("process-1")
    await s.wait_ready(port)
    clients = s.Clients(record, port)
    for workload, wait in (("subestacion", 1200), ("medidor", 2000)) * 10:
        clients.spawn(workload, wait, 15, returns=False)  # moved: the front sends it elsewhere
    await asyncio.sleep(3)
    restart_at = record.now()
    if trouble:
        old.signal(signal.SIGTERM)
    # New connections go on coming for 0.4 s.
    await clients.load(0.4, 20, "subestacion", 1200, 5)
    if trouble:
        while old.process.poll() is None:
            if record.now() - restart_at > 2.7:
                old.signal(signal.SIGKILL)
            await asyncio.sleep(0.01)
        record.write(f"platform: process-1 ended {record.now() - restart_at:.3f} s after SIGTERM")
        start("process-2")
    await clients.finish(30)
    listener.close()
    late = [login for login in clients.late() if login.sent_at >= restart_at]
    record.write(f"logins: {len(clients.logins)}")
    record.write(f"logins lost (no answer until 0.5 s after their time): {len(late)}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).resolve().parent, case))
