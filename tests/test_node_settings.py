import pathlib
import re

import pytest

from examples import hosted_settings
from sycamorespool import exceptions
from sycamorespool import node_settings
from sycamorespool import settings

TEMPLATE = pathlib.Path(__file__).parent.parent / "deploy" / "entry.ini"


def render(**changes):
    values = {
        "callers": "10.0.0.1:1",
        "readiness": "10.0.0.1:2",
        "metrics": "10.0.0.1:3",
        "peers": "10.0.0.1:5",
        "store": "10.0.0.9:4",
        "revoke_ms": 5000,
        **changes,
    }
    return hosted_settings.render(**values)


def test_settings_are_read():
    found = settings.parse_as(render(), node_settings.Settings)
    assert found.entry.name == "entry-1"
    assert node_settings.map_regions(found.entry) == {"dc": "r"}
    assert found.bounds.stop_s == 8.0


@pytest.mark.parametrize(
    "changes", [{"callers": "here"}, {"revoke_ms": "soon"}, {"store": ""}]
)
def test_invalid_values_are_refused(changes):
    with pytest.raises(exceptions.SettingsError):
        settings.parse_as(render(**changes), node_settings.Settings)


def test_template_has_known_settings_only():
    sections = {
        "entry": node_settings.EntrySection,
        "listen": node_settings.ListenSection,
        "platform": node_settings.PlatformSection,
        "limits": node_settings.LimitsSection,
        "balancing": node_settings.BalancingSection,
        "bounds": node_settings.BoundsSection,
    }
    text = re.sub(r"{{[#/^][^}]*}}", "", TEMPLATE.read_text())
    section = None
    for line in text.splitlines():
        if line.startswith("["):
            section = sections[line.strip("[]")]
        elif "=" in line:
            name = line.partition("=")[0].strip()
            assert name in section.__struct_fields__


def test_changed_sections_are_named():
    before = settings.parse_as(render(), node_settings.Settings)
    after = settings.parse_as(render(revoke_ms=4000), node_settings.Settings)
    assert node_settings.find_changed_sections(before, after) == ["bounds"]
