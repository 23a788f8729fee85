"""Runs an entry of which one task fails when a test wants it.

No bytes from outside are known to end a task, so that the fault is put in.
"""

import signal

# As the command does: a reload signal must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from sycamorespool import cli  # noqa: E402
from sycamorespool.platform import wire  # noqa: E402

FAILING_CONFIG = b'{"version":"fails"}'


def _make_failing(decode):
    def decode_or_fail(value):
        if value == FAILING_CONFIG:
            raise RuntimeError("a fault of the test")
        return decode(value)

    return decode_or_fail


def main(path):
    """Run ``sycamorespool hosted`` with the settings of a file."""
    wire.decode_config = _make_failing(wire.decode_config)
    sys.argv[1:] = ["hosted", path]
    cli.main()


if __name__ == "__main__":
    main(sys.argv[1])
