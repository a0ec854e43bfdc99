"""What the control service's status tells of a proxy, step by step of the proxy's answers."""

import queue

import grpc
import pytest
from envoy.service.discovery.v3 import discovery_pb2
from fleet import Fleet
from loop import wait_for

from corklift.control.service import ADS
from corklift.control.status import fetch_status, status_rows
from corklift.standins.proxy import EDS


class ScriptedProxy:
    """A proxy of one stream for endpoints; each of its messages is sent when the test says so."""

    def __init__(self, channel, node):
        self.node, self._requests = node, queue.Queue()
        self._call = channel.stream_stream(
            ADS + "StreamAggregatedResources",
            request_serializer=lambda request: request.SerializeToString(),
            response_deserializer=discovery_pb2.DiscoveryResponse.FromString,
        )(iter(self._requests.get, None), timeout=30)

    def request(self, answered=None, error=""):
        """Asks for the endpoints, or answers a response: an ACK, or with an error a NACK."""
        message = discovery_pb2.DiscoveryRequest(type_url=EDS, resource_names=["plain"])
        message.node.id = self.node
        if answered is not None:
            message.response_nonce = answered.nonce
            message.version_info = "" if error else answered.version_info
        if error:
            message.error_detail.code, message.error_detail.message = 3, error
        self._requests.put(message)

    def receive(self):
        return next(self._call)

    def close(self):
        self._requests.put(None)
        self._call.cancel()


@pytest.mark.parametrize("accepts", [True, False])
def test_a_proxy_is_synced_once_its_ack_has_come_and_not_before(accepts):
    with Fleet() as fleet:
        fleet.list_all()
        # Without a second response, which would be answered apart.
        service = fleet.service("", "[weights]\nevery_ms = 60000\ndead_band = 1.0")
        wait_for(lambda: service.program.subscriptions.has_snapshot)

        def status():
            answer = fetch_status(("127.0.0.1", service.port), node="scripted")
            return [(row["view"], row["state"], row["version"]) for row in status_rows(answer)]

        with grpc.insecure_channel(f"127.0.0.1:{service.port}") as channel:
            proxy = ScriptedProxy(channel, "scripted")
            proxy.request()
            response = proxy.receive()
            # The proxy has the response; the service doesn't know that yet.
            for _ in range(3):
                assert status() == [("stale", "requested", "")]
            proxy.request(answered=response, error="" if accepts else "odd")
            wait_for(lambda: status() != [("stale", "requested", "")])
            (resource,) = response.resources
            current = service.program.subscriptions.current_resources(1)["plain"]
            assert resource.value == current.body
            assert status() == (
                [("synced", "acked", current.version)] if accepts else [("error", "nacked", "")]
            )
            proxy.close()
