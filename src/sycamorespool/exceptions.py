"""Define the exceptions of sycamorespool.

Every error derives from :class:`SycamorespoolError`.  Each layer has its
own branch and converts the errors of the layer below into it::

    SycamorespoolError
    +-- SettingsError
    |   +-- SettingsFaults
    +-- ConfigurationError
    |   +-- PatchConflict
    +-- ReplayError
    |   +-- SnapshotInvalid
    +-- PlatformError
    |   +-- PlatformUnavailable
    |   +-- OutcomeLost
    |   +-- RecordsExpired
    |   +-- KeyHistoryLost
    +-- PeerError
    |   +-- PeerUnavailable
    |   +-- PeerRejected
    +-- BackendError
    |   +-- BackendNotReached
    |   +-- BackendRefused
    |   +-- BackendCut
    +-- RequestError
    |   +-- NotRun
    |   +-- OutcomeUnknown
    |   +-- CallerStalled
    +-- OperatorError
    |   +-- OperatorUnreached
    |   +-- OperatorAnswerLost
    |   +-- OperatorRefused
    +-- InvariantViolation
"""


class SycamorespoolError(Exception):
    """Base class of all errors that sycamorespool raises."""


class SettingsError(SycamorespoolError):
    """A settings file is not valid.

    Parameters
    ----------
    section, key : str
        Section and key that are at fault.
    problem : str
        What is wrong and which values are accepted.
    """

    def __init__(self, section: str, key: str, problem: str) -> None:
        super().__init__(f"[{section}] {key}: {problem}")
        self.section = section
        self.key = key
        self.problem = problem


class SettingsFaults(SettingsError):
    """A settings file has several faults.

    Parameters
    ----------
    faults : tuple of SettingsError
        All faults, in the order in which they were found.
    """

    def __init__(self, faults: tuple[SettingsError, ...]) -> None:
        problem = "".join(f"\n  {fault}" for fault in faults)
        super().__init__("file", f"{len(faults)} faults", problem)
        self.faults = faults


class ConfigurationError(SycamorespoolError):
    """A patch results in an invalid configuration."""


class PatchConflict(ConfigurationError):
    """A patch is based on a version that is no longer the newest.

    Parameters
    ----------
    base_version : int
        The version that the patch is based on.
    current_version : int
        The version in force.
    """

    def __init__(self, base_version: int, current_version: int) -> None:
        super().__init__(
            f"patch is for version {base_version}, "
            f"but version {current_version} is in force"
        )
        self.base_version = base_version
        self.current_version = current_version


class ReplayError(SycamorespoolError):
    """The records of the log cannot be replayed into a state."""


class SnapshotInvalid(ReplayError):
    """A snapshot is malformed or of an unknown format."""


class PlatformError(SycamorespoolError):
    """A call to the platform failed."""


class PlatformUnavailable(PlatformError):
    """The platform did not accept the call; it had no effect."""


class OutcomeLost(PlatformError):
    """The platform's answer was lost; the call may have taken effect."""


class RecordsExpired(PlatformError):
    """The requested records are no longer kept in the log.

    Parameters
    ----------
    first_offset : int
        The oldest offset that the log still keeps.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"records before offset {first_offset} are expired")
        self.first_offset = first_offset


class KeyHistoryLost(PlatformError):
    """Records of idempotency keys expired before a snapshot covered them."""


class PeerError(SycamorespoolError):
    """A call to another entry failed."""


class PeerUnavailable(PeerError):
    """The other entry did not answer before the timeout."""


class PeerRejected(PeerError):
    """A message from another entry is malformed or not authentic."""


class BackendError(SycamorespoolError):
    """A call to a backend server failed."""


class BackendNotReached(BackendError):
    """No byte of the request was sent; the backend did not run it."""


class BackendRefused(BackendError):
    """The backend server refused the call and did not run it.

    Parameters
    ----------
    status : int
        The HTTP status of the refusal.
    detail : str
        The reason that the backend server gave.
    """

    def __init__(self, status: int, detail: str = "") -> None:
        super().__init__(f"backend server refused with {status}: {detail}")
        self.status = status
        self.detail = detail


class BackendCut(BackendError):
    """The response was truncated or malformed; the call may have run."""


class RequestError(SycamorespoolError):
    """A caller's request cannot be completed."""


class NotRun(RequestError):
    """The request was not run by any backend server.

    Parameters
    ----------
    code : str
        Stable error code, as listed in the error reference.
    detail : str
        One sentence that is shown to the caller.
    status : int
        HTTP status of the refusal.
    retry_after_s : float, optional
        Time after which the caller may retry.
    """

    def __init__(
        self,
        code: str,
        detail: str,
        status: int = 503,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.status = status
        self.retry_after_s = retry_after_s


class OutcomeUnknown(RequestError):
    """The request may or may not have run.

    Parameters
    ----------
    code : str
        Stable error code, as listed in the error reference.
    detail : str
        One sentence that is shown to the caller.
    status : int
        HTTP status of the answer.
    """

    def __init__(self, code: str, detail: str, status: int = 502) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.status = status


class CallerStalled(RequestError):
    """The caller did not read its response before the timeout."""


class OperatorError(SycamorespoolError):
    """A call that an operator's client made failed."""


class OperatorUnreached(OperatorError):
    """No entry could be reached; the call had no effect."""


class OperatorAnswerLost(OperatorError):
    """The answer was lost; the call may have taken effect."""


class OperatorRefused(OperatorError):
    """An entry refused the call; it had no effect.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    detail : str
        The reason that the entry gave.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"entry refused with {status}: {detail}")
        self.status = status
        self.detail = detail


class InvariantViolation(SycamorespoolError):
    """An invariant of the system does not hold.

    Parameters
    ----------
    name : str
        The invariant, as named in :mod:`sycamorespool.invariants`.
    detail : str
        The state that violates it.
    """

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name
        self.detail = detail
