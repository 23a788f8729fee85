"""Runs the command line with ``python -m sycamorespool``."""

import signal

# Ignored before the slow imports, so that a reload signal which arrives
# during them does not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sycamorespool import cli  # noqa: E402

if __name__ == "__main__":
    cli.main()
