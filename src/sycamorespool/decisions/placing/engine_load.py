"""Predicts how long a model engine takes to begin an answer.

An engine reads prompts in pieces, between the tokens of the answers that it
writes, so a request waits for the prompts before it, and each longer batch
makes every token slower.  The figures are those that the operators publish
for the service::

    times = service.engine.times
    predict_first_token_s(times, model, slots, load, work)

Placement asks for the cost of a request at each server, which adds to this
what the request does to those whose prompts wait there.  The load it answers
is a mix of long and short prompts, and more requests than slots.
"""

import dataclasses
import math

from sycamorespool import routing_table

# Ranks by which a request that is expected to miss its objective goes behind
# those that may still meet theirs.
LATE_RANKS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Holds the length of a request in tokens.

    Parameters
    ----------
    prompt_tokens, answer_tokens : int
        Tokens to read, and expected tokens of the answer.
    """

    prompt_tokens: int
    answer_tokens: int


@dataclasses.dataclass(slots=True)
class ServerLoad:
    """Holds what a server has to do, as far as it is known.

    Parameters
    ----------
    requests : float
        Requests at the server.
    postponed : float
        Those of them that wait there behind all others.
    unread : int
        Requests whose prompts are not read yet, without postponed ones.
    unread_tokens : int
        Tokens of these prompts.
    """

    requests: float = 0.0
    postponed: float = 0.0
    unread: int = 0
    unread_tokens: int = 0


def complete_work(
    times: routing_table.EngineTimes, prompt_tokens: int, answer_tokens: int
) -> Work:
    """Return the work of a request; usual lengths replace unknown ones."""
    return Work(
        prompt_tokens or times.usual_prompt_tokens,
        answer_tokens or times.usual_answer_tokens,
    )


def _find_step_s(
    times: routing_table.EngineTimes,
    model: routing_table.Model,
    requests: float,
) -> float:
    return model.pace * (times.step_s + times.per_request_s * requests)


def _find_read_s(
    times: routing_table.EngineTimes, model: routing_table.Model, tokens: int
) -> float:
    pairs = tokens * tokens / 2
    return model.pace * (
        tokens / times.read_tokens_per_s + pairs * times.per_pair_s
    )


def predict_wait_s(
    times: routing_table.EngineTimes,
    model: routing_table.Model,
    slots: int,
    load: ServerLoad,
) -> float:
    """Return how long a request waits for a slot, 0 if one is free.

    Postponed requests do not count, as it goes before them.
    """
    ahead = load.requests - load.postponed + 1 - slots
    if ahead <= 0:
        return 0.0
    step_s = _find_step_s(times, model, slots)
    return ahead * step_s * times.usual_answer_tokens / slots


def predict_first_token_s(
    times: routing_table.EngineTimes,
    model: routing_table.Model,
    slots: int,
    load: ServerLoad,
    work: Work,
) -> float:
    """Return the time until a server begins the answer to one more request.

    Parameters
    ----------
    slots : int
        Requests that the server runs at once.
    load : ServerLoad
        What the server has to do before it.
    work : Work
        Length of the request.
    """
    running = min(load.requests + 1, slots)
    step_s = _find_step_s(times, model, running)
    tokens = load.unread_tokens + work.prompt_tokens
    passes = math.ceil(tokens / times.chunk_tokens)
    read_s = _find_read_s(times, model, work.prompt_tokens)
    read_s += model.pace * load.unread_tokens / times.read_tokens_per_s
    wait_s = predict_wait_s(times, model, slots, load)
    return wait_s + read_s + passes * times.stride_steps * step_s


def predict_cost_s(
    times: routing_table.EngineTimes,
    model: routing_table.Model,
    slots: int,
    work: Work,
    load: ServerLoad,
) -> float:
    """Return the delay that a request meets and causes at a server.

    It delays those that are already there and whose prompts are unread.
    """
    own_s = predict_first_token_s(times, model, slots, load, work)
    return own_s + load.unread * _find_read_s(times, model, work.prompt_tokens)


def find_busy_s(
    times: routing_table.EngineTimes,
    model: routing_table.Model,
    slots: int,
    work: Work,
) -> float:
    """Return how long a request keeps a whole server busy."""
    step_s = _find_step_s(times, model, slots)
    read_s = _find_read_s(times, model, work.prompt_tokens)
    return read_s + work.answer_tokens * step_s / slots


def choose_rank(priority: int, expected_s: float, objective_s: float) -> int:
    """Return the rank of a request at an engine, 0 for the first.

    One that is expected to miss its objective has time left until its
    deadline, and would only make others miss theirs.

    Parameters
    ----------
    expected_s : float
        Time from its arrival until its answer is expected to begin.
    """
    is_late = bool(objective_s) and expected_s > objective_s
    return priority + LATE_RANKS if is_late else priority
