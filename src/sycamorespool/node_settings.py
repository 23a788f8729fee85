"""Reads the settings of an entry on a hosted platform from an INI file.

The platform renders the file from ``deploy/entry.ini`` at every start and
whenever a setting changes.
"""

import msgspec

from sycamorespool import settings


class EntrySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the entry's name and location.

    Parameters
    ----------
    regions : str
        Data centres with their regions, as ``dc-1:west,dc-2:east``.
    link_mbps : float
        Bandwidth of its VM's network link; 0 if it is not known.
    """

    name: settings.Name
    data_centre: settings.Name
    regions: str = ""
    link_mbps: float = 0.0


class ListenSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the addresses, as ``IP:port``, at which the entry listens."""

    callers: settings.Address
    readiness: settings.Address
    metrics: settings.Address
    peers: settings.Address


class PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describes the platform's store and the heartbeats of backend servers.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    partitions : int
        Number of partitions of a topic.
    least_ttl_ms : float
        Shortest time, which the store allows, after which a silent member of
        a consumer group loses its partitions.
    heartbeat_ms : float
        Time between the heartbeats of a backend server.
    """

    address: settings.Address
    partitions: settings.Count = 1
    least_ttl_ms: float = 1000.0
    heartbeat_ms: float = 1000.0


class BoundsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds limits that the operators set for the behaviour of the fleet.

    Parameters
    ----------
    revoke_ms : float
        Time after which a revoked API key is no longer accepted.
    stop_s : float
        Time from SIGTERM until the process is killed.
    stall_ms : float
        How long a group that lost a member stalls before it breaks.
    retry_ratio, retry_extra, retry_window_s : float
        Retries that the fleet may send to a service within a window of
        ``retry_window_s``: ``retry_ratio`` of the number of requests, plus
        ``retry_extra``.
    cold_over, cold_slack : float
        Requests a second that a cold server may get: ``cold_over`` times
        those that it can handle, plus ``cold_slack``.
    load_over : float
        Loads from the weight store that the fleet may begin, as a multiple
        of the published loads a second.
    load_window_s : float
        Time over which these loads are counted.
    """

    revoke_ms: float = 5000.0
    stop_s: settings.Seconds = 8.0
    stall_ms: float = 4000.0
    retry_ratio: float = 0.2
    retry_extra: float = 10.0
    retry_window_s: float = 10.0
    cold_over: float = 1.0
    cold_slack: float = 0.0
    load_over: float = 1.0
    load_window_s: float = 5.0


class BalancingSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Holds how requests and VMs are divided among servers and models.

    Parameters
    ----------
    by_engine_times : bool
        Whether the published times of model engines decide where a request
        goes, and which requests go first there.
    share_load : bool
        Whether entries tell each other what they have at the servers.
    follow_demand : bool
        Whether models get VMs by the work that callers ask for.
    """

    by_engine_times: bool = False
    share_load: bool = False
    follow_demand: bool = False


class LimitsSection(settings.LimitsSection, frozen=True):
    """Holds the limits of one entry.

    The limits of requests hold where the operators' configuration has none.
    """

    max_body_bytes: settings.Bytes = 8 * 1024 * 1024


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds all settings of an entry on a hosted platform."""

    entry: EntrySection
    listen: ListenSection
    platform: PlatformSection
    bounds: BoundsSection = BoundsSection()
    limits: LimitsSection = LimitsSection()
    balancing: BalancingSection = BalancingSection()


def map_regions(entry: EntrySection) -> dict[str, str]:
    """Return the region of each data centre."""
    pairs = (pair.partition(":") for pair in entry.regions.split(","))
    return {name.strip(): region.strip() for name, _, region in pairs if name}


def load(path: str) -> Settings:
    """Read the settings from a file.

    Raises
    ------
    SettingsError
        If the file cannot be read or has invalid settings.
    """
    return settings.load_as(path, Settings)


def find_changed_sections(before: Settings, after: Settings) -> list[str]:
    """Return the names of the sections that differ."""
    return [
        field.name
        for field in msgspec.structs.fields(Settings)
        if getattr(before, field.name) != getattr(after, field.name)
    ]
