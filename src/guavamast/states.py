"""Stating in a fleet configuration's text that an endpoint or instance leaves, or is back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.errors import ErrorCode, GuavamastError
from guavamast.inifile import read_ini

if TYPE_CHECKING:
    from guavamast.inifile import Section
    from guavamast.world import EndpointState


def set_state(text: str, *, kind: str, name: str, state: EndpointState) -> str:
    """Return the text with one section's ``state`` set; all other lines stay as they are.

    Args:
        text: A checked fleet configuration.
        kind: ``endpoint`` or ``instance``; an instance's section is added when it has none.
        name: The endpoint or instance.
        state: The state to set.

    Returns:
        The new text.

    Raises:
        GuavamastError: With code ``not_found``: there is no such endpoint.
    """
    lines = text.split("\n")
    section = _find_section(text, f"{kind} {name}")
    if section is not None and "state" in section.entries:
        place = section.entries["state"].line - 1
        lines[place] = f"state = {state}"
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
