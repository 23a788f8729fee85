"""Defines the exceptions of sycamorespool.

Every error derives from :class:`SycamorespoolError`.  Each layer has its
own branch and converts the errors of the layer below into it::

    SycamorespoolError
    +-- SettingsError
    |   +-- SettingsFaults
    +-- ConfigurationError
    |   +-- PatchConflict
    +-- Undecodable
    +-- ReplayError
    |   +-- SnapshotInvalid
    +-- PlatformError
    |   +-- PlatformUnavailable
    |   +-- OutcomeLost
    |   +-- RecordsExpired
    |   +-- TimelineChanged
    |   +-- KeyHistoryLost
    +-- PeerError
    |   +-- PeerUnavailable
    |   +-- PeerRejected
    +-- BackendError
    |   +-- BackendNotReached
    |   +-- BackendRefused
    |   +-- BackendCut
    |       +-- BackendClosed
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

from collections import abc


class SycamorespoolError(Exception):
    """Serves as the base class of all errors that sycamorespool raises."""


class SettingsError(SycamorespoolError):
    """Raised when a settings file is not valid.

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
    """Raised when a settings file has several faults.

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
    """Raised when a patch results in an invalid configuration."""


class PatchConflict(ConfigurationError):
    """Raised when a patch is based on a version that is no longer the newest.

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


class Undecodable(SycamorespoolError):
    """Raised when bytes from outside are no value of the expected type."""


class ReplayError(SycamorespoolError):
    """Raised when the records of the log cannot be replayed into a state."""


class SnapshotInvalid(ReplayError):
    """Raised when a snapshot is malformed or of an unknown format."""


class PlatformError(SycamorespoolError):
    """Raised when a call to the platform failed."""


class PlatformUnavailable(PlatformError):
    """Raised when the platform did not accept the call; it had no effect."""


class OutcomeLost(PlatformError):
    """Raised when the platform's answer was lost.

    The call may have taken effect.
    """


class RecordsExpired(PlatformError):
    """Raised when the requested records are no longer kept in the log.

    Parameters
    ----------
    first_offset : int
        The oldest offset that the log still keeps.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"records before offset {first_offset} are expired")
        self.first_offset = first_offset


class TimelineChanged(PlatformError):
    """Raised when the platform's store was restored from an older copy.

    Offsets from before the restore may name other records now, so the topic
    has to be read anew.

    Parameters
    ----------
    known, current : int
        Timeline of the offset, and the store's newest one.
    """

    def __init__(self, known: int, current: int) -> None:
        super().__init__(
            f"the store was restored: timeline {current} follows {known}"
        )
        self.known = known
        self.current = current


class KeyHistoryLost(PlatformError):
    """Raised when records of idempotency keys are lost.

    They expired before a snapshot covered them.
    """


class PeerError(SycamorespoolError):
    """Raised when a call to another entry failed."""


class PeerUnavailable(PeerError):
    """Raised when the other entry did not answer before the timeout."""


class PeerRejected(PeerError):
    """Raised when another entry's message is malformed or not authentic."""


class BackendError(SycamorespoolError):
    """Raised when a call to a backend server failed."""


class BackendNotReached(BackendError):
    """Raised when no byte of the request was sent.

    The backend did not run it.
    """


class BackendUnreachable(BackendNotReached):
    """Raised when no connection to a backend server could be made.

    Parameters
    ----------
    is_refused : bool
        Whether it was refused at once, and did not time out.
    """

    def __init__(self, detail: str, is_refused: bool) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


class BackendRefused(BackendError):
    """Raised when the backend server refused the call and did not run it.

    Parameters
    ----------
    status : int
        The HTTP status of the refusal.
    detail : str
        The reason that the backend server gave.
    headers : mapping, optional
        Headers of the refusal by lower-case name.
    """

    def __init__(
        self,
        status: int,
        detail: str = "",
        headers: abc.Mapping[str, str] | None = None,
    ) -> None:
        super().__init__(f"backend server refused with {status}: {detail}")
        self.status = status
        self.detail = detail
        self.headers = headers or {}


class BackendCut(BackendError):
    """Raised when the response was truncated or malformed.

    The call may have run.
    """


class BackendClosed(BackendCut):
    """Raised when a backend server closed the connection of an answer.

    Its process may have ended.
    """


class RequestError(SycamorespoolError):
    """Raised when a caller's request cannot be completed."""


class NotRun(RequestError):
    """Raised when the request was not run by any backend server.

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
    """Raised when the request may or may not have run.

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
    """Raised when the caller did not read its response before the timeout."""


class OperatorError(SycamorespoolError):
    """Raised when a call that an operator's client made failed."""


class OperatorUnreached(OperatorError):
    """Raised when no entry could be reached; the call had no effect."""


class OperatorAnswerLost(OperatorError):
    """Raised when the answer was lost; the call may have taken effect."""


class OperatorRefused(OperatorError):
    """Raised when an entry refused the call; it had no effect.

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
    """Raised when an invariant of the system does not hold.

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
