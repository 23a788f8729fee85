"""Chooses stably among names without coordination: rendezvous hashing.

Each pair of key and name gets a weight; the name with the highest weight is
chosen.  When a name is removed, only the keys that chose it move::

    >>> rank("domain/d1", ["entry-2", "entry-1"]) == rank(
    ...     "domain/d1", ["entry-1", "entry-2"]
    ... )
    True
"""

import hashlib
import typing as t

# All weights are less than this.
WEIGHT_LIMIT = 2**64


def weigh(key: str, name: str) -> int:
    """Return the 64-bit weight of a name for a key."""
    text = f"{key}\0{name}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, names: t.Iterable[str]) -> list[str]:
    """Return the names in descending order of their weight for the key."""
    return sorted(
        set(names), key=lambda name: (weigh(key, name), name), reverse=True
    )


def choose(key: str, names: t.Iterable[str]) -> str | None:
    """Return the name chosen for the key, or None if there are no names."""
    ranked = rank(key, names)
    return ranked[0] if ranked else None
