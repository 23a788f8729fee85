"""Asks an entry of a hosted platform where a request would go now."""

import typing as t

import msgspec
import trio

from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool.operators import commands
from sycamorespool.operators import tables

PATH = "/explain"


class _Candidate(msgspec.Struct):
    server: str
    data_centre: str
    group: str
    requests: float
    first_token_s: float | None
    obstacle: str


class _Answer(msgspec.Struct):
    outcome: str
    chosen: str
    version: int
    route: str
    workspace: str
    service: str
    rank: int
    candidates: tuple[_Candidate, ...]


def _format(answer: _Answer) -> str:
    lines = [
        f"outcome    {answer.outcome}",
        f"server     {answer.chosen or '-'}",
        f"route      {answer.route or '-'} (version {answer.version})",
        f"workspace  {answer.workspace or '-'}",
        f"service    {answer.service or '-'}",
        f"rank       {answer.rank}",
    ]
    rows = [
        (
            candidate.server,
            candidate.data_centre,
            candidate.group or "-",
            f"{candidate.requests:g}",
            "-"
            if candidate.first_token_s is None
            else f"{candidate.first_token_s:.3f}",
            candidate.obstacle or "none",
        )
        for candidate in answer.candidates
    ]
    titles = ["SERVER", "DC", "GROUP", "REQUESTS", "FIRST_S", "OBSTACLE"]
    table = tables.format_table(titles, rows)
    return "\n".join([*lines, "", table])


async def _ask(
    address: str, question: dict[str, t.Any], timeout_s: float
) -> http_client.Response:
    async with http_client.make_pool(1) as pool:
        return await http_client.exchange(
            pool,
            "POST",
            f"http://{address}{PATH}",
            msgspec.json.encode(question),
            timeout_s,
        )


def ask(
    addresses: tuple[str, ...], question: dict[str, t.Any], timeout_s: float
) -> commands.Result:
    """Ask the first entry that answers; nothing is sent to a server.

    Parameters
    ----------
    addresses : tuple of str
        Metrics addresses of entries, ``IP:port``.
    question : dict
        The request, as the entry's ``Question`` describes it.

    Raises
    ------
    OperatorUnreached
        If no entry answers.
    OperatorRefused
        If the question is not valid.
    """
    errors = []
    for address in addresses:
        try:
            found = trio.run(_ask, address, question, timeout_s)
        except (
            http_client.NotReached,
            http_client.ExchangeFailed,
        ) as error:
            errors.append(str(error))
            continue
        if found.status != 200:
            detail = found.body.decode(errors="replace").strip()
            raise exceptions.OperatorRefused(found.status, detail)
        answer = decoding.decode_json(found.body, _Answer)
        return commands.Result(msgspec.to_builtins(answer), _format(answer))
    raise exceptions.OperatorUnreached("; ".join(errors))
