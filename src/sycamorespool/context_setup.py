"""Makes the shared state of an entry on a hosted platform at its start."""

import random
import time

import trio

from sycamorespool.decisions.placing import placement_state
from sycamorespool.decisions.placing import server_limits
from sycamorespool.decisions import registry
from sycamorespool import entry_context
from sycamorespool import http_client
from sycamorespool import node_settings
from sycamorespool.platform import store
from sycamorespool import short_calls

# Entries that start together would all read the store on their own until they
# know each other.
MAX_DIRECTORY_WAIT_S = 1.2
# Length of all answers together that are being read from the store, of which
# one has up to 1.5 MiB, and from other entries.
MAX_STORE_BYTES = 12 * 1024 * 1024
MAX_PEER_BYTES = 8 * 1024 * 1024


def list_partitions(
    settings: node_settings.Settings,
) -> tuple[server_limits.Partition, ...]:
    """Return all partitions that the store divides among the entries."""
    parts = range(settings.platform.partitions)
    return tuple(
        (topic, part) for topic in entry_context.SHARE_TOPICS for part in parts
    )


def make_context(
    settings: node_settings.Settings,
) -> entry_context.EntryContext:
    """Make the context of an entry whose process starts now."""
    pool = http_client.make_pool(max_held_bytes=MAX_STORE_BYTES)
    incarnation = int(time.time() * 1000)
    regions = node_settings.map_regions(settings.entry)
    return entry_context.EntryContext(
        settings,
        incarnation,
        store.Store(pool, settings.platform.address),
        placement_state.PlacementState(registry.Registry(), regions),
        short_calls.Caller(),
        http_client.make_pool(max_held_bytes=MAX_PEER_BYTES),
        random.Random(f"{settings.entry.name}/{incarnation}"),
        server_limits.ServerLimits(list_partitions(settings)),
        directory_due_s=trio.current_time() + MAX_DIRECTORY_WAIT_S,
    )
