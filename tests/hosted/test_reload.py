"""Tests of the reload of an entry's settings."""

import trio

from examples import hosted_settings
from examples import processes
from sycamorespool import hosted
from sycamorespool import node_settings

ADDRESSES = ("callers", "readiness", "metrics", "peers", "store")


def test_change_during_the_start_is_not_missed(tmp_path, monkeypatch, caplog):
    path = tmp_path / "entry.ini"
    addresses = {name: processes.find_free_address() for name in ADDRESSES}
    path.write_text(hosted_settings.render(**addresses))
    load = node_settings.load
    loaded = []

    def load_and_change(name):
        loaded.append(load(name))
        if len(loaded) == 1:
            changed = hosted_settings.render(revoke_ms=9000, **addresses)
            path.write_text(changed)
        return loaded[-1]

    monkeypatch.setattr(node_settings, "load", load_and_change)

    async def main():
        with trio.move_on_after(3 * hosted.SETTINGS_CHECK_PERIOD_S):
            await hosted.run(str(path))

    with caplog.at_level("INFO", logger="absl"):
        trio.run(main)
    assert "settings reloaded" in caplog.text
    assert loaded[-1].bounds.revoke_ms == 9000
