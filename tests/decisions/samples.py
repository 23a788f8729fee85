"""Holds sample data for the tests of grants and ramps."""

from sycamorespool import configuration
from sycamorespool.decisions import grant_ledger
from sycamorespool.decisions.groups import ramps

SERVICE = configuration.Service(cold_limit=2, warm_limit=16)
UNIT = "domain/d"


def make_load(in_flight=0, completed=0, interval_s=0.04, **fields):
    fields = {"incarnations": (1, 1), "is_ready": True} | fields
    return ramps.Load(
        in_flight=in_flight,
        completed=completed,
        interval_s=interval_s,
        **fields,
    )


def make_facts(group_id="g", is_open=True):
    return grant_ledger.GroupFacts(group_id, "a", 1, "addr", "b", is_open)
