"""Implementation of the commands of the command line.

Each function only returns a `Task`. Modules are imported inside the tasks; a daemon would
otherwise hold the modules of every other command in memory.
"""

from __future__ import annotations

import asyncio
import json as json_codec
import signal
from typing import TYPE_CHECKING, Any, Final

from fire.decorators import SetParseFn

from guavamast.client_task import build_client_task
from guavamast.errors import ErrorCode, GuavamastError
from guavamast.task import EXIT_OK, Task

if TYPE_CHECKING:

    from guavamast.operator_client import OperatorClient
    from guavamast.standins.listener import Standin

URGENCY_GROUPING: Final = "urgency"
"""Report on the order of urgencies instead of a table of outcomes."""
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
"""The command line is invalid, or a file has findings."""


def parse_flag(text: str) -> bool:
    """Return the value of a flag; fire passes ``True`` for a flag without a value."""
    if text not in ("True", "False"):
        raise GuavamastError(ErrorCode.USAGE, f"a flag takes no value, got {text!r}")
    return text == "True"


@SetParseFn(str)
def run_entry(*, settings: str) -> Task:
    """Run the entry of one instance: entry --settings FILE."""

    def act() -> int:
        from guavamast.settings import load_settings

        loaded = load_settings(settings)
        from guavamast import entry

        entry.run(loaded)
        return EXIT_OK

    return Task(act)


@SetParseFn(str)
def run_node(*, settings: str) -> Task:
    """Run one instance on the users' platform in one process: node --settings FILE."""

    def act() -> int:
        import asyncio

        from guavamast.platform import runner
        from guavamast.platform.settings import read_settings

        asyncio.run(runner.run_process(read_settings(settings)))
        return EXIT_OK

    return Task(act)


@SetParseFn(str)
def quarantine(*, settings: str, lift: str = "", by: str = "") -> Task:
    """List or release quarantined requests: quarantine --settings FILE [--lift ID --by NAME]."""

    def act() -> int:
        from guavamast.platform import quarantine_admin
        from guavamast.platform.settings import read_settings

        if bool(lift) != bool(by):
            raise GuavamastError(ErrorCode.USAGE, "--lift ID goes with --by NAME")
        store = read_settings(settings).store
        if lift:
            print(asyncio.run(quarantine_admin.lift_attribute(store, lift, by=by)))
        else:
            print(asyncio.run(quarantine_admin.list_attributes(store)))
        return EXIT_OK

    return Task(act)


@SetParseFn(str)
def duties(*, settings: str, orders: str = "", floor: str = "0", by: str = "") -> Task:
    """Show duties, limit orders: duties --settings FILE [--orders on|off [--floor N] --by NAME]."""

    def act() -> int:
        from guavamast.platform import duty_admin
        from guavamast.platform.settings import read_settings
        from guavamast.relay.scaling.control import ScalingControl

        if bool(orders) != bool(by) or orders not in ("", "on", "off") or not floor.isdigit():
            raise GuavamastError(ErrorCode.USAGE, "--orders on|off [--floor N] goes with --by NAME")
        store = read_settings(settings).store
        if orders:
            control = ScalingControl(paused=orders == "off", floor=int(floor), by=by)
            print(asyncio.run(duty_admin.set_control(store, control)))
        else:
            print(asyncio.run(duty_admin.describe_duties(store)))
        return EXIT_OK

    return Task(act)


@SetParseFn(str)
def run_dispatcher(*, settings: str) -> Task:
    """Run the dispatcher of one instance: dispatcher --settings FILE."""

    def act() -> int:
        from guavamast.settings import load_settings

        loaded = load_settings(settings)
        from guavamast import dispatcher

        dispatcher.run(loaded)
        return EXIT_OK

    return Task(act)


@SetParseFn(str)
@SetParseFn(parse_flag, "json")
def check(*files: str, json: bool = False) -> Task:
    """Check settings and fleet configurations: check FILE... [--json]."""

    def act() -> int:
        from dataclasses import asdict

        from guavamast.file_checks import check_files

        if not files:
            raise GuavamastError(ErrorCode.USAGE, "check requires at least one file")
        findings = check_files(files)
        if json:
            print(json_codec.dumps([asdict(finding) for finding in findings]))
        else:
            print("\n".join(map(str, findings)) or "no findings")
        return EXIT_USAGE if findings else EXIT_OK

    return Task(act)


@SetParseFn(str)
@SetParseFn(parse_flag, "json")
def plan(file: str, *, via: str, token_file: str, json: bool = False) -> Task:
    """Propose a fleet configuration: plan FILE --via URL --token-file F [--json]."""

    async def call(client: OperatorClient) -> dict[str, Any]:
        from guavamast.settings import read_text

        return await client.propose(read_text(file))

    return build_client_task(call, _format_new_plan, via=via, token_file=token_file, json=json)


@SetParseFn(str)
@SetParseFn(parse_flag, "json")
def confirm(plan: str, *, via: str, token_file: str, json: bool = False) -> Task:
    """Put a plan in force: confirm PLAN --via URL --token-file F [--json]."""

    async def call(client: OperatorClient) -> dict[str, Any]:
        try:
            return await client.confirm(plan)
        except GuavamastError as error:
            if error.code is not ErrorCode.OUTCOME_UNKNOWN:
                raise
            message = (
                f"{error.message}; to find out whether plan {plan} is in force, run "
                f"`guavamast confirm {plan} --via {via} --token-file {token_file}` again: "
                "it is never applied twice"
            )
            raise GuavamastError(ErrorCode.OUTCOME_UNKNOWN, message) from None

    def show(answer: dict[str, Any]) -> str:
        return f"version {answer['version']}"

    return build_client_task(call, show, via=via, token_file=token_file, json=json)


@SetParseFn(str)
@SetParseFn(parse_flag, "json", "undo")
def drain(
    what: str, name: str, *, via: str, token_file: str, undo: bool = False, json: bool = False
) -> Task:
    """Plan a drain: drain endpoint|instance NAME --via URL --token-file F [--undo] [--json]."""

    async def call(client: OperatorClient) -> dict[str, Any]:
        from guavamast.fleet_objects import EndpointState
        from guavamast.plans import build_version_comment
        from guavamast.state_edits import set_state

        if what not in ("endpoint", "instance"):
            raise GuavamastError(ErrorCode.USAGE, f"expected endpoint or instance, got {what!r}")
        if what == "instance":
            await _require_instance(client, name)
        state = EndpointState.ACTIVE if undo else EndpointState.LEAVING
        current = await client.read_configuration()
        text = set_state(current["text"], kind=what, name=name, state=state)
        # An instance without a connection to the platform may return an older version.
        return await client.propose(build_version_comment(current["version"]) + text)

    return build_client_task(call, _format_new_plan, via=via, token_file=token_file, json=json)


async def _require_instance(client: OperatorClient, name: str) -> None:
    """Reject unknown instance names; a plan with a misspelt name would drain nothing."""
    status = await client.read_status()
    names = [instance["name"] for instance in status["instances"]]
    if name not in names:
        message = f"there is no instance {name}; known instances: {', '.join(names) or 'none'}"
        raise GuavamastError(ErrorCode.NOT_FOUND, message)


@SetParseFn(str)
@SetParseFn(parse_flag, "json")
def status(*, via: str, token_file: str, json: bool = False) -> Task:
    """Show instances with version and state: status --via URL --token-file F [--json]."""

    def show(answer: dict[str, Any]) -> str:
        from guavamast.text_output import format_status

        return format_status(answer)

    return build_client_task(
        lambda client: client.read_status(), show, via=via, token_file=token_file, json=json
    )


@SetParseFn(str)
@SetParseFn(parse_flag, "json")
def audit(*, via: str, token_file: str, limit: str = "50", json: bool = False) -> Task:
    """Show the audit trail: audit --via URL --token-file F [--limit N] [--json]."""

    def show(answer: dict[str, Any]) -> str:
        from guavamast.text_output import format_audit

        return format_audit(answer)

    return build_client_task(
        lambda client: client.read_audit(limit), show, via=via, token_file=token_file, json=json
    )


@SetParseFn(str)
@SetParseFn(parse_flag, "json")
def show(*, via: str, token_file: str, version: str = "", json: bool = False) -> Task:
    """Show the configuration: show --via URL --token-file F [--version N] [--json]."""

    def write(answer: dict[str, Any]) -> str:
        from guavamast.plans import build_version_comment

        return build_version_comment(answer["version"]) + answer["text"]

    return build_client_task(
        lambda client: client.read_configuration(version),
        write,
        via=via,
        token_file=token_file,
        json=json,
    )


@SetParseFn(str)
def standin(kind: str, *, port: str = "0") -> Task:
    """Run a stand-in and print its port: standin platform|engine|service --port N."""

    def act() -> int:
        if not (port.isascii() and port.isdigit() and int(port[:9]) <= 65535):
            raise GuavamastError(
                ErrorCode.USAGE, f"--port: {port!r} is not an integer from 0 to 65535"
            )
        asyncio.run(_serve_standin(_build_standin(kind), int(port)))
        return EXIT_OK

    return Task(act)


def _build_standin(kind: str) -> Standin:
    if kind == "platform":
        from guavamast.standins.platform import PlatformStandin

        return PlatformStandin()
    if kind == "engine":
        from guavamast.standins.engine import EngineStandin

        return EngineStandin()
    if kind == "service":
        from guavamast.standins.service import ServiceStandin

        return ServiceStandin()
    raise GuavamastError(ErrorCode.USAGE, f"expected platform, engine or service, got {kind!r}")


async def _serve_standin(standin: Standin, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    standin.start(port)
    print(standin.url.rpartition(":")[2], flush=True)
    await stopped.wait()
    standin.stop()


@SetParseFn(str)
def report(*files: str, by: str = "route") -> Task:
    """Summarize requests' outcomes from log lines: report FILE... [--by route|urgency|...]."""

    def act() -> int:
        from guavamast.log_report import GROUPINGS, count_outcomes, decode_lines, format_report
        from guavamast.urgency_report import build_urgency_report, format_urgency_report

        groupings = (*GROUPINGS, URGENCY_GROUPING)
        if by not in groupings or not files:
            raise GuavamastError(ErrorCode.USAGE, f"report FILE... --by {'|'.join(groupings)}")
        entries = []
        for name in files:
            with open(name, encoding="utf-8", errors="replace") as file:
                entries += decode_lines(file)
        if by == URGENCY_GROUPING:
            print(format_urgency_report(build_urgency_report(entries)))
        else:
            print(format_report(count_outcomes(entries, by=by)))
        return EXIT_OK

    return Task(act)


@SetParseFn(parse_flag, "serve")
def demo(*, serve: bool = False) -> Task:
    """Run a demo fleet in one process: demo [--serve]."""

    def act() -> int:
        from guavamast import demo as demo_module

        return demo_module.run(serve=serve) or EXIT_OK

    return Task(act)


def _format_new_plan(answer: dict[str, Any]) -> str:
    from guavamast.text_output import format_plan

    return f"{format_plan(answer)}\n\nnothing has changed yet; to accept: confirm {answer['id']}"


COMMANDS: Final = {
    "entry": run_entry,
    "dispatcher": run_dispatcher,
    "node": run_node,
    "check": check,
    "plan": plan,
    "confirm": confirm,
    "drain": drain,
    "status": status,
    "audit": audit,
    "show": show,
    "standin": standin,
    "quarantine": quarantine,
    "duties": duties,
    "report": report,
    "demo": demo,
}
