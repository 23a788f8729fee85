"""The promises of the system, asserted inside the running program.

A part that relies on a promise checks it and takes the safe action if it
does not hold::

    if not invariants.check(
        "whole_group_serves", group.is_whole, f"group={group.group_id}"
    ):
        return None  # no grant

In strict mode, as in tests, a promise that does not hold raises.  In
production it is counted, logged and exported, and the program goes on.
"""

import collections
from collections import abc
import contextlib

from absl import logging

from sycamorespool import exceptions

PROMISES: dict[str, str] = {
    "whole_group_serves": "No group serves while a member is missing.",
    "vm_in_one_group": "No VM belongs to two groups at once.",
    "load_within_limit": (
        "A backend server receives no more load than it can bear."
    ),
    "out_of_service_idle": (
        "What operators have taken out receives no new work after seconds."
    ),
    "answer_whole": (
        "Every caller receives the whole answer to its own request."
    ),
    "not_run_is_true": "A refusal that says 'not run' is true.",
    "key_runs_once": "A call that is not idempotent runs at most once.",
    "leaving_vm_idle": (
        "A leaving backend server receives no new work after seconds."
    ),
    "graceful_stop": "A planned stop cuts off no request in flight.",
    "configuration_never_reverts": (
        "An accepted configuration is in force everywhere and never reverts."
    ),
    "order_under_lease": "An order is sent only under a live lease.",
    "epoch_never_falls": "The epoch of a unit never falls.",
}

violations: collections.Counter[str] = collections.Counter()
_listeners: list[abc.Callable[[str, str], None]] = []
_is_strict = False


def set_strict(is_strict: bool) -> None:
    """Choose whether a promise that does not hold raises."""
    global _is_strict
    _is_strict = is_strict


@contextlib.contextmanager
def strict(is_strict: bool = True) -> abc.Iterator[None]:
    """Be strict, or not, for the time of a ``with`` block."""
    before = _is_strict
    set_strict(is_strict)
    try:
        yield
    finally:
        set_strict(before)


def listen(listener: abc.Callable[[str, str], None]) -> None:
    """Call a function with name and detail of each violation from now on."""
    _listeners.append(listener)


def check(name: str, holds: bool, detail: str = "") -> bool:
    """Check one promise and return whether it holds.

    Parameters
    ----------
    name : str
        Key of :data:`PROMISES`.
    holds : bool
        Whether the promise holds now.
    detail : str
        The state that decided it, as ``key=value`` fields.

    Raises
    ------
    InvariantViolation
        If it does not hold and the mode is strict.
    KeyError
        If there is no promise of this name.
    """
    promise = PROMISES[name]
    if holds:
        return True
    violations[name] += 1
    logging.error("invariant: %s name=%s %s", promise, name, detail)
    for listener in _listeners:
        listener(name, detail)
    if _is_strict:
        raise exceptions.InvariantViolation(name, detail)
    return False
