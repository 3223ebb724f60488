"""HTTP client for the operators' interface of an instance."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote, urlencode

from tornado.httpclient import HTTPRequest

from guavamast.at_most_once_fetch import AnswerLost, NotSent, fetch_once
from guavamast.errors import ErrorCode, GuavamastError, Outcome
from guavamast.value_types import Fault, Url

REQUEST_TIMEOUT_S: Final = 30.0
"""Request timeout; resolving a lost response of the platform takes up to 20 s."""


class RemoteError(GuavamastError):
    """An error response of the instance.

    Args:
        code: The error code; may be unknown to this version.
        message: The error message.
        details: The complete error object.
    """

    def __init__(self, code: str, message: str, *, details: dict[str, Any]) -> None:
        known = code in ErrorCode.__members__.values()
        super().__init__(ErrorCode(code) if known else ErrorCode.INTERNAL, message)
        self.details = details


class OperatorClient:
    """Client for the operators' interface; never retries a request.

    Args:
        url: Base URL of an instance.
        token: The operator's token.
    """

    __slots__ = ("_token", "_url")

    def __init__(self, *, url: str, token: str) -> None:
        self._url = url
        self._token = token

    async def propose(self, text: str) -> dict[str, Any]:
        """Propose a configuration and return the plan."""
        return await self._call("POST", "/v1/plans", text)

    async def confirm(self, plan_id: str) -> dict[str, Any]:
        """Confirm a plan and return the version created by it."""
        return await self._call("POST", f"/v1/plans/{quote(plan_id, safe='')}/confirm", "")

    async def read_plan(self, plan_id: str) -> dict[str, Any]:
        """Return a plan."""
        return await self._call("GET", f"/v1/plans/{quote(plan_id, safe='')}")

    async def read_configuration(self, version: str = "") -> dict[str, Any]:
        """Return the configuration in force, or an earlier version."""
        query = f"?{urlencode({'version': version})}" if version else ""
        return await self._call("GET", f"/v1/configuration{query}")

    async def read_status(self) -> dict[str, Any]:
        """Return the instance's view of the fleet."""
        return await self._call("GET", "/v1/status")

    async def read_audit(self, limit: str) -> dict[str, Any]:
        """Return the latest audit records."""
        return await self._call("GET", f"/v1/audit?{urlencode({'limit': limit})}")

    async def _call(self, method: str, path: str, body: str | None = None) -> dict[str, Any]:
        request = HTTPRequest(
            f"{self._url}{path}",
            method=method,
            body=None if body is None else body.encode(),
            headers={"Authorization": f"Bearer {self._token}"},
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            response = await fetch_once(request)
        except NotSent as error:
            message = f"cannot connect to {self._url}: {error}"
            raise GuavamastError(ErrorCode.UNREACHABLE, message) from None
        except AnswerLost as error:
            raise _build_lost_response_error(
                method, f"incomplete response from {self._url}: {error}"
            ) from None
        payload = _parse_json_object(response.body)
        if 200 <= response.code < 300 and payload is not None:
            return payload
        raise _parse_error(method, response.code, payload or {})


def _parse_json_object(body: bytes) -> dict[str, Any] | None:
    try:
        payload = json.loads(body)
    except ValueError:
        return None
    return payload if isinstance(payload, dict) else None


def _build_lost_response_error(method: str, message: str) -> GuavamastError:
    """Return the error for a lost response: unknown outcome for writes, unreachable for reads."""
    code = ErrorCode.UNREACHABLE if method == "GET" else ErrorCode.OUTCOME_UNKNOWN
    return GuavamastError(code, message)


def _parse_error(method: str, status: int, payload: dict[str, Any]) -> GuavamastError:
    details = payload.get("error")
    if not isinstance(details, dict):
        return _build_lost_response_error(
            method, f"the instance returned status {status} without a JSON error object"
        )
    code, message = str(details.get("code", "")), str(details.get("message", ""))
    if details.get("outcome") == Outcome.OUTCOME_UNKNOWN:
        code = ErrorCode.OUTCOME_UNKNOWN
    return RemoteError(code, message, details=details)


def parse_url(text: str) -> str:
    """Validate and return the base URL of an instance.

    Raises:
        GuavamastError: With code ``usage``.
    """
    try:
        return Url().parse(text)
    except Fault as fault:
        raise GuavamastError(ErrorCode.USAGE, f"--via: {fault.message}") from None


def read_token(path: str) -> str:
    """Return the token from a file with one line ``token`` or ``name token``.

    Raises:
        GuavamastError: With code ``usage``.
    """
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        raise GuavamastError(ErrorCode.USAGE, f"--token-file {path}: {reason}") from None
    words = [line.split() for line in lines if line.strip() and not line.startswith("#")]
    if len(words) != 1 or len(words[0]) > 2 or not words[0][-1].isascii():
        message = f"--token-file {path}: must have exactly one line `token` or `name token`"
        raise GuavamastError(ErrorCode.USAGE, message)
    return words[0][-1]
