"""The exceptions of sycamorespool.

Every error derives from :class:`SycamorespoolError`.  Each layer has a
branch of its own and turns the errors of the layer below into it::

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
    """The root of all errors that sycamorespool raises."""


class SettingsError(SycamorespoolError):
    """A settings file is not acceptable.

    Parameters
    ----------
    section, key : str
        Where the fault is.
    problem : str
        What is wrong and what is accepted.
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
        All of them.
    """

    def __init__(self, faults: tuple[SettingsError, ...]) -> None:
        problem = "".join(f"\n  {fault}" for fault in faults)
        super().__init__("file", f"{len(faults)} faults", problem)
        self.faults = faults


class ConfigurationError(SycamorespoolError):
    """A patch yields a configuration that is not valid."""


class PatchConflict(ConfigurationError):
    """A patch names a version that is no longer the newest.

    Parameters
    ----------
    base_version : int
        The version that the patch names.
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
    """The records of the log don't yield a state."""


class SnapshotInvalid(ReplayError):
    """A snapshot is malformed or of an unknown format."""


class PlatformError(SycamorespoolError):
    """A call to the platform failed."""


class PlatformUnavailable(PlatformError):
    """The platform did not take the call; it had no effect."""


class OutcomeLost(PlatformError):
    """The answer of the platform was lost; the call may have had effect."""


class RecordsExpired(PlatformError):
    """The log no longer keeps the records asked for.

    Parameters
    ----------
    first_offset : int
        The oldest offset that the log still keeps.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"records before offset {first_offset} are expired")
        self.first_offset = first_offset


class KeyHistoryLost(PlatformError):
    """Records of idempotency keys expired before a snapshot held them."""


class PeerError(SycamorespoolError):
    """A call to another entry failed."""


class PeerUnavailable(PeerError):
    """The other entry did not answer within the time allowed."""


class PeerRejected(PeerError):
    """A message from another entry is malformed or not authentic."""


class BackendError(SycamorespoolError):
    """A call to a backend server failed."""


class BackendNotReached(BackendError):
    """No byte of the request was sent; the backend did not run it."""


class BackendRefused(BackendError):
    """The backend server itself refused the call; it did not run it.

    Parameters
    ----------
    status : int
        The HTTP status of the refusal.
    detail : str
        What the backend server gave as its reason.
    """

    def __init__(self, status: int, detail: str = "") -> None:
        super().__init__(f"backend server refused with {status}: {detail}")
        self.status = status
        self.detail = detail


class BackendCut(BackendError):
    """The answer ended early or was malformed; the call may have run."""


class RequestError(SycamorespoolError):
    """A caller's request cannot be answered as asked."""


class NotRun(RequestError):
    """The request was not run by any backend server.

    Parameters
    ----------
    code : str
        Stable code of the cause, as listed in the error reference.
    detail : str
        One sentence for the caller.
    status : int
        HTTP status of the refusal.
    retry_after_s : float, optional
        When the caller may come back.
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
        Stable code of the cause, as listed in the error reference.
    detail : str
        One sentence for the caller.
    status : int
        HTTP status of the answer.
    """

    def __init__(self, code: str, detail: str, status: int = 502) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.status = status


class CallerStalled(RequestError):
    """The caller did not take the bytes of its answer in time."""


class OperatorError(SycamorespoolError):
    """A call of an operator's client failed."""


class OperatorUnreached(OperatorError):
    """No entry answered; the call had no effect."""


class OperatorAnswerLost(OperatorError):
    """The answer was lost; the call may have had effect."""


class OperatorRefused(OperatorError):
    """An entry refused the call; it had no effect.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    detail : str
        What the entry gave as its reason.
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
        The state that contradicts it.
    """

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name
        self.detail = detail
