"""Prints what fatal requests do to simulated fleets, by the present rule.

::

    PYTHONPATH=src:. python -m tests.decisions.fatal_request_table 3
"""

import itertools
import sys

from tests.decisions import fatal_request_world as worlds

KINDS = {"plain": worlds.PLAIN, "engines": worlds.ENGINES}
ENTRIES = (8, 195)
IDENTITIES = (1, 3, 8)
FATAL_PER_S = (0.3, 2.0, 10.0)
COLUMNS = (
    "Servers",
    "Entries",
    "Fatal requests",
    "A second",
    "Servers that ended",
    "Most late sends of one",
    "Late after a known third end",
    "Sound attempts refused",
    "Sound requests blocked",
)


def _join(counts):
    return ", ".join(map(str, counts))


def _format_line(cells):
    return f"| {' | '.join(map(str, cells))} |"


def make_row(kind, entries, identities, fatal_per_s, seeds):
    """Return a line of the table; each seed is a play."""
    play = worlds.Play(KINDS[kind], entries, identities, fatal_per_s)
    played = [worlds.run_play(play, seed) for seed in seeds]
    refused = sum(world.outcomes["blocked"] for world in played)
    sound = sum(world.outcomes.total() for world in played)
    cells = [
        kind,
        entries,
        identities,
        fatal_per_s,
        _join(sum(map(len, world.ends.values())) for world in played),
        _join(max(world.count_all_late()) for world in played),
        _join(max(world.count_all_known_late()) for world in played),
        f"{refused} of {sound:,}",
        _join(len(world.list_wrongly_blocked()) for world in played),
    ]
    return _format_line(cells)


def main(seed_count):
    """Print the table."""
    print(_format_line(COLUMNS))
    print(_format_line(["---"] * len(COLUMNS)))
    seeds = range(1, seed_count + 1)
    for values in itertools.product(KINDS, ENTRIES, IDENTITIES, FATAL_PER_S):
        print(make_row(*values, seeds), flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]))
