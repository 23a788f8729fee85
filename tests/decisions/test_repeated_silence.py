"""Tests of a server that falls silent twice without a byte in between."""

from sycamorespool.decisions.placing import server_activity

PROBE_TIMEOUT_S = 0.2


class TestRepeatedSilence:
    def test_probe_missed_long_ago_does_not_add_to_a_new_silence(self):
        activity = server_activity.BackendActivity()
        # The only request at a silent server is answered by another one.
        server_activity.begin(activity, 0.0)
        server_activity.note_probe_unanswered(activity, 0.3)
        assert not server_activity.is_lost(activity, 0.3 + PROBE_TIMEOUT_S)
        server_activity.end(activity)
        # The server went on, and falls silent again much later.
        server_activity.begin(activity, 60.0)
        server_activity.note_probe_unanswered(activity, 60.3)
        assert not server_activity.is_lost(activity, 60.3 + PROBE_TIMEOUT_S)
