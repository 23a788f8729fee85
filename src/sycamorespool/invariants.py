"""Asserts the invariants of the system inside the running program.

Code that relies on an invariant checks it, and takes the safe action if it
does not hold::

    if not invariants.check(
        "whole_group_serves", group.is_whole, f"group={group.group_id}"
    ):
        return None  # no grant

In strict mode, as in tests, a violation raises an exception.  In production
it is counted, logged and exported, and the program continues.
"""

import collections
from collections import abc
import contextlib

from absl import logging

from sycamorespool import exceptions

INVARIANTS: dict[str, str] = {
    "whole_group_serves": "No group serves while a member is missing.",
    "vm_in_one_group": "No VM belongs to two groups at once.",
    "load_within_limit": (
        "A backend server receives no more load than its limit allows."
    ),
    "out_of_service_idle": (
        "A VM or data centre that operators took out of service receives no "
        "new work after a few seconds."
    ),
    "answer_whole": (
        "Every caller receives the whole answer to its own request."
    ),
    "not_run_is_true": "A request that is refused as 'not run' did not run.",
    "key_runs_once": "A call that is not idempotent runs at most once.",
    "leaving_vm_idle": (
        "A leaving backend server receives no new work after a few seconds."
    ),
    "graceful_stop": "A planned stop cuts off no request in flight.",
    "configuration_never_reverts": (
        "An accepted configuration is in force everywhere and never reverts."
    ),
    "order_under_lease": "An order is sent only under a live lease.",
    "epoch_never_falls": "The epoch of a unit never decreases.",
}

violations: collections.Counter[str] = collections.Counter()
_listeners: list[abc.Callable[[str, str], None]] = []
_is_strict = False


def set_strict(is_strict: bool) -> None:
    """Choose whether a violation raises an exception."""
    global _is_strict
    _is_strict = is_strict


@contextlib.contextmanager
def strict(is_strict: bool = True) -> abc.Iterator[None]:
    """Set strict mode on or off for the duration of a ``with`` block."""
    before = _is_strict
    set_strict(is_strict)
    try:
        yield
    finally:
        set_strict(before)


def add_listener(listener: abc.Callable[[str, str], None]) -> None:
    """Register a function to call with each violation's name and detail."""
    _listeners.append(listener)


def check(name: str, holds: bool, detail: str = "") -> bool:
    """Check one invariant and return whether it holds.

    Parameters
    ----------
    name : str
        Key of :data:`INVARIANTS`.
    holds : bool
        Whether the invariant holds now.
    detail : str
        The state that determined ``holds``, as ``key=value`` fields.

    Raises
    ------
    InvariantViolation
        If the invariant does not hold and the mode is strict.
    KeyError
        If there is no invariant of this name.
    """
    description = INVARIANTS[name]
    if holds:
        return True
    violations[name] += 1
    logging.error("invariant: %s name=%s %s", description, name, detail)
    for listener in _listeners:
        listener(name, detail)
    if _is_strict:
        raise exceptions.InvariantViolation(name, detail)
    return False
