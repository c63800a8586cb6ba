import math

import attrs
import pytest

from camphorpath.cluster.loads import decode_load, encode_load
from camphorpath.placement.pace import PaceStatement
from camphorpath.placement.rate_limits import RateStatement
from camphorpath.placement.records import Load
from camphorpath.schema import camphorpath_pb2 as pb


@pytest.mark.parametrize('rate', [0.0, 0.3, 40.0, math.inf])
def test_statement_keeps_its_age_on_the_way(rate):
    """Guards against an old statement that replaces a newer one because a peer repeats it."""
    load = Load(2, 1, 'me', 0.5, RateStatement(rate, stated_at=100), {'d2': 3})
    message = pb.UpstreamLoad.FromString(encode_load('i-1', load, 103).SerializeToString())
    received = decode_load(message, 5003)
    assert received.rate_statement.stated_at == 5000
    assert math.isinf(received.rate_statement.rate) == math.isinf(rate)
    assert received.rate_statement.rate >= rate
    assert attrs.evolve(received, rate_statement=None) == attrs.evolve(load, rate_statement=None)


def test_report_without_a_statement_says_nothing_of_the_rate():
    """Guards against a daemon of an older version that ends the limit of an upstream."""
    assert decode_load(pb.UpstreamLoad(upstream='i-1', in_flight=1), 5).rate_statement is None


def test_pace_keeps_its_age_on_the_way():
    """Guards against an old pace that counts as the present one because the owner repeats it."""
    load = Load(2, pace=PaceStatement(2.5, stated_at=100))
    message = pb.UpstreamLoad.FromString(encode_load('i-1', load, 103).SerializeToString())
    assert decode_load(message, 5003).pace == PaceStatement(2.5, 5000)


@pytest.mark.parametrize(
    'fields', [{}, {'pace': math.nan}, {'pace': -1}, {'pace': 1e9}, {'pace': 1, 'pace_age': -1}]
)
def test_load_with_a_bad_pace_counts_without_it(fields):
    """Guards against a heartbeat that makes the cost of an upstream no number."""
    load = decode_load(pb.UpstreamLoad(upstream='i-1', in_flight=3, **fields), 5)
    assert load.pace is None
    assert load.in_flight == 3
