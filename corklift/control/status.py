"""The command `corklift control status`: prints the resource versions of each proxy, over CSDS."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from random import Random

from envoy.admin.v3 import config_dump_shared_pb2 as dump_pb2
from envoy.service.status.v3 import csds_pb2

from corklift.control.resources import KINDS_BY_TYPE_URL
from corklift.control.service import CSDS
from corklift.net.limits import Counters
from corklift.net.scheduler import Scheduler, wall_clock
from corklift.rpc.client import Channel
from corklift.rpc.core import SECOND, RpcError, RpcLimits


def fetch_status(
    address: tuple[str, int], node: str = "", timeout: int = 5 * SECOND
) -> csds_pb2.ClientStatusResponse:
    """Fetches the status of all proxies whose node id contains `node`.

    Raises:
        RpcError: the call failed.
    """
    failures: list[str] = []
    scheduler = Scheduler(wall_clock(), failures.append)
    limits = RpcLimits(initial_backoff=200_000_000, max_message_bytes=256 << 20)
    channel = Channel(scheduler, limits, Counters(), address, Random())
    request = csds_pb2.ClientStatusRequest(exclude_resource_contents=True)
    if node:
        request.node_matchers.add().node_id.contains = node
    results: list[csds_pb2.ClientStatusResponse | RpcError] = []

    def fetch() -> None:
        try:
            content = channel.unary(
                CSDS + "FetchClientStatus", request.SerializeToString(), scheduler.now() + timeout
            )
            response = csds_pb2.ClientStatusResponse()
            response.ParseFromString(content)
            results.append(response)
        except RpcError as error:
            results.append(error)
        finally:
            channel.close()
            scheduler.stop()

    scheduler.spawn(channel.connect_loop)
    scheduler.spawn(fetch)
    scheduler.run()
    if isinstance(results[0], RpcError):
        raise results[0]
    return results[0]


def status_rows(response: csds_pb2.ClientStatusResponse) -> Iterator[dict[str, str]]:
    """Yields one row for each resource to which a proxy's stream subscribes."""
    for config in response.config:
        for resource in config.generic_xds_configs:
            yield {
                "node": config.node.id,
                "stream": config.client_scope,
                "kind": KINDS_BY_TYPE_URL[resource.type_url].name.lower(),
                "name": resource.name,
                "version": resource.version_info,
                "state": dump_pb2.ClientResourceStatus.Name(resource.client_status).lower(),
                "view": csds_pb2.ConfigStatus.Name(resource.config_status).lower(),
                "refused": resource.error_state.details,
            }


def main(address: tuple[str, int], node: str, as_json: bool) -> int:
    try:
        response = fetch_status(address, node)
    except RpcError as error:
        print(f"corklift: {error}", file=sys.stderr)
        return 1
    rows = list(status_rows(response))
    if as_json:
        print(json.dumps(rows, indent=1))
        return 0
    outdated = sum(row["view"] != "synced" for row in rows)
    print(
        f"{len(response.config)} streams of proxies, {len(rows)} resources held, "
        f"{outdated} not on the view in force"
    )
    columns = ("node", "kind", "name", "version", "state", "view", "refused")
    widths = [max([len(column), *(len(row[column]) for row in rows)]) for column in columns]
    for line in (dict(zip(columns, columns)), *rows):
        print(
            "  ".join(line[column].ljust(width) for column, width in zip(columns, widths)).rstrip()
        )
    return 0
