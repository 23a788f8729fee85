"""Chooses the entry to which a call is passed on.

An entry that reaches no server for a call passes it on to another entry, at
random, so that the calls of several such entries do not all reach one::

    name = choose(directory.entries, request, 0.37)
"""

from collections import abc
import dataclasses

from sycamorespool.decisions import store_readers


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRequest:
    """Holds the constraints of a call on the entry that is to serve it.

    Parameters
    ----------
    own_name : str
        Name of the entry that passes the call on.
    own_region : str
        Region where it runs.
    regions : frozenset of str or None
        Regions that may handle the call; None for all.
    excluded : collection of str
        Names of the entries that are not to get it.
    """

    own_name: str
    own_region: str
    regions: frozenset[str] | None
    excluded: abc.Collection[str]


def choose(
    entries: abc.Mapping[str, store_readers.Entry],
    region_of: abc.Mapping[str, str],
    request: PeerRequest,
    fraction: float,
) -> str | None:
    """Return the name of an entry, None if there is none.

    It is one of the regions that may handle the call if possible, and of
    these one of the own region.

    Parameters
    ----------
    entries : mapping
        The entries that announced themselves, by name.
    region_of : mapping
        Region by data centre.
    fraction : float
        A random number in 0..1.
    """
    regions = {
        name: region_of.get(entry.data_centre, "")
        for name, entry in sorted(entries.items())
        if name != request.own_name and name not in request.excluded
    }
    near = [n for n, region in regions.items() if region == request.own_region]
    allowed = [
        name
        for name, region in regions.items()
        if request.regions is None or region in request.regions
    ]
    both = [name for name in near if name in allowed]
    names = both or allowed or near
    return names[int(fraction * len(names))] if names else None
