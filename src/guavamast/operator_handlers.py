"""Handlers of the operators' HTTP interface: plans, configuration, status and audit."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any, Final

from tornado.web import HTTPError, RequestHandler, stream_request_body

from guavamast.errors import ErrorCode, GuavamastError, Outcome
from guavamast.findings import FindingsError
from guavamast.log import get_logger
from guavamast.plan_store import ConfirmationUnknown, PlanConflict
from guavamast.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.clocks import Clock
    from guavamast.fleet_objects import Configuration
    from guavamast.fleet_status import StatusSource
    from guavamast.operator_tokens import OperatorAuthenticator
    from guavamast.plan_store import PlanStore
    from guavamast.plans import Plan

MAX_PLAN_BYTES: Final = 8_388_608
"""Largest proposed configuration; ten thousand organisations take about 2 MB."""
MAX_AUDIT_RECORDS: Final = 1000
_DEFAULT_AUDIT_RECORDS: Final = 50
_RETRY_AFTER_S: Final = 2
"""``Retry-After`` of responses with status 503."""
_STATUSES: Final = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.CONFIGURATION_INVALID: 400,
    ErrorCode.PLAN_INVALID: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.PLAN_CONFLICT: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.PLATFORM_UNAVAILABLE: 503,
    ErrorCode.OUTCOME_UNKNOWN: 503,
}
"""HTTP status of each error code; any other code maps to 500."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorServices:
    """Dependencies of the handlers."""

    store: PlanStore
    authenticator: OperatorAuthenticator
    status: StatusSource
    clock: Clock
    on_accepted: Callable[[Configuration], None]
    """Called with each configuration accepted via this instance, to distribute it at once."""


def build_operator_routes(
    *,
    store: PlanStore,
    authenticator: OperatorAuthenticator,
    status: StatusSource,
    clock: Clock,
    on_accepted: Callable[[Configuration], None],
) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
    """Return the routes of the operators' interface, for a tornado application.

    They work without a configuration, so that the first one can be planned.

    Args:
        store: Plans and accepted versions.
        authenticator: Identifies the operator of a request.
        status: The daemon's view of the fleet.
        clock: Source of the time of proposals and confirmations.
        on_accepted: Called with each configuration accepted via this instance.

    Returns:
        Routes for ``tornado.web.Application``.
    """
    services = OperatorServices(
        store=store,
        authenticator=authenticator,
        status=status,
        clock=clock,
        on_accepted=on_accepted,
    )
    arguments = {"services": services}
    return [
        (r"/v1/plans", PlansHandler, arguments),
        (r"/v1/plans/([^/]+)", PlanHandler, arguments),
        (r"/v1/plans/([^/]+)/confirm", ConfirmHandler, arguments),
        (r"/v1/configuration", ConfigurationHandler, arguments),
        (r"/v1/status", StatusHandler, arguments),
        (r"/v1/audit", AuditHandler, arguments),
    ]


@stream_request_body
class OperatorHandler(RequestHandler):
    """Authenticates operators and formats errors as JSON.

    Failure: a client without a token sends an endless body, which is buffered before the handler
    runs. Bodies are read in chunks, the token is checked before the first one, and each handler
    sets its own size limit regardless of the listener's.
    """

    services: OperatorServices
    operator: str
    max_body_bytes = 4096
    """Largest request body; only proposals have one."""

    def initialize(self, services: OperatorServices) -> None:
        """Store the dependencies of the handlers."""
        self.services = services

    def prepare(self) -> None:
        """Authenticate the operator before any of the body is read."""
        self._chunks: list[bytes] = []
        self.request.connection.set_max_body_size(self.max_body_bytes)
        authorization = self.request.headers.get("Authorization", "")
        self.operator = self.services.authenticator.identify(authorization)

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body."""
        self._chunks.append(chunk)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error as JSON."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, GuavamastError):
            error = _build_status_error(status_code)
        self.set_status(_STATUSES.get(error.code, 500))
        if self.get_status() == 503:
            self.set_header("Retry-After", str(_RETRY_AFTER_S))
        self.finish({"error": format_error(error)})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected exceptions; client errors are not logged."""
        if not isinstance(value, GuavamastError | HTTPError):
            get_logger().error("request to %s failed", self.request.path, exc_info=(typ, value, tb))


class PlansHandler(OperatorHandler):
    """``POST /v1/plans``."""

    max_body_bytes = MAX_PLAN_BYTES

    async def post(self) -> None:
        """Compute and store a plan; nothing takes effect yet."""
        try:
            text = b"".join(self._chunks).decode()
        except UnicodeDecodeError:
            raise GuavamastError(ErrorCode.PLAN_INVALID, "the body is not UTF-8 text") from None
        now = self.services.clock.read_wall()
        plan = await self.services.store.propose(text, who=self.operator, now=now)
        self.set_status(201)
        self.write(format_plan(plan))


class PlanHandler(OperatorHandler):
    """``GET /v1/plans/ID``."""

    async def get(self, plan_id: str) -> None:
        """Send the plan and the version created by it, if any."""
        plan = await self.services.store.read_plan(plan_id)
        if plan is None:
            raise GuavamastError(ErrorCode.NOT_FOUND, f"there is no plan {plan_id}")
        accepted = await self.services.store.read_accepted_version(plan_id)
        self.write(format_plan(plan) | {"accepted_version": accepted})


class ConfirmHandler(OperatorHandler):
    """``POST /v1/plans/ID/confirm``."""

    async def post(self, plan_id: str) -> None:
        """Put the plan in force."""
        now = self.services.clock.read_wall()
        accepted = await self.services.store.confirm(plan_id, who=self.operator, now=now)
        get_logger().info(
            "plan %s confirmed by %s is version %d", plan_id, self.operator, accepted.version
        )
        if accepted.configuration is not None:
            self._apply_locally(accepted.configuration)
        self.write({"version": accepted.version})

    def _apply_locally(self, configuration: Configuration) -> None:
        """Pass an accepted configuration to the daemon.

        Failure: the daemon fails to apply it, and the operator gets an error although the plan
        is in force. The response still reports success; the daemon's poll of the head picks the
        version up later.
        """
        try:
            self.services.on_accepted(configuration)
        except Exception:
            get_logger().exception("version %d could not be applied at once", configuration.version)


class ConfigurationHandler(OperatorHandler):
    """``GET /v1/configuration``: the version in force, or an earlier one."""

    async def get(self) -> None:
        """Send the platform's version or, while the platform is down, this instance's own."""
        version = parse_count(self.get_query_argument("version", ""), default=0, highest=10**9)
        store = self.services.store
        source = "platform"
        if version:
            configuration = await store.load_version(version)
            if configuration is None:
                raise GuavamastError(ErrorCode.NOT_FOUND, f"there is no version {version}")
        else:
            try:
                configuration = await store.load_configuration()
            except PlatformUnavailable:
                configuration = self.services.status.read_configuration()
                source = "instance"
        response = {"version": configuration.version, "text": configuration.text, "source": source}
        self.write(response)


class StatusHandler(OperatorHandler):
    """``GET /v1/status``: the instances and endpoints."""

    def get(self) -> None:
        """Send this instance's view of the fleet; works while the platform is down."""
        status = self.services.status.read_status()
        self.write(asdict(status) | {"behind": status.list_outdated()})


class AuditHandler(OperatorHandler):
    """``GET /v1/audit``."""

    async def get(self) -> None:
        """Send the latest audit records, newest first."""
        argument = self.get_query_argument("limit", "")
        limit = parse_count(argument, default=_DEFAULT_AUDIT_RECORDS, highest=MAX_AUDIT_RECORDS)
        records = await self.services.store.list_audit(limit=limit)
        self.write({"records": [asdict(record) for record in records]})


def parse_count(text: str, *, default: int, highest: int) -> int:
    """Return a query argument that must be an integer from 1 to ``highest``."""
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 12 and 1 <= int(text) <= highest):
        raise GuavamastError(
            ErrorCode.BAD_REQUEST, f"{text!r} is not an integer from 1 to {highest}"
        )
    return int(text)


def format_plan(plan: Plan) -> dict[str, Any]:
    """Return a plan as a JSON object."""
    return asdict(plan)


def format_error(error: GuavamastError) -> dict[str, Any]:
    """Return an error as a JSON object."""
    outcome = Outcome.NOT_RUN
    if isinstance(error, ConfirmationUnknown) or error.code is ErrorCode.INTERNAL:
        outcome = Outcome.OUTCOME_UNKNOWN
    formatted: dict[str, Any] = {"code": error.code, "message": error.message, "outcome": outcome}
    if _STATUSES.get(error.code) == 503:
        formatted["retry_after_s"] = _RETRY_AFTER_S
    if isinstance(error, FindingsError):
        formatted["message"] = f"{len(error.findings)} findings; nothing was stored"
        formatted["findings"] = [asdict(finding) for finding in error.findings]
    if isinstance(error, PlanConflict):
        formatted["base_version"] = error.base_version
        formatted["head_version"] = error.head_version
        formatted["difference"] = [asdict(change) for change in error.difference]
        formatted["accepted"] = [asdict(record) for record in error.accepted]
    return formatted


def _build_status_error(status_code: int) -> GuavamastError:
    """Return the error for an HTTP status that tornado itself raises."""
    codes = {404: ErrorCode.NOT_FOUND, 413: ErrorCode.BODY_TOO_LARGE}
    if 400 <= status_code < 500:
        code = codes.get(status_code, ErrorCode.BAD_REQUEST)
        return GuavamastError(code, f"the request was rejected with status {status_code}")
    return GuavamastError(ErrorCode.INTERNAL, "the request failed; see the log of the instance")
