"""Guards against a way of sharing limits that wastes them or exceeds them."""

import pytest

from pistachionotch.bench.limit_sharing import FixedShares, Permits, ReportedShares, measure


@pytest.mark.parametrize("uneven", [False, True])
def test_permits_use_the_limit_and_keep_it_at_58_gateways(uneven):
    result = measure(Permits(58, 1.0), 58, 1.0, uneven)
    assert result.used >= 0.8
    assert result.busiest <= 1.5 + 0.25


def test_shares_for_each_gateway_waste_or_exceed_the_limit_at_58_gateways():
    for design in (FixedShares, ReportedShares):
        result = measure(design(58, 1.0), 58, 1.0, True)
        assert result.used < 0.8 or result.busiest > 1.75
