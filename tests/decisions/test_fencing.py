"""Tests of fencing numbers."""

import hypothesis
from hypothesis import strategies as st

from sycamorespool.decisions import fencing
from sycamorespool.decisions.groups import domain_view

POSITIONS = st.tuples(
    st.integers(0, 2**16), st.integers(0, fencing.CLAIMS_PER_TIMELINE - 1)
)


@hypothesis.given(POSITIONS, POSITIONS)
def test_numbers_are_unique_and_rise_with_timeline_and_offset(one, other):
    numbers = [fencing.make_number(*position) for position in (one, other)]
    assert (numbers[0] < numbers[1]) == (one < other)
    assert (numbers[0] == numbers[1]) == (one == other)


@hypothesis.given(POSITIONS)
def test_epochs_of_groups_are_exact_in_json(position):
    epoch = fencing.make_number(*position) * domain_view.EPOCHS_PER_FENCE
    assert int(float(epoch)) == epoch


def test_number_is_positive_as_zero_means_no_claim():
    assert fencing.make_number(0, 0) > 0
