"""The gRPC services of the control service: ADS in both xDS variants, LRS and CSDS.

Each handler is a loop over one stream. Which resources are sent is decided by the subscriptions,
and weights by the decision module. A slow proxy must never delay another one.
"""

from __future__ import annotations

from collections.abc import Callable

from envoy.admin.v3 import config_dump_shared_pb2 as dump_pb2
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.status.v3 import csds_pb2

from corklift.control import resources
from corklift.control.resources import DROP_CATEGORY, TYPE_URLS, InvalidRequestError
from corklift.control.subscriptions import (
    ResourceStatus,
    Response,
    SubscriptionManager,
    TooManyNamesError,
)
from corklift.net.limits import Counters
from corklift.net.scheduler import Scheduler
from corklift.rpc.connection import RpcCall
from corklift.rpc.core import Code, RpcError
from corklift.rpc.server import Handler

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
CSDS = "/envoy.service.status.v3.ClientStatusDiscoveryService/"
STREAMS_PER_STATUS_BATCH = 25  # after which a status request lets other tasks run
MAX_REPORTED_SERVERS = 5_000  # in one load report
MAX_REPORTED_LOGINS = 1_000_000  # on one server in one load report; a larger count is ignored
CLIENT_STATUSES = {
    "accepted": dump_pb2.ACKED,
    "refused": dump_pb2.NACKED,
    "sent": dump_pb2.REQUESTED,
    "missing": dump_pb2.DOES_NOT_EXIST,
}


class XdsService:
    """Serves the streams of all proxies; the host of the subscriptions."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        make_subscriptions: Callable[[XdsService], SubscriptionManager],
        record_placements: Callable[[str, str, int, int], None],
        record_rejections: Callable[[str, int], None],
        log: Callable[..., None],
        *,
        ttl: int,
        report_interval: int,
    ) -> None:
        self._scheduler, self._counters, self._log, self._record_placements = (
            scheduler,
            counters,
            log,
            record_placements,
        )
        self._record_rejections = record_rejections
        self.ttl, self.report_interval = ttl, report_interval
        self.subscriptions = make_subscriptions(self)
        self._calls: dict[int, RpcCall] = {}
        self._next_stream = 1
        self.report_streams = 0  # open streams of load reports
        self.stopping = False

    def handlers(self) -> dict[str, Handler]:
        return {
            ADS + "StreamAggregatedResources": lambda call: self._serve_ads(call, False),
            ADS + "DeltaAggregatedResources": lambda call: self._serve_ads(call, True),
            LRS: self._serve_load_reports,
            CSDS + "StreamClientStatus": self._stream_status,
            CSDS + "FetchClientStatus": self._fetch_status,
        }

    # Host of the subscriptions

    def send(self, stream: int, response: Response) -> None:
        call = self._calls.get(stream)
        if call is None or call.ended:
            return
        self._counters[f"responses of {response.kind.name.lower()}"] += 1
        content = resources.encode_response(
            response, self.subscriptions.streams[stream].incremental, self.ttl
        )
        self._counters["response bytes"] += len(content)
        try:
            call.send_nowait(content)
        except RpcError:
            self._counters["responses that had no room"] += 1

    # ADS

    def _serve_ads(self, call: RpcCall, incremental: bool) -> None:
        number, subscriptions = self._next_stream, self.subscriptions
        self._next_stream += 1
        self._calls[number] = call
        subscriptions.open_stream(self._scheduler.now(), number, incremental)
        self._counters["proxy streams"] += 1
        try:
            while not self.stopping:
                message = call.receive_nowait()
                if message is not None:
                    self._handle_request(number, message, incremental)
                elif call.fully_read:
                    return
                elif not call.pending_bytes and not subscriptions.streams[number].writable:
                    subscriptions.stream_writable(self._scheduler.now(), number)
                else:
                    call.wait()
            raise RpcError(Code.UNAVAILABLE, "this control service goes away")
        except (InvalidRequestError, TooManyNamesError) as error:
            self._counters["bad requests of proxies"] += 1
            self._log(
                "request refused",
                peer=call.peer,
                node=subscriptions.streams[number].node,
                reason=str(error),
            )
            code = (
                Code.INVALID_ARGUMENT
                if isinstance(error, InvalidRequestError)
                else Code.RESOURCE_EXHAUSTED
            )
            raise RpcError(code, str(error)) from None
        finally:
            subscriptions.close_stream(number)
            del self._calls[number]

    def _handle_request(self, number: int, message: bytes, incremental: bool) -> None:
        request, now = resources.decode_request(message, incremental), self._scheduler.now()
        stream = self.subscriptions.streams[number]
        if request.node and not stream.node:
            self.subscriptions.set_node(number, request.node)
        if request.error is not None:
            self._counters["refusals of proxies"] += 1
            self._log(
                "a proxy refuses what it was sent",
                node=stream.node,
                kind=request.kind.name.lower(),
                reason=request.error,
            )
        if incremental:
            self.subscriptions.handle_delta_request(
                now,
                number,
                request.kind,
                request.subscribe,
                request.unsubscribe,
                request.initial_versions,
                request.nonce,
                request.error,
            )
        else:
            self.subscriptions.handle_request(
                now,
                number,
                request.kind,
                request.names,
                request.version,
                request.nonce,
                request.error,
            )

    # LRS

    def _serve_load_reports(self, call: RpcCall) -> None:
        self._counters["load report streams"] += 1
        self.report_streams += 1
        answered = False
        try:
            while not self.stopping:
                message = call.receive()
                if message is None:
                    return
                request = lrs_pb2.LoadStatsRequest()
                resources.parse_message(request, message)
                if not answered:
                    answered = True
                    answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True)
                    answer.load_reporting_interval.FromNanoseconds(self.report_interval)
                    call.send_nowait(answer.SerializeToString())
                if (
                    sum(len(stats.upstream_locality_stats) for stats in request.cluster_stats)
                    > MAX_REPORTED_SERVERS
                ):
                    raise InvalidRequestError(
                        f"a report of more than {MAX_REPORTED_SERVERS} servers"
                    )
                for stats in request.cluster_stats:
                    self._record_report(stats)
            raise RpcError(Code.UNAVAILABLE, "this control service goes away")
        except InvalidRequestError as error:
            self._counters["bad requests of proxies"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from None
        finally:
            self.report_streams -= 1

    def _record_report(self, stats: load_report_pb2.ClusterStats) -> None:
        """Records the logins placed since the last report; a locality's sub-zone is the server."""
        self._counters["load reports"] += 1
        for drops in stats.dropped_requests:
            if drops.category == DROP_CATEGORY:
                rejected = min(drops.dropped_count, MAX_REPORTED_LOGINS)
                self._counters["logins turned away by proxies"] += rejected
                self._record_rejections(stats.cluster_name, rejected)
        for locality in stats.upstream_locality_stats:
            issued, failed = locality.total_issued_requests, locality.total_error_requests
            if locality.locality.sub_zone and issued <= MAX_REPORTED_LOGINS:
                self._counters["logins placed by proxies"] += issued
                self._record_placements(
                    stats.cluster_name, locality.locality.sub_zone, issued, min(failed, issued)
                )

    # CSDS

    def _fetch_status(self, call: RpcCall) -> None:
        message = call.receive()
        if message is None:
            raise RpcError(Code.INVALID_ARGUMENT, "no request came")
        call.send_nowait(self._status(message))

    def _stream_status(self, call: RpcCall) -> None:
        while (message := call.receive()) is not None:
            call.send(self._status(message))

    def _status(self, content: bytes) -> bytes:
        request = csds_pb2.ClientStatusRequest()
        try:
            resources.parse_message(request, content)
        except InvalidRequestError as error:
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from None
        matchers = [matcher.node_id for matcher in request.node_matchers]
        if any(
            not matcher.exact and not matcher.prefix and not matcher.suffix and not matcher.contains
            for matcher in matchers
        ):
            raise RpcError(
                Code.UNIMPLEMENTED, "nodes are matched by exact, prefix, suffix or contains"
            )
        answer = csds_pb2.ClientStatusResponse()
        for index, stream in enumerate(
            sorted(
                self.subscriptions.streams.values(),
                key=lambda stream: (stream.node, stream.number),
            )
        ):
            if index % STREAMS_PER_STATUS_BATCH == STREAMS_PER_STATUS_BATCH - 1:
                # Lets other tasks run: the drain of a server may be waiting.
                self._scheduler.wait({}, self._scheduler.now())
            if stream.number not in self.subscriptions.streams:
                continue
            if matchers and not any(_node_matches(matcher, stream.node) for matcher in matchers):
                continue
            config = answer.config.add()
            config.node.id = stream.node
            call = self._calls.get(stream.number)
            config.client_scope = (
                f"{'incremental' if stream.incremental else 'state of the world'}, stream "
                f"{stream.number} from {call.peer if call else '?'}"
            )
            for status in self.subscriptions.resource_statuses(stream.number):
                self._fill_status(
                    config.generic_xds_configs.add(),
                    status,
                    request.exclude_resource_contents,
                    stream.number,
                )
        return bytes(answer.SerializeToString())

    def _fill_status(
        self,
        config: csds_pb2.ClientConfig.GenericXdsConfig,
        status: ResourceStatus,
        exclude_contents: bool,
        number: int,
    ) -> None:
        config.type_url, config.name, config.version_info = (
            TYPE_URLS[status.kind],
            status.name,
            status.accepted,
        )
        subscription = self.subscriptions.streams[number].subscriptions[status.kind]
        rejected = status.last_nack is not None and status.accepted != status.current
        if not status.exists and not status.accepted:
            config.client_status = CLIENT_STATUSES["missing"]
        elif rejected:
            config.client_status = CLIENT_STATUSES["refused"]
        else:
            config.client_status = CLIENT_STATUSES[
                "accepted" if status.accepted and status.accepted == status.sent else "sent"
            ]
        if rejected:
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
        if accepted is not None and not exclude_contents:
            config.xds_config.type_url, config.xds_config.value = (
                TYPE_URLS[status.kind],
                accepted.body,
            )


def _node_matches(matcher: object, node: str) -> bool:
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
