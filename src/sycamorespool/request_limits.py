"""Finds the limits of callers' requests that are in force.

On a hosted platform the operators' configuration replaces the limits of the
settings, but a head that the settings allow is not refused.
"""

import msgspec

from sycamorespool import entry_context
from sycamorespool import settings


def find(context: entry_context.EntryContext) -> settings.LimitsSection:
    """Return the limits of callers that are in force."""
    limits = context.settings.limits
    if context.table is None:
        return limits
    given = context.table.limits
    return msgspec.structs.replace(
        limits,
        max_head_bytes=max(limits.max_head_bytes, given.max_head_bytes),
        max_body_bytes=given.max_body_bytes or limits.max_body_bytes,
        head_timeout_s=max(limits.head_timeout_s, given.head_timeout_s),
    )
