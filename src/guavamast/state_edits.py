"""Edits the ``state`` of an endpoint or instance in the text of a fleet configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.errors import ErrorCode, GuavamastError
from guavamast.inifile import read_ini

if TYPE_CHECKING:
    from guavamast.fleet_objects import EndpointState
    from guavamast.inifile import Section


def set_state(text: str, *, kind: str, name: str, state: EndpointState) -> str:
    """Return the text with the ``state`` of one section set; other lines don't change.

    Args:
        text: A checked fleet configuration.
        kind: ``endpoint`` or ``instance``; a missing section of an instance is added.
        name: Name of the endpoint or instance.
        state: The state to set.

    Returns:
        The new text.

    Raises:
        GuavamastError: The endpoint doesn't exist; code ``not_found``.
    """
    lines = text.split("\n")
    section = _find_section(text, f"{kind} {name}")
    if section is not None and "state" in section.entries:
        index = section.entries["state"].line - 1
        lines[index] = f"state = {state}"
    elif section is not None:
        lines.insert(section.line, f"state = {state}")
    elif kind == "instance":
        lines = [*text.rstrip("\n").split("\n"), "", f"[instance {name}]", f"state = {state}", ""]
    else:
        raise GuavamastError(ErrorCode.NOT_FOUND, f"there is no [{kind} {name}]")
    return "\n".join(lines)


def _find_section(text: str, header: str) -> Section | None:
    for section in read_ini(text, file="").sections:
        if " ".join(section.name.split()) == header:
            return section
    return None
