"""`corklift control status`: asks a control service over CSDS which proxy has which view, and prints it.

Owns one call. Must never change anything at the service.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from random import Random

from envoy.admin.v3 import config_dump_shared_pb2 as dump_pb2
from envoy.service.status.v3 import csds_pb2

from corklift.control.resources import KINDS
from corklift.control.service import CSDS
from corklift.net.limits import Counters
from corklift.net.scheduler import Scheduler, wall_clock
from corklift.rpc.client import Channel
from corklift.rpc.core import SECOND, RpcError, RpcLimits


def fetch(
    address: tuple[str, int], node: str = "", wait: int = 5 * SECOND
) -> csds_pb2.ClientStatusResponse:
    """Raises:
    RpcError: the service can't be asked.
    """
    failures: list[str] = []
    scheduler = Scheduler(wall_clock(), failures.append)
    limits = RpcLimits(back_off=200_000_000, message=256 << 20)
    channel = Channel(scheduler, limits, Counters(), address, Random())
    request = csds_pb2.ClientStatusRequest(exclude_resource_contents=True)
    if node:
        request.node_matchers.add().node_id.contains = node
    found: list[csds_pb2.ClientStatusResponse | RpcError] = []

    def ask() -> None:
        try:
            content = channel.unary(
                CSDS + "FetchClientStatus", request.SerializeToString(), scheduler.now() + wait
            )
            answer = csds_pb2.ClientStatusResponse()
            answer.ParseFromString(content)
            found.append(answer)
        except RpcError as problem:
            found.append(problem)
        finally:
            channel.close()
            scheduler.stop()

    scheduler.spawn(channel.keep_connected)
    scheduler.spawn(ask)
    scheduler.run()
    if isinstance(found[0], RpcError):
        raise found[0]
    return found[0]


def rows(answer: csds_pb2.ClientStatusResponse) -> Iterator[dict[str, str]]:
    """One a resource that a proxy's stream asks for."""
    for config in answer.config:
        for held in config.generic_xds_configs:
            yield {
                "node": config.node.id,
                "stream": config.client_scope,
                "kind": KINDS[held.type_url].name.lower(),
                "name": held.name,
                "version": held.version_info,
                "state": dump_pb2.ClientResourceStatus.Name(held.client_status).lower(),
                "view": csds_pb2.ConfigStatus.Name(held.config_status).lower(),
                "refused": held.error_state.details,
            }


def main(address: tuple[str, int], node: str, as_json: bool) -> int:
    try:
        answer = fetch(address, node)
    except RpcError as problem:
        print(f"corklift: {problem}", file=sys.stderr)
        return 1
    found = list(rows(answer))
    if as_json:
        print(json.dumps(found, indent=1))
        return 0
    old = sum(row["view"] != "synced" for row in found)
    print(
        f"{len(answer.config)} streams of proxies, {len(found)} resources held, {old} not on the view in force"
    )
    heads = ("node", "kind", "name", "version", "state", "view", "refused")
    widths = [max([len(head), *(len(row[head]) for row in found)]) for head in heads]
    for line in (dict(zip(heads, heads)), *found):
        print("  ".join(line[head].ljust(width) for head, width in zip(heads, widths)).rstrip())
    return 0
