"""The command line."""


def main() -> None:
    """Run one command."""
    raise SystemExit("no command yet")
