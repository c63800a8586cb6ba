"""The review of a manifest before it is sent."""

import orjson
import pytest

from camphorpath.ui.cli import run_command

ROUTE = {
    'name': 'r1',
    'hostname': 'shop.example',
    'prefix': '/a/',
    'route_type': 'streaming',
    'timeout_ms': 6000,
    'target_latency_ms': 600,
    'service': 'llm',
}
CUSTOMER = {'name': 'c1', 'api_keys': ['k1'], 'unit': 'tokens', 'rate_per_s': 9, 'burst_size': 900}


@pytest.fixture
def review(tmp_path, capsys):
    """Return a function that reviews a manifest and returns the exit code and the output."""

    def write(name, **fields):
        document = {
            'version': 3,
            'routes': [ROUTE],
            'services': [{'name': 'llm'}],
            'tenants': [CUSTOMER],
            **fields,
        }
        path = tmp_path / name
        path.write_bytes(orjson.dumps(document))
        return str(path)

    def run(before=None, **fields):
        arguments = ['manifest', write('next.json', **fields)]
        if before is not None:
            arguments += ['--against', write('force.json', **before)]
        code = run_command(arguments)
        printed = capsys.readouterr()
        return code, printed.out + printed.err

    return run


@pytest.mark.parametrize(
    ('fields', 'problem'),
    [
        ({'routes': [{**ROUTE, 'route_type': 'odd'}, {**ROUTE, 'prefix': 1}]}, 'prefix'),
        ({'routes': [{**ROUTE, 'prefix': '/a'}]}, 'never matches'),
        ({'routes': [ROUTE, {**ROUTE, 'name': 'r2'}]}, 'route r2: never matches beside route r1'),
        ({'routes': [{**ROUTE, 'service': 'gone'}]}, 'does not exist'),
        ({'routes': [ROUTE, ROUTE]}, 'several entries'),
        ({'tenants': [CUSTOMER, {**CUSTOMER, 'name': 'c2'}]}, 'a key stands twice'),
        ({'tenants': [{**CUSTOMER, 'api_keys': []}]}, 'no customer has one'),
        ({'version': 0}, 'version'),
        ({'tenants': [{**CUSTOMER, 'api_keys': 'k1'}]}, 'api_keys is not a list'),
        ({'limits': [1]}, 'limits. is not an object'),
        ({'tenants': [{**CUSTOMER, 'rate_per_s': -1}]}, 'rate_per_s is out of range'),
    ],
)
def test_error_is_named_with_exit_code_2(review, fields, problem):
    """Guards against a manifest with an error that looks ready to be sent."""
    code, printed = review(**fields)
    assert code == 2
    assert problem in printed
    assert 'can be sent' not in printed


@pytest.mark.parametrize(
    ('fields', 'problem'),
    [
        ({'services': [{'name': 'llm'}, {'name': 'idle'}]}, 'service idle: no route'),
        ({'routes': [{**ROUTE, 'target_latency_ms': 7000}]}, 'exceeds the time limit'),
        ({'routes': [{**ROUTE, 'max_attempts': 2}]}, 'may not be repeated'),
        ({'tenants': [{**CUSTOMER, 'uncached_tokens': 901}]}, 'below what a call'),
        ({'limits': {'header_timeout_ms': 9000, 'idle_timeout_ms': 8000}}, 'may be idle'),
    ],
)
def test_doubt_is_a_warning(review, fields, problem):
    """Guards against limits that contradict each other and are sent unnoticed."""
    code, printed = review(**fields)
    assert code == 0
    assert [line for line in printed.splitlines() if line.startswith('warning') and problem in line]


def test_changes_are_named_without_keys(review):
    """Guards against a change that goes unnoticed, and keys that get into a log."""
    changed = {**CUSTOMER, 'rate_per_s': 10, 'api_keys': ['k1', 'secret']}
    code, printed = review({}, version=4, tenants=[changed], routes=[{**ROUTE, 'timeout_ms': 5000}])
    assert code == 0
    assert 'change: route r1: timeout_s 6.0 -> 5.0' in printed
    assert 'change: customer c1: rate 9 -> 10' in printed
    assert 'change: keys: 1 added, 0 removed' in printed
    assert 'secret' not in printed


def test_version_that_is_not_newer_is_an_error(review):
    """Guards against a manifest that daemons ignore, as a newer one is in force."""
    code, printed = review({'version': 3})
    assert code == 2
    assert 'not above version 3' in printed
