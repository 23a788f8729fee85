"""Numbers the claims of owners, so that engines refuse former owners' orders.

A fencing number has to be unique and higher than those of all earlier
claims.  Offsets alone are neither once the platform's store was restored
from an older copy, as it then gives out the same offsets again.  The
timeline of the store, which each restore increases, comes first::

    >>> make_number(timeline=0, offset=7)
    8
    >>> make_number(timeline=2, offset=0) > make_number(1, 5_000_000)
    True
"""

# Claims that one timeline of the store can number.  With the groups counted
# under each claim, numbers stay below 2**53, which any JSON parser reads
# exactly, for 100,000 restores.
CLAIMS_PER_TIMELINE = 2**24


def make_number(timeline: int, offset: int) -> int:
    """Return the fencing number of the claim at an offset of a timeline."""
    return timeline * CLAIMS_PER_TIMELINE + offset + 1
