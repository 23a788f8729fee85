"""Writes structured log lines: a prefix, a short message, then fields.

Each component creates one logger with its fixed prefix::

    log = logs.make_logger("grants")
    log.warning("ask for grants failed", unit="domain/d1", error=error)

gives the line::

    grants: ask for grants failed unit=domain/d1 error='PeerUnavailable: ...'

Only the fields in :data:`FIELDS` are written; none of them carries a
caller's text, an API key or a secret.  Other fields are left out, and a test
finds calls that name one.  The ids that :func:`bind_ids` has set for the
current task are added.
"""

from collections import abc
import contextlib
import contextvars
import dataclasses
import logging as standard_logging
import os
import select
import time
import traceback
import types

from absl import flags
from absl import logging
from absl.logging import converter

from sycamorespool import exceptions

FIELDS = frozenset(
    [
        "address",
        "age_s",
        "attempt_id",
        "base_version",
        "bytes",
        "code",
        "count",
        "data_centre",
        "domain",
        "entry",
        "epoch",
        "error",
        "file",
        "group",
        "incarnation",
        "model",
        "name",
        "offset",
        "open",
        "outcome",
        "parts",
        "places",
        "priority",
        "reason",
        "record_id",
        "request_id",
        "role",
        "service",
        "state",
        "status",
        "unit",
        "version",
        "vm",
        "workspace",
    ]
)
MAX_VALUE_CHARS = 200
# Sustained rate of :class:`BoundedHandler`; bursts reach twice as many lines.
LINES_PER_S = 300
# A write of at most this many bytes (PIPE_BUF) to a pipe is atomic.
MAX_LINE_BYTES = 4096
MAX_TRACEBACK_CHARS = 2000

_NO_IDS: types.MappingProxyType[str, str] = types.MappingProxyType({})
_context: contextvars.ContextVar[abc.Mapping[str, str]] = (
    contextvars.ContextVar("log_fields", default=_NO_IDS)
)


@contextlib.contextmanager
def bind_ids(request_id: str, attempt_id: str = "") -> abc.Iterator[None]:
    """Add the ids to every line that this task logs in a ``with`` block."""
    ids = {"request_id": request_id, "attempt_id": attempt_id}
    token = _context.set({name: id_ for name, id_ in ids.items() if id_})
    try:
        yield
    finally:
        _context.reset(token)


def _describe_error(error: Exception) -> str:
    # The detail of these errors may quote a caller or a backend server.
    if isinstance(error, exceptions.NotRun | exceptions.OutcomeUnknown):
        return f"{type(error).__name__}: {error.code}"
    if isinstance(error, exceptions.BackendRefused):
        return f"{type(error).__name__}: {error.status}"
    return f"{type(error).__name__}: {error}"


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, Exception):
        value = _describe_error(value)
    text = str(value)[:MAX_VALUE_CHARS]
    is_plain = text.isprintable() and not set(text) & set(" ='\"")
    return text if text and is_plain else repr(text)


def format_line(prefix: str, message: str, values: dict[str, object]) -> str:
    """Return a log line; fields that :data:`FIELDS` lacks are left out."""
    parts = [f"{prefix}: {message}"]
    parts += [
        f"{name}={_format_value(value)}"
        for name, value in values.items()
        if name in FIELDS
    ]
    return " ".join(parts)


@dataclasses.dataclass(frozen=True, slots=True)
class Logger:
    """Writes the log lines of one component."""

    prefix: str

    def _write(
        self, level: int, message: str, values: dict[str, object]
    ) -> None:
        standard_level = converter.absl_to_standard(level)
        if not logging.get_absl_logger().isEnabledFor(standard_level):
            return
        line = format_line(self.prefix, message, {**values, **_context.get()})
        # Logs the source position of the caller of info() and the like.
        logging.log(level, "%s", line, stacklevel=3)

    def debug(self, message: str, **values: object) -> None:
        """Log a detail that helps developers."""
        self._write(logging.DEBUG, message, values)

    def info(self, message: str, **values: object) -> None:
        """Log a change in normal operation."""
        self._write(logging.INFO, message, values)

    def warning(self, message: str, **values: object) -> None:
        """Log a fault that the system recovers from by itself."""
        self._write(logging.WARNING, message, values)

    def error(self, message: str, **values: object) -> None:
        """Log a fault that needs an operator's attention."""
        self._write(logging.ERROR, message, values)


def make_logger(prefix: str) -> Logger:
    """Return a logger with the given prefix."""
    return Logger(prefix)


class BoundedHandler(standard_logging.Handler):
    """Writes lines to a file descriptor without ever blocking.

    Lines beyond :data:`LINES_PER_S`, and lines for which the descriptor is
    not writable, are dropped; the next line that is written gives their
    number.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._tokens = float(LINES_PER_S)
        self._refilled_s = time.monotonic()
        self.dropped = 0

    def _take_token(self, now_s: float) -> bool:
        self._tokens += (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(self._tokens, 2.0 * LINES_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if not self._take_token(time.monotonic()) or not self._poll.poll(0):
            self.dropped += 1
            return
        suffix = f" dropped_before={self.dropped}" if self.dropped else ""
        self.dropped = 0
        line = (
            f"{_LEVEL_LETTERS.get(record.levelno, '?')} {record.getMessage()}"
        )
        if record.exc_info:
            text = "".join(traceback.format_exception(*record.exc_info))
            line += f" traceback={text[-MAX_TRACEBACK_CHARS:]!r}"
        data = f"{line}{suffix}\n".encode(errors="replace")
        try:
            os.write(self._descriptor, data[:MAX_LINE_BYTES])
        except OSError:
            # There is nowhere else to report that the write failed.
            self.dropped += 1


_LEVEL_LETTERS = {
    standard_logging.DEBUG: "D",
    standard_logging.INFO: "I",
    standard_logging.WARNING: "W",
    standard_logging.ERROR: "E",
}


def set_up_stdout() -> None:
    """Send lines to standard output at a bounded rate, without blocking."""
    flags.FLAGS(["sycamorespool"])
    root = standard_logging.getLogger()
    root.handlers[:] = [BoundedHandler(1)]
    logging.set_verbosity(logging.INFO)


def set_up(verbosity: int = logging.INFO) -> None:
    """Send lines to standard error with absl's handler."""
    # absl parses flags of its own; the command line is parsed by Fire.
    flags.FLAGS(["sycamorespool"])
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
