"""Settings of one process, read from an INI file and validated."""

import configparser
import ipaddress
import pathlib
import typing as t

import msgspec

from sycamorespool import exceptions


class EntrySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who the entry is and where it stands."""

    name: str
    data_centre: str
    region: str = "default"


class ListenSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses, as ``IP:port``, at which the entry listens."""

    callers: str
    operators: str
    peers: str


class PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's service.

    Parameters
    ----------
    address : str
        ``IP:port`` of the log, the membership list and the store.
    log_read_lag_s : float
        Bound on the lag of reads behind acknowledged appends.
    """

    address: str
    log_read_lag_s: float = 0.0


class PeersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The protocol between entries."""

    shared_key: str


class OperatorsSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """The operators' API."""

    key: str


class StatsdSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics go; no address means nowhere."""

    address: str = ""
    prefix: str = "sycamorespool"


class LimitsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of one entry."""

    queue_timeout_s: float = 5.0
    request_timeout_s: float = 120.0
    max_body_bytes: int = 1024 * 1024
    drain_timeout_s: float = 30.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of an entry."""

    entry: EntrySection
    listen: ListenSection
    platform: PlatformSection
    peers: PeersSection
    operators: OperatorsSection
    statsd: StatsdSection = StatsdSection()
    limits: LimitsSection = LimitsSection()


_ADDRESSES = (
    ("listen", "callers"),
    ("listen", "operators"),
    ("listen", "peers"),
    ("platform", "address"),
)


def _check_address(section: str, key: str, value: str) -> None:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_port = 0 < int(port) < 65536
    except ValueError:
        is_port = False
    if not is_port:
        raise exceptions.SettingsError(
            section, key, f"{value!r} is not an IP number and port (IP:port)"
        )


def _convert(sections: dict[str, dict[str, str]]) -> Settings:
    try:
        return msgspec.convert(sections, Settings, strict=False)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$.")
        section, _, key = path.rstrip("`").partition(".")
        raise exceptions.SettingsError(section, key, text) from error


def parse(text: str) -> Settings:
    """Turn the text of an INI file into settings.

    Raises
    ------
    SettingsError
        If a section or key is unknown, missing or of a wrong type.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise exceptions.SettingsError("file", "syntax", str(error)) from error
    settings = _convert(
        {name: dict(parser[name]) for name in parser.sections()}
    )
    for section, key in _ADDRESSES:
        value: t.Any = getattr(getattr(settings, section), key)
        _check_address(section, key, value)
    return settings


def load(path: str) -> Settings:
    """Read settings from a file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is not acceptable.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise exceptions.SettingsError("file", path, str(error)) from error
    return parse(text)
