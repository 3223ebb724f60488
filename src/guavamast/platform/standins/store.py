"""Stand-in for the platform's store: rows in tables, one version counter, a monotonic clock."""

from __future__ import annotations

import base64
import json
import time
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets


class StoreFault(StrEnum):
    """Fault that the store injects."""

    NONE = "none"
    BUSY = "busy"
    """Answers 503."""
    SILENT = "silent"
    """Never answers."""
    LOSES_ANSWERS = "loses_answers"
    """Performs writes and never answers them."""


MAX_ENTRIES: Final = 100
"""Conditions, writes and removals of one transaction at most."""
MAX_ROW_BYTES: Final = 65_536
"""Bytes of a row's value at most."""


@dataclass(slots=True, kw_only=True)
class _Row:
    value: str
    version: int


class StoreStandIn:
    """Keeps rows in memory and serves the calls that guavamast makes."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], _Row] = {}
        self._version = 0
        self._server = HTTPServer(self._handle_request)
        self.fault = StoreFault.NONE

    def listen(self) -> int:
        """Listen on loopback and return the port."""
        sockets = bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    def put(self, table: str, key: str, fields: Any) -> int:
        """Write a row as an operator or an engine does and return its version."""
        return self.put_bytes(table, key, json.dumps(fields).encode())

    def put_bytes(self, table: str, key: str, value: bytes) -> int:
        """Write a row as any writer does, whatever its value means, and return its version."""
        self._version += 1
        self._rows[table, key] = _Row(value=base64.b64encode(value).decode(), version=self._version)
        return self._version

    def find_version(self, table: str, key: str) -> int:
        """Return the version of a row."""
        return self._rows[table, key].version

    def list_versions(self, table: str) -> list[tuple[str, int]]:
        """Return the keys of a table with their versions."""
        return [(key, row.version) for (name, key), row in self._rows.items() if name == table]

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self._rows.pop((table, key), None)

    def _handle_request(self, request: httputil.HTTPServerRequest) -> None:
        if self.fault is StoreFault.SILENT:
            return
        if self.fault is StoreFault.BUSY:
            _write_response(request, 503, {})
        elif request.path == "/v1/rows-get":
            _write_response(request, 200, self._get(request))
        elif request.path == "/v1/rows-tx":
            fields = json.loads(request.body)
            if not _is_within_bounds(fields):
                _write_response(request, 400, {})
                return
            status = 200 if self._meets_expectations(fields) else 412
            response = self._transact(fields) if status == 200 else self._add_store_time({})
            if self.fault is not StoreFault.LOSES_ANSWERS:
                _write_response(request, status, response)
        else:
            _write_response(request, 404, {})

    def _get(self, request: httputil.HTTPServerRequest) -> dict[str, Any]:
        table = request.query_arguments["table"][0].decode()
        first = request.query_arguments.get("from", [b""])[0].decode()
        limit = int(request.query_arguments.get("limit", [b"500"])[0])
        last = request.query_arguments.get("target", [b""])[0].decode()
        keys = sorted(
            key
            for name, key in self._rows
            if name == table and key >= first and (not last or key < last)
        )
        rows = [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": self._rows[table, key].value,
                "ver": self._rows[table, key].version,
            }
            for key in keys[:limit]
        ]
        return self._add_store_time({"rows": rows, "more_pages": len(keys) > limit})

    def _meets_expectations(self, fields: dict[str, Any]) -> bool:
        """Return whether all rows of a conditional write have the expected versions."""
        for expected in fields["expect"]:
            row = self._rows.get((expected["table"], expected["key"]))
            if (row.version if row is not None else 0) != expected["ver"]:
                return False
        return True

    def _transact(self, fields: dict[str, Any]) -> dict[str, Any]:
        self._version += 1
        for row in fields["writes"]:
            self._rows[row["table"], row["key"]] = _Row(value=row["value"], version=self._version)
        for row in fields["remove"]:
            self._rows.pop((row["table"], row["key"]), None)
        return self._add_store_time({})

    def _add_store_time(self, fields: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)
        return fields | {"ver": self._version, "now_ms": now_ms}


def _is_within_bounds(fields: dict[str, Any]) -> bool:
    """Return whether a transaction and the values in it are small enough."""
    entries = [*fields["expect"], *fields["writes"], *fields["remove"]]
    values = [base64.b64decode(row["value"]) for row in fields["writes"]]
    return len(entries) <= MAX_ENTRIES and all(len(value) <= MAX_ROW_BYTES for value in values)


def _write_response(
    request: httputil.HTTPServerRequest, status: int, fields: dict[str, Any]
) -> None:
    body = json.dumps(fields).encode()
    headers = httputil.HTTPHeaders(
        {"Content-Type": "application/json", "Content-Length": str(len(body))}
    )
    assert request.connection is not None
    start = httputil.ResponseStartLine("HTTP/1.1", status, "")
    request.connection.write_headers(start, headers, body)
    request.connection.finish()
