"""Holds a caller's request on a hosted platform, with its headers decoded."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Holds one request of a caller.

    Parameters
    ----------
    attempt_id : str
        The caller's id of this attempt, which the backend server's answer
        repeats.
    path : str
        Path without the query.
    target : str
        Path and query as they were received.
    key : str
        API key, empty if there is none.
    model : str
        Name of the requested model, empty for a plain service.
    deadline_s : float
        How long the caller waits for the answer, infinite if not given.
    resume_after : str
        Id of the last event of a stream that the caller has received, or
        empty.
    prompt_parts : tuple of str
        Ids of the parts of the prompt in order; requests may share parts,
        except for the last one, which is the request's own.
    prompt_tokens, answer_tokens : int
        Tokens of the prompt and expected tokens of the answer; 0 if the
        caller does not tell.
    headers : dict
        Headers to pass on, by lower-case name, as
        ``http_client.join_headers`` returns them.
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
    prompt_parts: tuple[str, ...]
    headers: dict[str, str]
    body: bytes
    prompt_tokens: int = 0
    answer_tokens: int = 0
