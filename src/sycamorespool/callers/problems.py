"""Error answers to callers, as ``application/problem+json``."""

import msgspec

from sycamorespool import asgi
from sycamorespool import exceptions

NOT_RUN = "not run"
OUTCOME_UNKNOWN = "outcome unknown"


class Problem(msgspec.Struct, omit_defaults=True):
    """Body of an error answer (RFC 9457).

    Parameters
    ----------
    code : str
        Code of the cause, which does not change between versions.
    outcome : {"not run", "outcome unknown"}
        Whether a backend server may have run the request.
    """

    type: str
    title: str
    status: int
    code: str
    outcome: str
    detail: str = ""


def describe(
    error: exceptions.NotRun | exceptions.OutcomeUnknown,
) -> Problem:
    """Return the body of the answer for an error."""
    was_not_run = isinstance(error, exceptions.NotRun)
    return Problem(
        f"urn:sycamorespool:{error.code}",
        error.code.replace("_", " "),
        error.status,
        error.code,
        NOT_RUN if was_not_run else OUTCOME_UNKNOWN,
        error.detail,
    )


def make_problem(
    error: exceptions.NotRun | exceptions.OutcomeUnknown,
) -> asgi.Response:
    """Return the answer for an error, with ``retry-after`` if it has one."""
    headers = {}
    retry_after_s = getattr(error, "retry_after_s", None)
    if retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(retry_after_s)))
    return asgi.Response(
        error.status,
        msgspec.json.encode(describe(error)),
        asgi.PROBLEM_TYPE,
        headers,
    )
