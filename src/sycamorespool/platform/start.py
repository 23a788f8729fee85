"""Starts an entry with the settings file that a hosted platform names."""

import os
import sys

import trio

from sycamorespool import exceptions
from sycamorespool import hosted
from sycamorespool import logs

SETTINGS_VARIABLE = "SYCAMORESPOOL_NODE_FILE"


def main() -> int:
    """Run an entry until it is told to stop; return the exit code."""
    logs.set_up_stdout()
    log = logs.make_logger("entry")
    try:
        trio.run(hosted.run, os.environ.get(SETTINGS_VARIABLE, ""))
    except exceptions.SettingsError as error:
        log.error("not started", error=error)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
