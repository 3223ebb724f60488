"""Platform client over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

from tornado.httpclient import HTTPRequest

from guavamast.at_most_once_fetch import AnswerLost, NotSent, fetch_once
from guavamast.platform_client import (
    ListedInstance,
    PlatformAnswerLost,
    PlatformClient,
    PlatformUnavailable,
    Row,
    TransactionConflict,
)

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse

    from guavamast.platform_client import Check, Write

REQUEST_TIMEOUT_S: Final = 2.0
"""Timeout of one request to the platform, including the connect."""


class HttpPlatformClient(PlatformClient):
    """Client of the platform's table service and object store; never retries a request.

    Args:
        tables_url: Base URL of the table service, without ``/tables``.
        objects_url: Base URL of the object store, without ``/objects``.
        timeout_s: Timeout of one request.
    """

    __slots__ = ("_objects_url", "_tables_url", "_timeout_s")

    def __init__(
        self, *, tables_url: str, objects_url: str, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._tables_url = tables_url.rstrip("/")
        self._objects_url = objects_url.rstrip("/")
        self._timeout_s = timeout_s

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        """Write all rows if all checks pass, else none."""
        body = {
            "checks": [{"table": c.table, "key": c.key, "version": c.version} for c in checks],
            "writes": [{"table": w.table, "key": w.key, "value": w.value} for w in writes],
        }
        url = f"{self._tables_url}/tables/transact"
        response = await self._write("POST", url, json.dumps(body).encode())
        if response.code == 409:
            raise TransactionConflict
        _check_status(response)
        versions = _parse_object(response).get("versions", [])
        if len(versions) != len(writes):
            raise PlatformAnswerLost("the platform's response does not have one version per write")
        return [int(version) for version in versions]

    async def read(self, table: str, key: str) -> Row:
        """Return a row, with version 0 and no value when it is absent."""
        row = _parse_object(
            await self._read(f"{self._tables_url}/tables/{_quote_path(table, key)}")
        )
        return Row(table=table, key=key, version=row["version"], value=row["value"])

    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return all rows of a table whose key starts with ``prefix``, ordered by key."""
        url = f"{self._tables_url}/tables/{_quote_path(table)}?prefix={quote(prefix, safe='')}"
        rows = _parse_object(await self._read(url))["rows"]
        return [
            Row(table=table, key=row["key"], version=row["version"], value=row["value"])
            for row in rows
        ]

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object; idempotent for the same name and body."""
        url = f"{self._objects_url}/objects/{_quote_path(name)}"
        _check_status(await self._write("PUT", url, body))

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None when it is absent."""
        response = await self._fetch("GET", f"{self._objects_url}/objects/{_quote_path(name)}")
        if response.code == 404:
            return None
        _check_status(response)
        return response.body

    async def list_instances(self) -> list[ListedInstance]:
        """Return the platform's list of instances, which may be out of date."""
        listed = _parse_object(await self._read(f"{self._tables_url}/instances"))["instances"]
        return [
            ListedInstance(name=i["name"], state=i["state"], peer_address=i["peer_address"])
            for i in listed
        ]

    async def _read(self, url: str) -> HTTPResponse:
        response = await self._fetch("GET", url)
        _check_status(response)
        return response

    async def _fetch(self, method: str, url: str) -> HTTPResponse:
        """Send a read-only request; any failure counts as an outage."""
        try:
            return await fetch_once(self._build_request(method, url, None))
        except (NotSent, AnswerLost) as error:
            raise PlatformUnavailable(str(error)) from error

    async def _write(self, method: str, url: str, body: bytes) -> HTTPResponse:
        try:
            return await fetch_once(self._build_request(method, url, body))
        except NotSent as error:
            raise PlatformUnavailable(str(error)) from error
        except AnswerLost as error:
            raise PlatformAnswerLost(str(error)) from error

    def _build_request(self, method: str, url: str, body: bytes | None) -> HTTPRequest:
        return HTTPRequest(
            url,
            method=method,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )


def _quote_path(*parts: str) -> str:
    return "/".join(quote(part, safe="") for part in parts)


def _check_status(response: HTTPResponse) -> None:
    """Raise for a status that is not a success.

    A 500 or 504 may come from a proxy or a server that had started to write, so only statuses that
    mean that the platform did not start count as no effect.
    """
    if response.code in (200, 201, 204):
        return
    message = f"the platform responded with status {response.code}"
    if response.request.method == "GET" or response.code in (429, 503) or response.code < 500:
        raise PlatformUnavailable(message)
    raise PlatformAnswerLost(message)


def _parse_object(response: HTTPResponse) -> dict[str, Any]:
    """Return the response's JSON object; a response that isn't one counts as lost."""
    try:
        body = json.loads(response.body)
    except ValueError:
        body = None
    if isinstance(body, dict):
        return body
    if response.request.method == "GET":
        raise PlatformUnavailable("the platform's response is not a JSON object")
    raise PlatformAnswerLost("the platform's response is not a JSON object")
