"""Generator of docs/settings.md from the schemas: ``python -m tools.settings_page``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Final

from guavamast.fleet import FLEET_SECTIONS
from guavamast.schema import REQUIRED
from guavamast.settings import SETTINGS_SECTIONS

if TYPE_CHECKING:
    from guavamast.schema import Key, SectionKind

PAGE: Final = Path(__file__).resolve().parent.parent / "docs" / "settings.md"
INTRODUCTION: Final = """\
# Settings and fleet configuration

Both are INI files: `[section]`, then `key = value`; a line that starts with `#` or `;` is a remark.
A list is separated by commas and may go on over indented lines. Numbers are written without their
unit, which is part of the key's name. `guavamast check FILE...` reports every finding at once as
`FILE:LINE: CODE message` ([errors](errors.md)) and takes either kind of file. A file with a finding
is refused as a whole.

`python -m tools.settings_page` writes this page from the schemas that the checks use.
"""
SETTINGS_INTRODUCTION: Final = """\
## Instance settings

One file for an instance, read by its `entry` and its `dispatcher` when they start. Given the files
of several instances, `check` also reports a name or an address that two of them have.
"""
FLEET_INTRODUCTION: Final = """\
## Fleet configuration

One text for the whole fleet, kept by the platform and changed by plans ([operating](operating.md)).
Beyond the single values these are findings:

- a class, model or service that is referred to and not defined;
- two organisations with one key, two endpoints with one URL;
- guaranteed shares that sum to more than 1;
- a first token later than the whole answer;
- two classes of one tier that share an endpoint: nothing would say which of them starts first.
  Classes of one tier whose endpoints differ, such as one for chats and one for calls, are taken;
- a class that is used and that no endpoint can run, and a model that no endpoint serves.

A kind of request that is the name of a `[call]` runs at the services with that call, any other kind
at the engines.
"""


def render_page() -> str:
    """Return the whole page."""
    parts = [INTRODUCTION, SETTINGS_INTRODUCTION, *map(render_section, SETTINGS_SECTIONS)]
    parts += [FLEET_INTRODUCTION, *map(render_section, FLEET_SECTIONS)]
    return "\n".join(parts)


def render_section(kind: SectionKind) -> str:
    """Return the heading and the table of one kind of section."""
    header = f"[{kind.kind} {kind.name_form}]" if kind.named else f"[{kind.kind}]"
    needed = " (needed)" if kind.required else ""
    rows = [
        f"### `{header}`{needed}",
        "",
        "| key | value | default | meaning |",
        "|---|---|---|---|",
    ]
    rows += [render_key(key) for key in kind.keys]
    return "\n".join([*rows, ""])


def render_key(key: Key) -> str:
    """Return the row of one key."""
    return f"| `{key.name}` | {key.type.describe()} | {render_default(key)} | {key.meaning} |"


def render_default(key: Key) -> str:
    """Return the default of a key, as the page shows it."""
    if key.default is REQUIRED:
        return "needed"
    if key.default in ("", ()):
        return "none"
    return f"`{key.default:.12g}`" if isinstance(key.default, float) else f"`{key.default}`"


if __name__ == "__main__":
    PAGE.write_text(render_page(), encoding="utf-8")
