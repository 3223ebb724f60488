"""Logging with ``absl.logging``, as text or as one JSON object per line."""

from __future__ import annotations

import json
import logging
from typing import Final

from absl import logging as absl_logging

CONTEXT_FIELDS: Final = ("request_id", "organisation", "class_name", "instance", "endpoint", "code")
"""Fields that a call may pass in ``extra``; a line contains those that are set."""

_LEVELS: Final = {
    "debug": absl_logging.DEBUG,
    "info": absl_logging.INFO,
    "warning": absl_logging.WARNING,
    "error": absl_logging.ERROR,
}


class TextFormatter(logging.Formatter):
    """Formats ``time level message name=value ...``."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)s %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        line = super().format(record)
        context = [f"{name}={value}" for name, value in read_context(record).items()]
        return " ".join([line, *context])


class JsonFormatter(logging.Formatter):
    """Formats one JSON object per line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        fields: dict[str, str | float] = {
            "time": record.created,
            "level": record.levelname.lower(),
            "message": record.getMessage(),
        }
        fields.update(read_context(record))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


def read_context(record: logging.LogRecord) -> dict[str, str]:
    """Return the context fields that a record carries."""
    present = {name: getattr(record, name, None) for name in CONTEXT_FIELDS}
    return {name: str(value) for name, value in present.items() if value is not None}


def set_up_logs(*, level: str, style: str) -> None:
    """Send logs to standard error.

    Args:
        level: ``debug``, ``info``, ``warning`` or ``error``.
        style: ``text`` or ``json``.
    """
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter() if style == "json" else TextFormatter())
    absl_logging.set_verbosity(_LEVELS[level])


def get_logger() -> logging.Logger:
    """Return the logger that all modules write to."""
    return absl_logging.get_absl_logger()
