"""Tests of the identities of requests."""

import dataclasses

import pytest

from sycamorespool.decisions.faults import end_causes
from sycamorespool.requests import caller_request
from sycamorespool.requests import request_identity

REQUEST = caller_request.CallerRequest(
    attempt_id="a1",
    method="POST",
    host="shop.example",
    path="/orders/1",
    target="/orders/1?n=2",
    key="caller-key",
    model="",
    deadline_s=5.0,
    resume_after="",
    prompt_parts=("aa",),
    headers={"accept": "*/*"},
    body=b"charge 7",
)


def identify(**changes):
    request = dataclasses.replace(REQUEST, **changes)
    return request_identity.identify(request)


class TestIdentify:
    @pytest.mark.parametrize(
        "changes",
        [
            {"attempt_id": "a2"},
            {"headers": {}},
            {"deadline_s": 1.0},
            {"resume_after": "3"},
            {"prompt_parts": ("aa", "bb")},
        ],
    )
    def test_repeated_request_has_the_same_identity(self, changes):
        assert identify(**changes) == identify()

    @pytest.mark.parametrize(
        "changes",
        [
            {"key": "other-key"},
            {"key": ""},
            {"target": "/orders/1"},
            {"target": "/orders/1?n=2c", "body": b"harge 7"},
            {"body": b""},
        ],
    )
    def test_another_request_has_another_identity(self, changes):
        assert identify(**changes) != identify()

    def test_identity_is_no_part_of_a_prompt_and_shows_nothing(self):
        identity = identify()
        assert end_causes.is_identity(identity)
        assert not end_causes.is_identity("aa")
        for held in ("caller-key", "charge", "orders"):
            assert held not in identity

    @pytest.mark.parametrize("body", [b"", bytes(256), b"x" * 100_000])
    def test_any_body_and_target_has_an_identity(self, body):
        identity = identify(body=body, target="/\xe9", key="\xe9")
        assert end_causes.is_identity(identity)
