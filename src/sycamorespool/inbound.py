"""A caller's request on a hosted platform, decoded once."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Inbound:
    """One request of a caller.

    Parameters
    ----------
    attempt_id : str
        The caller's id of this attempt, which the backend server repeats.
    path : str
        Path without the query.
    target : str
        Path and query as they were sent.
    key : str
        API key, empty if there is none.
    model : str
        Model asked for, empty for a plain service.
    deadline_s : float
        How long the caller waits, infinite if it does not say.
    resume_after : str
        Id of the last event that the caller has of a stream, or empty.
    headers : dict
        Headers to pass on, by lower-case name.
    """

    attempt_id: str
    method: str
    host: str
    path: str
    target: str
    key: str
    model: str
    deadline_s: float
    resume_after: str
    headers: dict[str, str]
    body: bytes
