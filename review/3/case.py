"""Case 3: a server drains after another one has left whose name has the same number."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

GRACE = 0.5  # rules.drain-grace-ns of the settings


async def case(record, folder, trouble, started) -> int:
    # Servers are numbered in each data centre.
    names = ["atlanta-20260001", "nashville-20260001", "atlanta-20260002", "nashville-20260002"]
    second = names[1]
    servers = {name: s.Server(record, name) for name in names}
    discovery = s.Discovery(record)
    await discovery.start()
    for name, server in servers.items():
        await server.start()
        discovery.put(name, server.port, zone=name.partition("-")[0])
    port, admin = s.free_port(), s.free_port()
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "admin_addr": f"127.0.0.1:{admin}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.listing(),
        "settings": s.settings([s.STANDARD]),
    }
    started.append(s.Balancer(record, folder, config, "n1"))
    await s.wait_ready(port)
    clients = s.Clients(record, port)
    load = asyncio.create_task(clients.load(22, 5, "standard", 3200, 3))
    await asyncio.sleep(4)
    if trouble:
        # The first server is taken away: it drains, its clients go, and it leaves.
        discovery.set_status(names[0], "leaving")
        servers[names[0]].send_clients_away()
    await asyncio.sleep(4)
    if trouble:
        discovery.set_status(names[0], "left")
    await asyncio.sleep(4)
    # The second one drains.
    discovery.set_status(second, "leaving")
    told_index = discovery.index
    servers[second].send_clients_away()
    await load
    await clients.finish(10)
    told = next((at for at, index in discovery.told if index >= told_index), None)
    if told is None:
        record.write("the balancer never asked for the change")
        return 2
    after = [at for at, _ in servers[second].opens if at > told + GRACE]
    record.write(f"{second}: told as leaving at {told:.3f}")
    record.write(f"new connections sent to it later than {GRACE} s after that: {len(after)}")
    status, text = await s.admin_call(admin, "POST", "/admin/cordon", f'{{"member":"{second}"}}')
    record.write(f"cordon of {second}: {status} {text.strip()}")
    return 1 if after else 0


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).resolve().parent, case))
