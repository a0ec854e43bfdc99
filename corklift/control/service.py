"""The control service's three calls: ADS in both variants, LRS and CSDS, each a loop over one stream.

Owns the streams and what is asked of them by the views. Must never decide who is owed what (the views do), weigh a
server (the decision module does), or let one proxy's slowness hold up another.
"""

from __future__ import annotations

from collections.abc import Callable

from envoy.admin.v3 import config_dump_shared_pb2 as dump_pb2
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.status.v3 import csds_pb2

from corklift.control import resources
from corklift.control.resources import REFUSED, TYPES, BadRequest
from corklift.control.subscriptions import (
    ResourceKind,
    ResourceStatus,
    Response,
    SubscriptionManager,
    TooManyNamesError,
)
from corklift.net.limits import Counters
from corklift.net.scheduler import Scheduler
from corklift.rpc.core import Code, RpcError
from corklift.rpc.link import LiveCall
from corklift.rpc.server import Handler

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
CSDS = "/envoy.service.status.v3.ClientStatusDiscoveryService/"
STATUS_TURN = 25  # proxies looked at in one go
MOST_COUNTED = 5_000  # servers in one report
MOST_PLACED = 1_000_000  # logins on one server in one report: more is no count
STATES = {
    "accepted": dump_pb2.ACKED,
    "refused": dump_pb2.NACKED,
    "sent": dump_pb2.REQUESTED,
    "missing": dump_pb2.DOES_NOT_EXIST,
}


class Service:
    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        make_subscriptions: Callable[[Service], SubscriptionManager],
        placed: Callable[[str, str, int, int], None],
        log: Callable[..., None],
        *,
        ttl: int,
        report_every: int,
    ) -> None:
        self._scheduler, self._counters, self._log, self._placed = scheduler, counters, log, placed
        self.ttl, self.report_every = ttl, report_every
        self.subscriptions = make_subscriptions(self)
        self._calls: dict[int, LiveCall] = {}
        self._next = 1
        self.reporting = 0  # streams of load reports
        self.leaving = False

    def handlers(self) -> dict[str, Handler]:
        return {
            ADS + "StreamAggregatedResources": lambda call: self._follow(call, False),
            ADS + "DeltaAggregatedResources": lambda call: self._follow(call, True),
            LRS: self._take_reports,
            CSDS + "StreamClientStatus": self._stream_status,
            CSDS + "FetchClientStatus": self._fetch_status,
        }

    # What the views call

    def send(self, stream: int, response: Response) -> None:
        call = self._calls.get(stream)
        if call is None or call.ended:
            return
        self._counters[f"responses of {response.kind.name.lower()}"] += 1
        content = resources.response(
            response, self.subscriptions.streams[stream].incremental, self.ttl
        )
        self._counters["response bytes"] += len(content)
        try:
            call.post(content)
        except RpcError:
            self._counters["responses that had no room"] += 1

    # ADS

    def _follow(self, call: LiveCall, incremental: bool) -> None:
        number, subscriptions = self._next, self.subscriptions
        self._next += 1
        self._calls[number] = call
        subscriptions.open_stream(self._scheduler.now(), number, incremental)
        self._counters["proxy streams"] += 1
        try:
            while not self.leaving:
                message = call.ready()
                if message is not None:
                    self._requested(number, message, incremental)
                elif call.done:
                    return
                elif not call.pending and not subscriptions.streams[number].writable:
                    subscriptions.stream_writable(self._scheduler.now(), number)
                else:
                    call.wait()
            raise RpcError(Code.UNAVAILABLE, "this control service goes away")
        except (BadRequest, TooManyNamesError) as problem:
            self._counters["bad requests of proxies"] += 1
            self._log(
                "request refused",
                peer=call.peer,
                node=subscriptions.streams[number].node,
                reason=str(problem),
            )
            code = (
                Code.INVALID_ARGUMENT
                if isinstance(problem, BadRequest)
                else Code.RESOURCE_EXHAUSTED
            )
            raise RpcError(code, str(problem)) from None
        finally:
            subscriptions.close_stream(number)
            del self._calls[number]

    def _requested(self, number: int, message: bytes, incremental: bool) -> None:
        request, now = resources.request(message, incremental), self._scheduler.now()
        stream = self.subscriptions.streams[number]
        if request.node and not stream.node:
            self.subscriptions.set_node(number, request.node)
        if request.problem is not None:
            self._counters["refusals of proxies"] += 1
            self._log(
                "a proxy refuses what it was sent",
                node=stream.node,
                kind=request.kind.name.lower(),
                reason=request.problem,
            )
        if incremental:
            self.subscriptions.handle_delta_request(
                now,
                number,
                request.kind,
                request.subscribe,
                request.unsubscribe,
                request.had,
                request.nonce,
                request.problem,
            )
        else:
            self.subscriptions.handle_request(
                now,
                number,
                request.kind,
                request.names,
                request.version,
                request.nonce,
                request.problem,
            )

    # LRS

    def _take_reports(self, call: LiveCall) -> None:
        self._counters["load report streams"] += 1
        self.reporting += 1
        told = False
        try:
            while not self.leaving:
                message = call.receive()
                if message is None:
                    return
                request = lrs_pb2.LoadStatsRequest()
                resources.parsed(request, message)
                if not told:
                    told = True
                    answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True)
                    answer.load_reporting_interval.FromNanoseconds(self.report_every)
                    call.post(answer.SerializeToString())
                if (
                    sum(len(stats.upstream_locality_stats) for stats in request.cluster_stats)
                    > MOST_COUNTED
                ):
                    raise BadRequest(f"a report of more than {MOST_COUNTED} servers")
                for stats in request.cluster_stats:
                    self._take_report(stats)
            raise RpcError(Code.UNAVAILABLE, "this control service goes away")
        except BadRequest as problem:
            self._counters["bad requests of proxies"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        finally:
            self.reporting -= 1

    def _take_report(self, stats: load_report_pb2.ClusterStats) -> None:
        """What a proxy has placed on each server since its last report. A locality is a server, by its name."""
        self._counters["load reports"] += 1
        for drops in stats.dropped_requests:
            if drops.category == REFUSED:
                self._counters["logins turned away by proxies"] += min(
                    drops.dropped_count, MOST_PLACED
                )
        for locality in stats.upstream_locality_stats:
            issued, failed = locality.total_issued_requests, locality.total_error_requests
            if locality.locality.sub_zone and issued <= MOST_PLACED:
                self._counters["logins placed by proxies"] += issued
                self._placed(
                    stats.cluster_name, locality.locality.sub_zone, issued, min(failed, issued)
                )

    # CSDS

    def _fetch_status(self, call: LiveCall) -> None:
        message = call.receive()
        if message is None:
            raise RpcError(Code.INVALID_ARGUMENT, "no request came")
        call.post(self._status(message))

    def _stream_status(self, call: LiveCall) -> None:
        while (message := call.receive()) is not None:
            call.send(self._status(message))

    def _status(self, content: bytes) -> bytes:
        request = csds_pb2.ClientStatusRequest()
        try:
            resources.parsed(request, content)
        except BadRequest as problem:
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        wanted = [matcher.node_id for matcher in request.node_matchers]
        if any(
            not matcher.exact and not matcher.prefix and not matcher.suffix and not matcher.contains
            for matcher in wanted
        ):
            raise RpcError(
                Code.UNIMPLEMENTED, "nodes are matched by exact, prefix, suffix or contains"
            )
        answer = csds_pb2.ClientStatusResponse()
        for at, stream in enumerate(
            sorted(
                self.subscriptions.streams.values(), key=lambda stream: (stream.node, stream.number)
            )
        ):
            if at % STATUS_TURN == STATUS_TURN - 1:
                self._scheduler.wait({}, self._scheduler.now())  # a drain may be waiting
            if stream.number not in self.subscriptions.streams:
                continue
            if wanted and not any(_matches(matcher, stream.node) for matcher in wanted):
                continue
            config = answer.config.add()
            config.node.id = stream.node
            call = self._calls.get(stream.number)
            config.client_scope = (
                f"{'incremental' if stream.incremental else 'state of the world'}, stream "
                f"{stream.number} from {call.peer if call else '?'}"
            )
            for status in self.subscriptions.resource_statuses(stream.number):
                self._fill(
                    config.generic_xds_configs.add(),
                    status,
                    request.exclude_resource_contents,
                    stream.number,
                )
        return bytes(answer.SerializeToString())

    def _fill(
        self,
        config: csds_pb2.ClientConfig.GenericXdsConfig,
        status: ResourceStatus,
        bare: bool,
        number: int,
    ) -> None:
        config.type_url, config.name, config.version_info = (
            TYPES[status.kind],
            status.name,
            status.accepted,
        )
        subscription = self.subscriptions.streams[number].subscriptions[status.kind]
        refused = status.last_nack is not None and status.accepted != status.current
        if not status.exists and not status.accepted:
            config.client_status = STATES["missing"]
        elif refused:
            config.client_status = STATES["refused"]
        else:
            config.client_status = STATES[
                "accepted" if status.accepted and status.accepted == status.sent else "sent"
            ]
        if refused:
            config.config_status = csds_pb2.ERROR
        elif status.accepted == status.current:
            config.config_status = csds_pb2.SYNCED
        else:
            config.config_status = csds_pb2.STALE if subscription.initialized else csds_pb2.NOT_SENT
        if status.last_nack is not None:
            config.error_state.details = status.last_nack.reason
            config.error_state.version_info = status.last_nack.version
            config.error_state.last_update_attempt.FromNanoseconds(status.last_nack.at)
        if subscription.sent_at:
            config.last_updated.FromNanoseconds(subscription.sent_at)
        accepted = subscription.accepted.get(status.name)
        if accepted is not None and not bare:
            config.xds_config.type_url, config.xds_config.value = TYPES[status.kind], accepted.body


def _matches(matcher: object, node: str) -> bool:
    exact, prefix, suffix, contains = (
        getattr(matcher, name) for name in ("exact", "prefix", "suffix", "contains")
    )
    if exact:
        return bool(node == exact)
    return bool(
        (prefix and node.startswith(prefix))
        or (suffix and node.endswith(suffix))
        or (contains and contains in node)
    )
