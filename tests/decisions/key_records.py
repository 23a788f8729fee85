"""Builds log records of one key for the tests of idempotency keys."""

import collections

from sycamorespool.decisions import key_batches
from sycamorespool.decisions import keys
from sycamorespool import records

HOUR_S = 3600.0


def attempt(attempt_id, digest="d"):
    return keys.AttemptIdentity("w", "k", digest, attempt_id)


def intent(attempt_id, entry="e1", at_unix_s=1.0, digest="d"):
    return records.KeyIntent("w", "k", digest, attempt_id, entry, at_unix_s)


def outcome(attempt_id, body=b"ok"):
    return records.KeyOutcome("w", "k", attempt_id, 200, "text/plain", body)


def withdrawal(attempt_id):
    return records.KeyWithdrawal("w", "k", attempt_id)


def replay(*items, window_s=HOUR_S):
    state = keys.PartitionState()
    for offset, item in enumerate(items):
        record = item
        if not isinstance(item, records.KeyResolved):
            record = as_batch(item)
        keys.apply(state, offset, record, window_s)
    return state


def as_batch(item):
    return key_batches.take(
        key_batches.BatchPolicy(),
        key_batches.Batcher(1.0, pending=collections.deque([item])),
        "b",
        0.0,
    )


def resolved(attempt_id, resolution):
    return records.KeyResolved("s", "w", "k", attempt_id, resolution)
