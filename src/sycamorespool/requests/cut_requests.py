"""Collects the requests whose connections backend servers closed too early.

:mod:`sycamorespool.store.server_ends` finds out which of the servers have
ended.
"""

import dataclasses

import trio

from sycamorespool import backends
from sycamorespool.decisions.faults import fatal_traits


@dataclasses.dataclass(slots=True)
class CutRequests:
    """Collects the requests whose connections a server closed too early.

    Parameters
    ----------
    prompts : dict
        Traits of the requests that had no answer yet, by server.
    added : trio.Event
        Set when a request was added.
    """

    prompts: dict[backends.Backend, set[fatal_traits.Traits]] = (
        dataclasses.field(default_factory=dict)
    )
    added: trio.Event = dataclasses.field(default_factory=trio.Event)

    def add(
        self, backend: backends.Backend, traits: fatal_traits.Traits
    ) -> None:
        """Add a request."""
        self.prompts.setdefault(backend, set()).add(traits)
        self.added.set()

    def take(self) -> dict[backends.Backend, set[fatal_traits.Traits]]:
        """Return all requests added since the last call."""
        taken, self.prompts = self.prompts, {}
        self.added = trio.Event()
        return taken
