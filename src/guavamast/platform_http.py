"""The platform's client over HTTP."""

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
"""Longest wait for one answer of the platform, connect included."""


class HttpPlatformClient(PlatformClient):
    """Talks to the platform's table service and object store; never repeats a request.

    Args:
        tables_url: Base URL of the table service, without ``/tables``.
        objects_url: Base URL of the object store, without ``/objects``.
        timeout_s: Longest wait for one answer.
    """

    __slots__ = ("_objects_url", "_tables_url", "_timeout_s")

    def __init__(
        self, *, tables_url: str, objects_url: str, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._tables_url = tables_url.rstrip("/")
        self._objects_url = objects_url.rstrip("/")
        self._timeout_s = timeout_s

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        """Write all rows if all checks hold, else none."""
        body = {
            "checks": [{"table": c.table, "key": c.key, "version": c.version} for c in checks],
            "writes": [{"table": w.table, "key": w.key, "value": w.value} for w in writes],
        }
        url = f"{self._tables_url}/tables/transact"
        response = await self._write("POST", url, json.dumps(body).encode())
        if response.code == 409:
            raise TransactionConflict
        _check_status(response)
        versions = _parse(response).get("versions", [])
        if len(versions) != len(writes):
            raise PlatformAnswerLost("the answer has not one version for each write")
        return [int(version) for version in versions]

    async def read(self, table: str, key: str) -> Row:
        """Return a row, with version 0 and no value when it is absent."""
        answer = _parse(await self._read(f"{self._tables_url}/tables/{_escape(table, key)}"))
        return Row(table=table, key=key, version=answer["version"], value=answer["value"])

    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return all rows of a table whose key starts with ``prefix``, ordered by key."""
        url = f"{self._tables_url}/tables/{_escape(table)}?prefix={quote(prefix, safe='')}"
        rows = _parse(await self._read(url))["rows"]
        return [
            Row(table=table, key=row["key"], version=row["version"], value=row["value"])
            for row in rows
        ]

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object; the same name and body again is harmless."""
        url = f"{self._objects_url}/objects/{_escape(name)}"
        _check_status(await self._write("PUT", url, body))

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None when it is absent."""
        response = await self._fetch("GET", f"{self._objects_url}/objects/{_escape(name)}")
        if response.code == 404:
            return None
        _check_status(response)
        return response.body

    async def list_instances(self) -> list[ListedInstance]:
        """Return the platform's list of instances, which lags."""
        listed = _parse(await self._read(f"{self._tables_url}/instances"))["instances"]
        return [
            ListedInstance(name=i["name"], state=i["state"], peer_address=i["peer_address"])
            for i in listed
        ]

    async def _read(self, url: str) -> HTTPResponse:
        response = await self._fetch("GET", url)
        _check_status(response)
        return response

    async def _fetch(self, method: str, url: str) -> HTTPResponse:
        """Send a request that changes nothing: any failure is an outage."""
        try:
            return await fetch_once(self._make_request(method, url, None))
        except (NotSent, AnswerLost) as error:
            raise PlatformUnavailable(str(error)) from error

    async def _write(self, method: str, url: str, body: bytes) -> HTTPResponse:
        try:
            return await fetch_once(self._make_request(method, url, body))
        except NotSent as error:
            raise PlatformUnavailable(str(error)) from error
        except AnswerLost as error:
            raise PlatformAnswerLost(str(error)) from error

    def _make_request(self, method: str, url: str, body: bytes | None) -> HTTPRequest:
        return HTTPRequest(
            url,
            method=method,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )


def _escape(*parts: str) -> str:
    return "/".join(quote(part, safe="") for part in parts)


def _check_status(response: HTTPResponse) -> None:
    """Raise for a status that is not a success.

    A 500 or 504 may come from a proxy or a server that had begun to write, so only the statuses
    by which the platform says that it did not begin count as no effect.
    """
    if response.code in (200, 201, 204):
        return
    message = f"the platform answered {response.code}"
    if response.request.method == "GET" or response.code in (429, 503) or response.code < 500:
        raise PlatformUnavailable(message)
    raise PlatformAnswerLost(message)


def _parse(response: HTTPResponse) -> dict[str, Any]:
    """Return the answer's JSON object; an answer that isn't one counts as lost."""
    try:
        answer = json.loads(response.body)
    except ValueError:
        answer = None
    if isinstance(answer, dict):
        return answer
    if response.request.method == "GET":
        raise PlatformUnavailable("the platform's answer is not a JSON object")
    raise PlatformAnswerLost("the platform's answer is not a JSON object")
