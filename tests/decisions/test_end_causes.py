"""Tests of what ends of servers have in common."""

import math

from sycamorespool.decisions.faults import end_causes


def find_causes(*ends, blocked=(), served=()):
    """Find the causes of ends, each of which is a list of traits."""
    seen = [
        end_causes.SeenEnd(9.0, {trait: n for n, trait in enumerate(traits)})
        for traits in ends
    ]

    def find_served_s(trait):
        return 9.0 if trait in served else -math.inf

    return end_causes.find_causes(seen, set(blocked), find_served_s)


# A request that was at the same ends as a fatal one was held for a moment
# only, however often servers ended under it.
def test_all_ends_of_a_request_count_once_some_accuse_it_alone():
    first, second = "request:77", "request:11"
    found = find_causes(
        [first, second], [first, second], [first], [first], [second], [second]
    )
    assert found[first].ends == 4
    assert found[second].ends == 4


def test_ends_that_a_blocked_part_explains_count_for_a_request_too():
    found = find_causes(
        ["aa", "request:1"], ["request:1"], ["request:1"], blocked=["aa"]
    )
    assert found["request:1"].ends == 3


def test_request_at_explained_ends_only_is_not_suspected():
    ends = [["request:77", "request:11"]] * 3
    assert "request:11" not in find_causes(*ends, ["request:77"])


# A sound request was blocked for minutes as it was at the same three ends as
# a fatal one.
def test_one_of_two_requests_at_the_same_ends_is_not_alone():
    ends = [["request:77", "request:11"]] * 3
    (found,) = find_causes(*ends).values()
    assert not found.is_alone
    assert find_causes(*ends, ["request:77"])["request:77"].is_alone
    assert find_causes(*ends, served=["request:11"])["request:77"].is_alone


def test_part_is_alone_with_any_requests():
    ends = [["bad", f"request:{number}"] for number in range(3)]
    assert find_causes(*ends)["bad"].is_alone
