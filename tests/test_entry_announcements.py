import types

import msgspec
import pytest
import trio
import trio.testing

from sycamorespool.decisions import store_readers
from sycamorespool import exceptions
from sycamorespool.platform import pages
from sycamorespool.store import entry_announcements

OWN = "e-1"


class Store:
    """Keeps what is appended."""

    def __init__(self):
        self.appended = []

    async def append(self, topic, contents):
        self.appended += contents


@pytest.fixture
def context():
    return types.SimpleNamespace(
        name=OWN,
        incarnation=100,
        is_stopping=False,
        entry_directory=store_readers.EntryDirectory(),
        platform_store=Store(),
        settings=types.SimpleNamespace(
            listen=types.SimpleNamespace(peers="10.0.0.1:70"),
            entry=types.SimpleNamespace(data_centre="dc", link_mbps=9.0),
        ),
    )


def make_record(name, port, **fields):
    value = {"address": f"10.0.0.9:{port}", "data_centre": "dc", **fields}
    return pages.KeyedRecord(1, name, msgspec.json.encode(value))


class TestAnnouncementThatIsWrittenLate:
    # Review 3, its class: an announcement of a former process, written late,
    # brought back the address that it had.
    def test_it_changes_nothing(self, context):
        announcer = entry_announcements._Announcer(context, 100)
        announcer.apply_record(make_record("e-2", 72, number=60))
        announcer.apply_record(make_record("e-2", 71, number=50))
        entries = context.entry_directory.entries
        assert entries["e-2"].address == "10.0.0.9:72"

    def test_entry_whose_own_was_replaced_announces_itself_again(
        self, context
    ):
        announcer = entry_announcements._Announcer(context, 100)
        announcer.apply_record(make_record(OWN, 71, number=50))
        assert context.entry_directory.entries[OWN].address == "10.0.0.1:70"
        trio.run(announcer.announce_again)
        (content,) = context.platform_store.appended
        assert b"10.0.0.1:70" in content
        trio.run(announcer.announce_again)
        assert len(context.platform_store.appended) == 1

    def test_clock_that_was_set_back_does_not_hide_an_entry(self, context):
        announcer = entry_announcements._Announcer(context, 100)
        announcer.apply_record(make_record(OWN, 71, number=500))
        trio.run(announcer.announce_again)
        assert announcer.number == 501

    def test_own_announcement_is_not_repeated(self, context):
        announcer = entry_announcements._Announcer(context, 100)
        trio.run(announcer.announce)
        content = context.platform_store.appended[0]
        page = pages.Page(0, 1, 0, (content,))
        (record,) = pages.decode_keyed(page)
        announcer.apply_record(record)
        trio.run(announcer.announce_again)
        assert len(context.platform_store.appended) == 1


class TestOtherBuilds:
    def test_announcement_without_a_number_is_in_force(self, context):
        announcer = entry_announcements._Announcer(context, 100)
        announcer.apply_record(make_record("e-2", 72, number=60))
        announcer.apply_record(make_record("e-2", 71))
        entries = context.entry_directory.entries
        assert entries["e-2"].address == "10.0.0.9:71"

    def test_store_that_fails_is_asked_again(self, context, autojump_clock):
        async def fail_once(topic, contents):
            context.platform_store.append = append
            raise exceptions.PlatformUnavailable("down")

        append = context.platform_store.append
        context.platform_store.append = fail_once
        announcer = entry_announcements._Announcer(context, 100)
        trio.run(announcer.announce, clock=autojump_clock)
        assert len(context.platform_store.appended) == 1


@pytest.fixture
def autojump_clock():
    return trio.testing.MockClock(autojump_threshold=0)
