"""Validates the fleet's configuration and applies patches to it.

The configuration is a versioned document in the platform's log.  Operators
change it with JSON merge patches (RFC 7396) against a version::

    >>> document = apply_merge_patch({"a": 1, "b": 2}, {"b": None, "c": 3})
    >>> document == {"a": 1, "c": 3}
    True

A document is valid if :func:`validate` accepts it.
"""

import typing as t

import msgspec

from sycamorespool import exceptions

PRIORITIES = ("high", "normal", "low")


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the settings of one customer's workspace.

    Parameters
    ----------
    key_hashes : tuple of str
        SHA-256 hex digests of the API keys that callers present.
    weight : float
        Share of the capacity, relative to the other workspaces.
    priority_weights : dict
        Relative share of each priority within the workspace.
    retry_ratio : float
        Retries allowed per request, as a fraction.
    """

    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    priority_weights: dict[str, float] = msgspec.field(
        default_factory=lambda: {"high": 4.0, "normal": 2.0, "low": 1.0}
    )
    retry_ratio: float = 0.1


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds a route of a plain service and whether it is idempotent."""

    method: str
    path: str
    idempotent: bool = False


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the settings of a model or a plain service.

    Parameters
    ----------
    kind : {"model", "plain"}
        A plain service consists of groups of one VM that load no weights.
    group_size : int
        Number of VMs of one replica.
    replicas : int
        Number of replicas over all data centres.
    model, version : str
        The weights to load.
    cold_limit, warm_limit : int
        Most requests in flight at a cold and at a warm replica.
    warm_after : int
        Requests that a cold replica completes before it may receive more
        than ``cold_limit`` at once.
    fencing : {"checked", "ignored"}
        Whether the backend servers reject orders with an old epoch.
    routes : tuple of Route
        Routes of a plain service.
    """

    kind: t.Literal["model", "plain"] = "model"
    group_size: int = 1
    replicas: int = 1
    model: str = ""
    version: str = "1"
    cold_limit: int = 1
    warm_limit: int = 16
    warm_after: int = 8
    fencing: t.Literal["checked", "ignored"] = "checked"
    routes: tuple[Route, ...] = ()


class Availability(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds whether a data centre or VM may take new work."""

    in_service: bool = True


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the whole configuration at one version."""

    services: dict[str, Service] = {}
    workspaces: dict[str, Workspace] = {}
    data_centres: dict[str, Availability] = {}
    vms: dict[str, Availability] = {}

    def is_in_service(self, data_centre: str, vm: str = "") -> bool:
        """Tell whether a data centre, and a VM in it, may take new work."""
        flags = (self.data_centres.get(data_centre), self.vms.get(vm))
        return all(flag is None or flag.in_service for flag in flags)


def apply_merge_patch(document: t.Any, patch: t.Any) -> t.Any:
    """Apply a JSON merge patch (RFC 7396) and return the new document."""
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = apply_merge_patch(result.get(key), value)
    return result


def _check_service(name: str, service: Service) -> None:
    checks = (
        (service.group_size >= 1, "group_size must be at least 1"),
        (service.replicas >= 0, "replicas must not be negative"),
        (service.cold_limit >= 1, "cold_limit must be at least 1"),
        (service.warm_after >= 0, "warm_after must not be negative"),
        (
            service.warm_limit >= service.cold_limit,
            "warm_limit must not be under cold_limit",
        ),
        (
            service.kind == "model" or service.group_size == 1,
            "a plain service has a group_size of 1",
        ),
    )
    for is_valid, problem in checks:
        if not is_valid:
            raise exceptions.ConfigurationError(f"services.{name}: {problem}")


def _check_workspace(name: str, workspace: Workspace) -> None:
    unknown = set(workspace.priority_weights) - set(PRIORITIES)
    checks = (
        (workspace.weight > 0, "weight must be over 0"),
        (not unknown, f"priority_weights: unknown {sorted(unknown)}"),
        (
            all(w > 0 for w in workspace.priority_weights.values()),
            "priority_weights must be over 0",
        ),
        (0 <= workspace.retry_ratio <= 1, "retry_ratio must be in 0..1"),
    )
    for is_valid, problem in checks:
        if not is_valid:
            raise exceptions.ConfigurationError(
                f"workspaces.{name}: {problem}"
            )


def validate(document: t.Any) -> Configuration:
    """Validate a document and return it as a configuration.

    Raises
    ------
    ConfigurationError
        If the document has an unknown key, a wrong type or a value out of
        range; the message gives its path.
    """
    try:
        config = msgspec.convert(document, Configuration)
    except msgspec.ValidationError as error:
        raise exceptions.ConfigurationError(str(error)) from error
    for name, service in config.services.items():
        _check_service(name, service)
    for name, workspace in config.workspaces.items():
        _check_workspace(name, workspace)
    return config
