"""Error answers towards callers, as ``application/problem+json``."""

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
        Stable code of the cause.
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
    """Return what a caller is told of an error."""
    is_run_excluded = isinstance(error, exceptions.NotRun)
    return Problem(
        f"urn:sycamorespool:{error.code}",
        error.code.replace("_", " "),
        error.status,
        error.code,
        NOT_RUN if is_run_excluded else OUTCOME_UNKNOWN,
        error.detail,
    )


def make_problem(
    error: exceptions.NotRun | exceptions.OutcomeUnknown,
) -> asgi.Response:
    """Return the error answer that tells whether the request was run."""
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
