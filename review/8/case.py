"""A bad client takes the id of another client's open connection, during an upgrade."""

from __future__ import annotations

import asyncio
import secrets
import signal
import socket

from play import TROUBLE, CannotRunError, Client, Play, play, workload

CLIENTS, BAD_CLIENTS = 12, 8


def line(name: str) -> str:
    return f"OPEN {name} {secrets.token_hex(8)} c=standard,d=3200,g={secrets.token_hex(8)}"


async def run(this: Play) -> list[str]:
    servers = await this.start_servers(4)
    discovery = await this.start_discovery(servers)
    with socket.create_server(("127.0.0.1", 0), backlog=1024) as listener:
        address = listener.getsockname()
        balancer = this.balancer(
            "n1", discovery, [workload("standard")], listen=f"127.0.0.1:{address[1]}"
        )
        await balancer.start("old", listener.fileno(), "shared")
        clients = [Client(this, address, secrets.token_hex(8)) for _ in range(CLIENTS)]
        for client in clients:
            answer = await client.ask(line(client.name), 3.2)
            if not (answer or "").startswith("UP"):
                raise CannotRunError(f"a client was not served: {answer}")
        holders = [asyncio.create_task(client.keep()) for client in clients]
        await asyncio.sleep(1)
        old = balancer.process
        if TROUBLE:
            await balancer.start("new", listener.fileno(), "shared")
            # The platform sends SIGTERM after the yes.
            this.record.write("balancer old: SIGTERM")
            old.send_signal(signal.SIGTERM)
        breaks = []
        for number in range(BAD_CLIENTS):
            open_clients = [client for client in clients if client.ended_at is None]
            if not open_clients:
                break
            victim = open_clients[-1 - number % len(open_clients)]
            bad = Client(this, address, f"bad-{number}")
            answer = await bad.ask(line(victim.name), 3)
            if (answer or "").startswith("UP") and victim.ended_at is None:
                await asyncio.sleep(0.02)
                if victim.ended_at is None:
                    breaks.append(
                        f"bad client {number} sent the id of the open connection {victim.name} "
                        f"and was served: {answer}"
                    )
            bad.close()
            await asyncio.sleep(0.1)
        if TROUBLE:
            await asyncio.wait_for(old.wait(), 6)
        for holder in holders:
            holder.cancel()
        return breaks


play(__file__, run)
