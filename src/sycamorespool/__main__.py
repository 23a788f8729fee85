"""Run the command line with ``python -m sycamorespool``."""

from sycamorespool import cli

if __name__ == "__main__":
    cli.main()
