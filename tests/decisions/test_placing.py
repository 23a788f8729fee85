import pytest

from sycamorespool import backends
from sycamorespool.decisions import placing
from sycamorespool.decisions import registry


def make_scene(*servers):
    state = registry.Registry()
    for server in servers:
        registry.take(state, server.backend_id, server, 0.0)
    return placing.Scene(state, "dc1", {"dc1": "r1", "dc2": "r2"})


def make_server(vm_id, data_centre="dc1", **changes):
    return backends.Backend(
        vm_id,
        "s",
        "10.0.0.1:80",
        data_centre,
        4,
        changes.pop("is_draining", False),
        **changes,
    )


def make_member(vm_id, group, rank, state="ready", **changes):
    member = backends.Membership(group, 1, rank, backends.MemberState(state))
    return make_server(vm_id, domain="d", membership=member, **changes)


def choose(scene, wish=None, now_s=0.0):
    wish = wish or placing.Wish("s")
    found = placing.choose(scene, wish, now_s, 0.0, lambda server: True)
    return found.backend_id if found else None


class TestPlain:
    def test_least_loaded_of_the_own_data_centre_comes_first(self):
        scene = make_scene(
            make_server("a", "dc2"), make_server("b"), make_server("c")
        )
        placing.begin(scene.pulses["b"], 0.0)
        assert choose(scene) == "c"

    @pytest.mark.parametrize(
        "wish",
        [
            placing.Wish("s", excluded=frozenset({"a"})),
            placing.Wish("s", allowed_regions=frozenset({"r2"})),
            placing.Wish("other"),
        ],
    )
    def test_what_must_not_be_is_not_chosen(self, wish):
        assert choose(make_scene(make_server("a")), wish) is None

    def test_draining_evacuated_and_blocked_servers_get_nothing(self):
        assert choose(make_scene(make_server("a", is_draining=True))) is None
        scene = make_scene(make_server("a"))
        scene.evacuated.add("dc1")
        assert choose(scene) is None
        scene.evacuated.clear()
        scene.blocked_until_s["a"] = 5.0
        assert choose(scene, now_s=4.0) is None
        assert choose(scene, now_s=5.0) == "a"


class TestGroups:
    def test_only_an_open_head_of_the_model_is_chosen(self):
        scene = make_scene(
            make_member("a", "m@1", 0),
            make_member("b", "m@2", 0, "open"),
            make_member("c", "m@2", 1),
            make_member("d", "other@3", 0, "open"),
        )
        assert choose(scene, placing.Wish("s", "m")) == "b"

    def test_group_with_a_leaving_member_gets_nothing(self):
        scene = make_scene(
            make_member("b", "m@2", 0, "open"),
            make_member("c", "m@2", 1, is_draining=True),
        )
        assert choose(scene, placing.Wish("s", "m")) is None


class TestSilence:
    def test_server_that_is_silent_comes_last(self):
        scene = make_scene(make_server("a"), make_server("b", "dc2"))
        placing.begin(scene.pulses["a"], 0.0)
        now_s = placing.LEAST_SILENCE_S + 0.1
        assert choose(scene, now_s=now_s) == "b"
        placing.note_bytes(scene.pulses["a"], now_s)
        placing.end(scene.pulses["a"])
        assert choose(scene, now_s=now_s) == "a"

    @pytest.mark.parametrize(
        ("usual_s", "silent_s", "sign_s", "verdict"),
        [
            (0.1, 0.2, None, "usual"),
            (0.1, 0.3, None, "doubtful"),
            (0.1, 0.3, 0.28, "usual"),
            (0.1, 0.6, 0.28, "doubtful"),
            (0.1, 1.0, 0.99, "standstill"),
            (2.0, 2.9, None, "usual"),
            (2.0, 3.1, None, "doubtful"),
            (2.0, 8.1, 8.0, "standstill"),
        ],
    )
    def test_silence_is_judged_by_the_usual_time(
        self, usual_s, silent_s, sign_s, verdict
    ):
        pulse = placing.Pulse()
        placing.begin(pulse, 0.0)
        if sign_s is not None:
            pulse.signs_s = sign_s
        assert placing.judge_silence(pulse, usual_s, silent_s) == verdict

    def test_usual_time_is_that_of_a_model(self):
        slow = make_member("a", "big@1", 0, "open")
        quick = make_member("b", "small@1", 0, "open")
        scene = make_scene(slow, quick)
        scene.note_first(slow, 2.0)
        scene.note_first(quick, 0.1)
        assert scene.find_usual_s(slow) == 2.0
        assert scene.find_usual_s(quick) == 0.1

    def test_server_that_stood_still_stays_last_once_left(self):
        scene = make_scene(make_server("a"), make_server("b", "dc2"))
        pulse = scene.pulses["a"]
        placing.begin(pulse, 0.0)
        placing.note_still(pulse, 1.0)
        placing.end(pulse)
        assert choose(scene, now_s=1.0) == "b"
        assert choose(scene, now_s=1.0 + placing.SUSPECT_HOLD_S) == "a"

    @pytest.mark.parametrize("sign", ["bytes", "new group"])
    def test_sign_of_life_ends_the_suspicion(self, sign):
        scene = make_scene(
            make_member("a", "m@1", 0, "open"),
            make_member("b", "m@2", 0, "open", data_centre="dc2"),
        )
        wish = placing.Wish("s", "m")
        placing.note_still(scene.pulses["a"], 1.0)
        assert choose(scene, wish, now_s=1.1) == "b"
        if sign == "bytes":
            placing.note_bytes(scene.pulses["a"], 1.1)
        else:
            after = make_member("a", "m@7", 0, "open")
            scene.note_entry(scene.registry.servers["a"], after)
        assert choose(scene, wish, now_s=1.1) == "a"

    def test_server_that_stood_still_serves_if_there_is_no_other(self):
        scene = make_scene(make_server("a"))
        placing.note_still(scene.pulses["a"], 1.0)
        assert choose(scene, now_s=1.1) == "a"
