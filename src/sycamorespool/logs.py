"""Log lines: a short sentence behind a part's prefix, then fields.

Each part makes one logger with its fixed prefix::

    log = logs.make_logger("grants")
    log.warning("ask failed", unit="domain/d1", error=error)

gives ``grants: ask failed unit=domain/d1 error='PeerUnavailable: ...'``.
Fields are those of :data:`FIELDS`; a caller's text, an API key or a secret
is not among them, and any other field is left out.  A test finds calls
that name one.  Ids of the request and the attempt in hand are added.
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
        "name",
        "offset",
        "open",
        "outcome",
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
LINES_PER_S = 300
# A pipe takes so many bytes at once or none.
MAX_LINE_BYTES = 4096
MAX_TRACEBACK_CHARS = 2000

_NO_IDS: types.MappingProxyType[str, str] = types.MappingProxyType({})
_context: contextvars.ContextVar[abc.Mapping[str, str]] = (
    contextvars.ContextVar("log_fields", default=_NO_IDS)
)


@contextlib.contextmanager
def fields(request_id: str, attempt_id: str = "") -> abc.Iterator[None]:
    """Add the ids to every line of this task within a ``with`` block."""
    ids = {"request_id": request_id, "attempt_id": attempt_id}
    token = _context.set({name: id_ for name, id_ in ids.items() if id_})
    try:
        yield
    finally:
        _context.reset(token)


def _describe_error(error: Exception) -> str:
    # The details of these may quote a caller or a backend server.
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


def format_line(prefix: str, sentence: str, values: dict[str, object]) -> str:
    """Return one log line; fields not in :data:`FIELDS` are left out."""
    words = [f"{prefix}: {sentence}"]
    words += [
        f"{name}={_format_value(value)}"
        for name, value in values.items()
        if name in FIELDS
    ]
    return " ".join(words)


@dataclasses.dataclass(frozen=True, slots=True)
class Logger:
    """Writes the lines of one part."""

    prefix: str

    def _write(
        self, level: int, sentence: str, values: dict[str, object]
    ) -> None:
        standard_level = converter.absl_to_standard(level)
        if not logging.get_absl_logger().isEnabledFor(standard_level):
            return
        line = format_line(self.prefix, sentence, {**values, **_context.get()})
        # The position of the caller of info() and its kin is logged.
        logging.log(level, "%s", line, stacklevel=3)

    def debug(self, sentence: str, **values: object) -> None:
        """Log what a developer needs."""
        self._write(logging.DEBUG, sentence, values)

    def info(self, sentence: str, **values: object) -> None:
        """Log a change that operators expect."""
        self._write(logging.INFO, sentence, values)

    def warning(self, sentence: str, **values: object) -> None:
        """Log a fault that the system handles by itself."""
        self._write(logging.WARNING, sentence, values)

    def error(self, sentence: str, **values: object) -> None:
        """Log a fault that needs an operator."""
        self._write(logging.ERROR, sentence, values)


def make_logger(prefix: str) -> Logger:
    """Return the logger of one part."""
    return Logger(prefix)


class BoundedHandler(standard_logging.Handler):
    """Writes lines to a descriptor, without ever waiting for its reader.

    Lines over :data:`LINES_PER_S` and lines that the reader has no room
    for are dropped; the next line that is written says how many.

    Parameters
    ----------
    descriptor : int
        Where to write.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._left = float(LINES_PER_S)
        self._filled_s = time.monotonic()
        self.dropped = 0

    def _take_room(self, now_s: float) -> bool:
        self._left += (now_s - self._filled_s) * LINES_PER_S
        self._left = min(self._left, 2.0 * LINES_PER_S)
        self._filled_s = now_s
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if not self._take_room(time.monotonic()) or not self._poll.poll(0):
            self.dropped += 1
            return
        lost = f" dropped_before={self.dropped}" if self.dropped else ""
        self.dropped = 0
        line = f"{_LETTERS.get(record.levelno, '?')} {record.getMessage()}"
        if record.exc_info:
            text = "".join(traceback.format_exception(*record.exc_info))
            line += f" traceback={text[-MAX_TRACEBACK_CHARS:]!r}"
        data = f"{line}{lost}\n".encode(errors="replace")
        try:
            os.write(self._descriptor, data[:MAX_LINE_BYTES])
        except OSError:
            # Nobody reads: there is no other place to say so.
            self.dropped += 1


_LETTERS = {
    standard_logging.DEBUG: "D",
    standard_logging.INFO: "I",
    standard_logging.WARNING: "W",
    standard_logging.ERROR: "E",
}


def set_up_stdout() -> None:
    """Send lines to standard output, bounded and never waiting."""
    flags.FLAGS(["sycamorespool"])
    root = standard_logging.getLogger()
    root.handlers[:] = [BoundedHandler(1)]
    logging.set_verbosity(logging.INFO)


def set_up(verbosity: int = logging.INFO) -> None:
    """Send lines to standard error by absl's handler."""
    # absl has flags of its own; the command line here is Fire's.
    flags.FLAGS(["sycamorespool"])
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
