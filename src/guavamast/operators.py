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
    from guavamast.fleet_status import StatusSource
    from guavamast.operator_tokens import OperatorAuthenticator
    from guavamast.plan_store import PlanStore
    from guavamast.plans import Plan
    from guavamast.world import Configuration

MAX_PLAN_BYTES: Final = 8_388_608
"""Largest proposed configuration; ten thousand organisations take about 2 MB."""
MAX_AUDIT_RECORDS: Final = 1000
_DEFAULT_AUDIT_RECORDS: Final = 50
_RETRY_AFTER_S: Final = 2
"""When to come back after the platform failed."""
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
"""HTTP status of each code that these handlers answer; any other is 500."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorServices:
    """What the handlers need."""

    store: PlanStore
    authenticator: OperatorAuthenticator
    status: StatusSource
    clock: Clock
    on_accepted: Callable[[Configuration], None]
    """Told of each configuration that this instance had accepted, to spread it at once."""


def make_operator_routes(
    *,
    store: PlanStore,
    authenticator: OperatorAuthenticator,
    status: StatusSource,
    clock: Clock,
    on_accepted: Callable[[Configuration], None],
) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
    """Return the routes of the operators' interface, for a tornado application.

    They work without a configuration, so that the first plan can be made.

    Args:
        store: Plans and accepted versions.
        authenticator: Finds the operator of a request.
        status: The daemon's view of the fleet.
        clock: Gives the time of proposals and confirmations.
        on_accepted: Called with each configuration that was accepted here.

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
    """Authenticates an operator and turns errors into their JSON.

    Failure: somebody without a token sends an endless body and it is kept in memory before the
    handler runs. Bodies come in chunks, the token is looked at before the first, and each handler
    has its own limit, whatever the listener's is.
    """

    services: OperatorServices
    operator: str
    max_body_bytes = 4096
    """Largest body; all but a proposal are empty."""

    def initialize(self, services: OperatorServices) -> None:
        """Keep what the handlers need."""
        self.services = services

    def prepare(self) -> None:
        """Find the operator before any body is read."""
        self._chunks: list[bytes] = []
        self.request.connection.set_max_body_size(self.max_body_bytes)
        authorization = self.request.headers.get("Authorization", "")
        self.operator = self.services.authenticator.identify(authorization)

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._chunks.append(chunk)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error as JSON."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, GuavamastError):
            error = _translate(status_code)
        self.set_status(_STATUSES.get(error.code, 500))
        if self.get_status() == 503:
            self.set_header("Retry-After", str(_RETRY_AFTER_S))
        self.finish({"error": show_error(error)})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log what is not the operator's mistake."""
        if not isinstance(value, GuavamastError | HTTPError):
            get_logger().error("%s failed", self.request.path, exc_info=(typ, value, tb))


class PlansHandler(OperatorHandler):
    """Takes proposals."""

    max_body_bytes = MAX_PLAN_BYTES

    async def post(self) -> None:
        """Compute a plan; nothing is changed."""
        try:
            text = b"".join(self._chunks).decode()
        except UnicodeDecodeError:
            raise GuavamastError(ErrorCode.PLAN_INVALID, "the body is not UTF-8 text") from None
        now = self.services.clock.read_wall()
        plan = await self.services.store.propose(text, who=self.operator, now=now)
        self.set_status(201)
        self.write(show_plan(plan))


class PlanHandler(OperatorHandler):
    """Shows one plan."""

    async def get(self, plan_id: str) -> None:
        """Answer the plan, and the version that it became."""
        plan = await self.services.store.read_plan(plan_id)
        if plan is None:
            raise GuavamastError(ErrorCode.NOT_FOUND, f"there is no plan {plan_id}")
        accepted = await self.services.store.read_accepted_version(plan_id)
        self.write(show_plan(plan) | {"accepted_version": accepted})


class ConfirmHandler(OperatorHandler):
    """Takes confirmations."""

    async def post(self, plan_id: str) -> None:
        """Put the plan in force."""
        now = self.services.clock.read_wall()
        accepted = await self.services.store.confirm(plan_id, who=self.operator, now=now)
        get_logger().info("plan %s of %s is version %d", plan_id, self.operator, accepted.version)
        if accepted.configuration is not None:
            self._spread(accepted.configuration)
        self.write({"version": accepted.version})

    def _spread(self, configuration: Configuration) -> None:
        """Tell the daemon of an accepted configuration.

        Failure: the daemon can't take it and the operator is told of an error, although the plan
        is in force. The answer stays "accepted"; the poll of the head brings it to the daemon.
        """
        try:
            self.services.on_accepted(configuration)
        except Exception:
            get_logger().exception("version %d was not spread at once", configuration.version)


class ConfigurationHandler(OperatorHandler):
    """Shows the configuration in force, or an earlier version."""

    async def get(self) -> None:
        """Answer the platform's version or, when that is down, this instance's own."""
        wanted = read_count(self.get_query_argument("version", ""), default=0, highest=10**9)
        store = self.services.store
        source = "platform"
        if wanted:
            configuration = await store.load_version(wanted)
            if configuration is None:
                raise GuavamastError(ErrorCode.NOT_FOUND, f"there is no version {wanted}")
        else:
            try:
                configuration = await store.load_configuration()
            except PlatformUnavailable:
                configuration = self.services.status.read_configuration()
                source = "instance"
        answer = {"version": configuration.version, "text": configuration.text, "source": source}
        self.write(answer)


class StatusHandler(OperatorHandler):
    """Shows the instances and endpoints."""

    def get(self) -> None:
        """Answer this instance's view; works while the platform is down."""
        status = self.services.status.read_status()
        self.write(asdict(status) | {"behind": status.list_behind()})


class AuditHandler(OperatorHandler):
    """Shows the audit trail."""

    async def get(self) -> None:
        """Answer the latest records, newest first."""
        argument = self.get_query_argument("limit", "")
        limit = read_count(argument, default=_DEFAULT_AUDIT_RECORDS, highest=MAX_AUDIT_RECORDS)
        records = await self.services.store.list_audit(limit=limit)
        self.write({"records": [asdict(record) for record in records]})


def read_count(text: str, *, default: int, highest: int) -> int:
    """Return a query argument that is a whole number from 1."""
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 12 and 1 <= int(text) <= highest):
        raise GuavamastError(ErrorCode.BAD_REQUEST, f"{text!r} is not from 1 to {highest}")
    return int(text)


def show_plan(plan: Plan) -> dict[str, Any]:
    """Return a plan's JSON."""
    return asdict(plan)


def show_error(error: GuavamastError) -> dict[str, Any]:
    """Return an error's JSON."""
    outcome = Outcome.NOT_RUN
    if isinstance(error, ConfirmationUnknown) or error.code is ErrorCode.INTERNAL:
        outcome = Outcome.OUTCOME_UNKNOWN
    shown: dict[str, Any] = {"code": error.code, "message": error.message, "outcome": outcome}
    if _STATUSES.get(error.code) == 503:
        shown["retry_after_s"] = _RETRY_AFTER_S
    if isinstance(error, FindingsError):
        shown["message"] = f"{len(error.findings)} findings; nothing was taken"
        shown["findings"] = [asdict(finding) for finding in error.findings]
    if isinstance(error, PlanConflict):
        shown["base_version"] = error.base_version
        shown["head_version"] = error.head_version
        shown["difference"] = [asdict(change) for change in error.difference]
        shown["accepted"] = [asdict(record) for record in error.accepted]
    return shown


def _translate(status_code: int) -> GuavamastError:
    """Return the error of an HTTP status that tornado itself answers."""
    codes = {404: ErrorCode.NOT_FOUND, 413: ErrorCode.BODY_TOO_LARGE}
    if 400 <= status_code < 500:
        code = codes.get(status_code, ErrorCode.BAD_REQUEST)
        return GuavamastError(code, f"the request was refused with status {status_code}")
    return GuavamastError(ErrorCode.INTERNAL, "the request failed; the log says why")
