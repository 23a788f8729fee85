"""Reads the settings of a process from an INI file and validates them.

All faults of a file are reported at once, each with its section, its key
and the accepted values::

    [limits] queue_timeout_s: '500ms' is not accepted; wanted a number of
    seconds, as 2.5
"""

import configparser
import difflib
import ipaddress
import pathlib
import typing as t

import msgspec

from sycamorespool import exceptions

# Upper bound of :data:`Seconds`: one day.
MAX_SECONDS = 86400.0

Name: t.TypeAlias = t.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$",
        description="letters, digits, '-', '_' and '.', as entry-1",
    ),
]
Address: t.TypeAlias = t.Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        description="an IP number and port, as 10.0.0.7:8000 or [::1]:8000",
    ),
]
OptionalAddress: t.TypeAlias = t.Annotated[
    str,
    msgspec.Meta(description="nothing, or an IP number and port"),
]
Secret: t.TypeAlias = t.Annotated[
    str, msgspec.Meta(min_length=8, description="at least 8 characters")
]
Seconds: t.TypeAlias = t.Annotated[
    float,
    msgspec.Meta(
        ge=0.0, le=MAX_SECONDS, description="a number of seconds, as 2.5"
    ),
]
Retention: t.TypeAlias = t.Annotated[
    float,
    msgspec.Meta(
        ge=3600.0, description="a number of seconds from 3600, as 604800"
    ),
]
Bytes: t.TypeAlias = t.Annotated[
    int,
    msgspec.Meta(gt=0, description="a whole number of bytes, as 1048576"),
]
Megabytes: t.TypeAlias = t.Annotated[
    float, msgspec.Meta(ge=0.0, description="a number of MiB, as 200")
]
Limit: t.TypeAlias = t.Annotated[
    int,
    msgspec.Meta(ge=0, description="a whole number, or 0 for the default"),
]
Count: t.TypeAlias = t.Annotated[
    int,
    msgspec.Meta(ge=1, le=1024, description="a whole number from 1 to 1024"),
]
Rate: t.TypeAlias = t.Annotated[
    float,
    msgspec.Meta(gt=0.0, description="a number per second over 0, as 150"),
]


class EntrySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the name and the location of the entry."""

    name: Name
    data_centre: Name
    region: Name = "default"


class ListenSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the addresses, as ``IP:port``, on which the entry listens."""

    callers: Address
    operators: Address
    peers: Address


class PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds how the entry reaches the platform.

    Parameters
    ----------
    address : str
        ``IP:port`` of the log, the membership list and the store.
    log_read_lag_s : float
        Longest time by which reads may lag behind acknowledged appends.
    log_retention_s : float
        Minimum time for which the log keeps a record.
    """

    address: Address
    log_read_lag_s: Seconds = 0.0
    log_retention_s: Retention = 604800.0


class PeersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the settings of the protocol between entries.

    Parameters
    ----------
    shared_key : str
        Key that authenticates messages; it must be the same on every
        entry.
    ping_period_s : float
        Interval at which an entry pings others; it must be the same on
        every entry.
    """

    shared_key: Secret
    ping_period_s: Seconds = 1.0


class OperatorsSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Holds the key that the operators' API requires."""

    key: Secret


class StatsdSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds where metrics are sent; without an address they are not sent."""

    address: OptionalAddress = ""
    prefix: Name = "sycamorespool"


class LimitsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the limits of one entry.

    Parameters
    ----------
    queue_timeout_s : float
        Longest wait for a free slot on a backend server.
    request_timeout_s : float
        Longest duration of a request, from its admission to its last byte.
    idle_timeout_s : float
        Longest time in an open request without a byte from the backend
        server, or without one that the caller reads.
    head_timeout_s, body_timeout_s : float
        Longest time to receive the whole head, or the whole body, of a
        caller's request.
    keep_alive_timeout_s : float
        Longest wait for the next request on a caller's connection.
    max_head_bytes, max_body_bytes : int
        Largest head and body of a caller's request.
    drain_timeout_s : float
        Longest wait for open requests during shutdown.
    memory_mb : float
        Memory of the machine in MiB; 0 if it is not known.
    held_mb : float
        Most MiB held for callers; 0 for a part of ``memory_mb``.
    max_descriptors : int
        File descriptors that the process may open; 0 for the kernel's limit.
    max_connections : int
        Connections of callers; 0 for what the descriptors allow.
    """

    queue_timeout_s: Seconds = 5.0
    request_timeout_s: Seconds = 600.0
    idle_timeout_s: Seconds = 30.0
    head_timeout_s: Seconds = 5.0
    body_timeout_s: Seconds = 20.0
    keep_alive_timeout_s: Seconds = 60.0
    max_head_bytes: Bytes = 32 * 1024
    max_body_bytes: Bytes = 1024 * 1024
    drain_timeout_s: Seconds = 30.0
    memory_mb: Megabytes = 0.0
    held_mb: Megabytes = 0.0
    max_descriptors: Limit = 0
    max_connections: Limit = 0


class KeysSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the limits of idempotency keys, the same on every entry.

    Parameters
    ----------
    partitions : int
        Number of log streams over which the keys are partitioned.
        Changing it loses the recorded keys.
    appends_per_s : float
        Highest rate of appends for keys over the whole fleet.
    window_s : float
        How long a key is kept after its last change.
    log_retention_s : float
        How long the log keeps records.
    repeat_wait_s : float
        How long a repeated call waits for the outcome of the first one.
    """

    partitions: Count = 16
    appends_per_s: Rate = 150.0
    window_s: Seconds = 86400.0
    log_retention_s: Seconds = 86400.0
    repeat_wait_s: Seconds = 5.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds all settings of an entry."""

    entry: EntrySection
    listen: ListenSection
    platform: PlatformSection
    peers: PeersSection
    operators: OperatorsSection
    statsd: StatsdSection = StatsdSection()
    limits: LimitsSection = LimitsSection()
    keys: KeysSection = KeysSection()


_Sections: t.TypeAlias = dict[str, dict[str, str]]
_Faults: t.TypeAlias = list[exceptions.SettingsError]


def _suggest(unknown: str, known: t.Iterable[str]) -> str:
    matches = difflib.get_close_matches(unknown, known, n=1)
    hint = f"did you mean {matches[0]}? " if matches else ""
    return f"{hint}accepted: {', '.join(known)}"


def _describe(kind: t.Any) -> str:
    descriptions = [
        meta.description
        for meta in getattr(kind, "__metadata__", ())
        if isinstance(meta, msgspec.Meta) and meta.description
    ]
    return descriptions[0] if descriptions else str(kind)


def is_address(value: str) -> bool:
    """Tell whether a text is ``IP:port``, with an IPv6 address in brackets."""
    host, _, port = value.rpartition(":")
    try:
        number = ipaddress.ip_address(host.strip("[]"))
        is_bracketed = host.startswith("[") and host.endswith("]")
        return is_bracketed == (number.version == 6) and 0 < int(port) < 65536
    except ValueError:
        return False


def _is_accepted(value: str, kind: t.Any) -> bool:
    try:
        msgspec.convert(value, kind, strict=False)
    except msgspec.ValidationError:
        return False
    is_optional = kind is OptionalAddress
    if kind is Address or (is_optional and value):
        return is_address(value)
    return True


def _find_value_fault(
    section: str, key: str, value: str, kind: t.Any
) -> _Faults:
    if _is_accepted(value, kind):
        return []
    shown = "this value" if kind is Secret else repr(value)
    problem = f"{shown} is not accepted; wanted {_describe(kind)}"
    return [exceptions.SettingsError(section, key, problem)]


def _find_section_faults(
    name: str, model: type[msgspec.Struct], values: dict[str, str]
) -> _Faults:
    kinds = t.get_type_hints(model, include_extras=True)
    required = {f.name for f in msgspec.structs.fields(model) if f.required}
    faults = [
        exceptions.SettingsError(
            name, key, f"missing; wanted {_describe(kinds[key])}"
        )
        for key in kinds
        if key in required and key not in values
    ]
    for key, value in values.items():
        if key in kinds:
            faults += _find_value_fault(name, key, value, kinds[key])
        else:
            problem = f"unknown key; {_suggest(key, kinds)}"
            faults.append(exceptions.SettingsError(name, key, problem))
    return faults


def _find_duplicate_addresses(listen: dict[str, str]) -> _Faults:
    first: dict[str, str] = {}
    faults = []
    for key, value in listen.items():
        other = first.setdefault(value, key)
        if other != key:
            problem = f"{value!r} is the address of {other} too"
            faults.append(exceptions.SettingsError("listen", key, problem))
    return faults


def _find_faults(
    sections: _Sections, settings_type: type[msgspec.Struct]
) -> _Faults:
    models = t.get_type_hints(settings_type)
    faults = [
        exceptions.SettingsError(
            name, "section", f"unknown section; {_suggest(name, models)}"
        )
        for name in sections
        if name not in models
    ]
    fields = {f.name: f for f in msgspec.structs.fields(settings_type)}
    for name, model in models.items():
        if name in sections:
            faults += _find_section_faults(name, model, sections[name])
        elif fields[name].required:
            keys = ", ".join(t.get_type_hints(model))
            faults.append(
                exceptions.SettingsError(
                    name, "section", f"missing; it has the keys {keys}"
                )
            )
    return faults + _find_duplicate_addresses(sections.get("listen", {}))


_Model = t.TypeVar("_Model", bound=msgspec.Struct)


def parse(text: str) -> Settings:
    """Parse the text of an INI file into the settings of an entry.

    Raises
    ------
    SettingsError
        Under the conditions of :func:`parse_as`.
    """
    return parse_as(text, Settings)


def parse_as(text: str, model: type[_Model]) -> _Model:
    """Parse the text of an INI file into settings of a given type.

    Raises
    ------
    SettingsError
        If a section or key is unknown, missing or of a wrong type;
        several faults raise one ``SettingsFaults``.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.Error as error:
        # The message leaves out the lines of the file, as they may hold
        # keys.
        problem = f"{type(error).__name__} in line " + str(
            getattr(error, "lineno", None) or error.errors[0][0]
        )
        raise exceptions.SettingsError("file", "syntax", problem) from None
    sections = {name: dict(parser[name]) for name in parser.sections()}
    faults = _find_faults(sections, model)
    if len(faults) == 1:
        raise faults[0]
    if faults:
        raise exceptions.SettingsFaults(tuple(faults))
    return msgspec.convert(sections, model, strict=False)


def load(path: str) -> Settings:
    """Read the settings of an entry from a file.

    Raises
    ------
    SettingsError
        Under the conditions of :func:`load_as`.
    """
    return load_as(path, Settings)


def load_as(path: str, model: type[_Model]) -> _Model:
    """Read settings of a given type from a file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError("file", path, str(error)) from error
    return parse_as(text, model)
