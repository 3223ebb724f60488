"""The operators' interface of one instance, as the command line calls it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote, urlencode

from tornado.httpclient import HTTPRequest

from guavamast.errors import ErrorCode, GuavamastError, Outcome
from guavamast.single_fetch import AnswerLost, NotSent, fetch_once
from guavamast.value_types import Fault, Url

REQUEST_TIMEOUT_S: Final = 30.0
"""Longest wait for an answer; settling a lost answer of the platform takes up to 20 s."""


class RemoteError(GuavamastError):
    """An error that the instance answered.

    Args:
        code: Its code, which may be one that this version does not know.
        message: Its message.
        details: The whole error object.
    """

    def __init__(self, code: str, message: str, *, details: dict[str, Any]) -> None:
        known = code in ErrorCode.__members__.values()
        super().__init__(ErrorCode(code) if known else ErrorCode.INTERNAL, message)
        self.details = details


class OperatorClient:
    """Calls the operators' interface; sends each request once.

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
        """Confirm a plan and return its version."""
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
            message = f"{self._url} can't be reached: {error}"
            raise GuavamastError(ErrorCode.UNREACHABLE, message) from None
        except AnswerLost as error:
            raise _make_lost(method, f"{self._url} gave no whole answer: {error}") from None
        answer = _parse(response.body)
        if 200 <= response.code < 300 and answer is not None:
            return answer
        raise _read_error(method, response.code, answer or {})


def _parse(body: bytes) -> dict[str, Any] | None:
    try:
        answer = json.loads(body)
    except ValueError:
        return None
    return answer if isinstance(answer, dict) else None


def _make_lost(method: str, message: str) -> GuavamastError:
    """Return the error of an answer that did not come: a write may have taken effect."""
    code = ErrorCode.UNREACHABLE if method == "GET" else ErrorCode.OUTCOME_UNKNOWN
    return GuavamastError(code, message)


def _read_error(method: str, status: int, answer: dict[str, Any]) -> GuavamastError:
    details = answer.get("error")
    if not isinstance(details, dict):
        return _make_lost(method, f"the instance answered {status} without an error's JSON")
    code, message = str(details.get("code", "")), str(details.get("message", ""))
    if details.get("outcome") == Outcome.OUTCOME_UNKNOWN:
        code = ErrorCode.OUTCOME_UNKNOWN
    return RemoteError(code, message, details=details)


def read_url(text: str) -> str:
    """Return the base URL of an instance.

    Raises:
        GuavamastError: With code ``usage``.
    """
    try:
        return Url().parse(text)
    except Fault as fault:
        raise GuavamastError(ErrorCode.USAGE, f"--via: {fault.message}") from None


def read_token(path: str) -> str:
    """Return the token of a file with one line ``token`` or ``name token``.

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
        message = f"--token-file {path}: has not one line `token` or `name token`"
        raise GuavamastError(ErrorCode.USAGE, message)
    return words[0][-1]
