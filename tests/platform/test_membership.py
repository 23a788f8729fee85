"""Tests of the membership client with prepared answers of the platform."""

import pytest
import trio

from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool.platform import membership

VM = (
    b'{"vm":"%s","role":"engine","address":"x","data_centre":"d","domain":"f"}'
)


def fetch(monkeypatch, *answers):
    """Return what a client decodes from the platform's answers in turn."""
    waiting = list(answers)

    async def exchange(pool, method, url, *more):
        status, body = waiting.pop(0)
        return http_client.Response(status, {}, body)

    monkeypatch.setattr(http_client, "exchange", exchange)

    async def main():
        pool = http_client.make_pool()
        client = membership.MembershipClient(pool, "127.0.0.1:1")
        return [await client.fetch_vms() for _ in answers]

    return trio.run(main)


class TestMembership:
    def test_list_is_decoded_only_when_it_changes(self, monkeypatch):
        one = b'{"vms":[' + VM % b"a" + b"]}"
        two = b'{"vms":[' + VM % b"a" + b"," + VM % b"b" + b"]}"
        lists = fetch(monkeypatch, (200, one), (200, one), (200, two))
        assert lists[0] is lists[1]
        assert list(lists[2]) == ["a", "b"]

    @pytest.mark.parametrize("body", [b"", b"no list", b'{"vms": 3}', b"[]"])
    def test_answer_that_is_no_list_is_an_error(self, monkeypatch, body):
        with pytest.raises(exceptions.PlatformUnavailable):
            fetch(monkeypatch, (200, body))
