"""Polling of the load reports of the engines that a dispatcher keeps."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Final

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from guavamast.fleet_objects import EndpointKind
from guavamast.log import get_logger
from guavamast.slots import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.keeper_host import KeeperHost

POLL_INTERVAL_S: Final = 1.0
TIMEOUT_S: Final = 2.0


class LoadPoller:
    """Polls ``GET /load`` of each kept engine once an interval.

    Args:
        host: The host of the keepers.
        get_configuration: Returns the current configuration.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        host: KeeperHost,
        get_configuration: Callable[[], Configuration],
        clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._get_configuration = get_configuration
        self._clock = clock
        self._extra_polls: set[asyncio.Task[None]] = set()
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=1000)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            endpoints = self._get_configuration().endpoints
            kept = [endpoints.get(name) for name in self._host.list_kept()]
            engines = [item for item in kept if item and item.kind is EndpointKind.ENGINE]
            await asyncio.gather(*(self._poll(engine) for engine in engines))
            await asyncio.sleep(POLL_INTERVAL_S)

    def poll_now(self, name: str) -> None:
        """Poll one engine now; after a failure, the next regular poll tries again."""
        endpoint = self._get_configuration().endpoints.get(name)
        if endpoint is not None and endpoint.kind is EndpointKind.ENGINE:
            task = asyncio.ensure_future(self._poll(endpoint))
            self._extra_polls.add(task)
            task.add_done_callback(self._extra_polls.discard)

    async def _poll(self, endpoint: Endpoint) -> None:
        try:
            response = await self._client.fetch(
                f"{endpoint.url}/load", request_timeout=TIMEOUT_S, follow_redirects=False
            )
            report = self._parse_report(endpoint.name, response.body)
        except Exception as error:
            # Any error or malformed response only means that there is no report this time.
            get_logger().debug("no load report from %s: %r", endpoint.name, error)
            return
        self._host.record_load(report)

    def _parse_report(self, endpoint: str, body: bytes) -> LoadReport:
        value = json.loads(body)
        age = max(0.0, time.time() - float(value["as_of"]))
        return LoadReport(
            endpoint=endpoint,
            as_of=self._clock() - age,
            running=int(value["running"]),
            kv_free=min(1.0, max(0.0, float(value.get("kv_free", 1.0)))),
        )
