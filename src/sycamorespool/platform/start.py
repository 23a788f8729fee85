"""Starts an entry with the settings file that the environment names."""

import os
import signal
import sys

# SIGHUP is ignored before the slow imports, so that a request to reload that
# arrives meanwhile does not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sycamorespool import early_listening  # noqa: E402

SETTINGS_VARIABLE = "SYCAMORESPOOL_NODE_FILE"
settings_path = os.environ.get(SETTINGS_VARIABLE, "")
listening = early_listening.listen_for_callers(settings_path)

import trio  # noqa: E402

from sycamorespool import exceptions  # noqa: E402
from sycamorespool import hosted  # noqa: E402
from sycamorespool import logs  # noqa: E402


def main() -> int:
    """Run an entry until a signal stops it; return the exit code."""
    logs.set_up_stdout()
    log = logs.make_logger("entry")
    try:
        trio.run(hosted.run, settings_path, listening)
    except exceptions.SettingsError as error:
        log.error("not started, settings not valid", error=error)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
