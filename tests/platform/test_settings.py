import pytest
import yaml

from camphorpath.edge.settings import DEFAULT_STORE_WRITES_PER_S
from camphorpath.errors import UserError
from camphorpath.platform.settings import SETTINGS_VARIABLE, load_edge_settings

DOCUMENT = {
    'node_name': 'edge-1',
    'zone': 'a',
    'region': 'r',
    'zones': {'a': 'r'},
    'ip_address': '10.0.0.1',
    'listen_addresses': {
        'frontend': '10.0.0.1:1',
        'ready': '10.0.0.1:2',
        'control_plane': '10.0.0.1:3',
        'directory_service': '10.0.0.1:4',
    },
    'internal_port_range': [7600, 7615],
    'seed_nodes': ['10.0.0.2:3'],
    'is_bootstrap': True,
    'limits': {'cpu_quota': 0.5, 'core_count': 2, 'max_fds': 4100, 'memory_mb': 300},
    'platform': {'address': '10.0.9.9:5', 'writes_per_s': 1200},
    'bounds': {
        'contact_timeout_ms': 3000,
        'drain_timeout_ms': 2500,
        'grace_period_s': 8,
        'ttl_max_s': 5,
        'retry_budget_ratio': 0.2,
        'retry_window_s': 10,
        'retry_allowance': 56,
        'quota_window_s': 8,
        'quota_overshoot': 0.1,
        'quota_allowance': 190000,
    },
    'new_field': {'ignored': True},
}


def write(path, document):
    path.write_text(document if isinstance(document, str) else yaml.safe_dump(document))
    return str(path)


def test_settings_are_decoded(tmp_path, monkeypatch):
    """Guards against settings in the wrong unit, and a failure on unknown fields."""
    monkeypatch.setenv(SETTINGS_VARIABLE, write(tmp_path / 's.yaml', DOCUMENT))
    settings = load_edge_settings()
    assert settings.heartbeat_port == 7600
    assert settings.cores == 1
    assert settings.bounds.stop_limit_s == 8
    assert settings.store_url == 'http://10.0.9.9:5'
    assert settings.seeds == ('10.0.0.2:3',)
    assert settings.store_writes_per_s == 1200
    assert settings.memory_mb == 300


@pytest.mark.parametrize(
    'document',
    [
        '{',
        '[]',
        {name: DOCUMENT[name] for name in DOCUMENT if name != 'zone'},
        {**DOCUMENT, 'limits': {'cpu_quota': 'much'}},
        {**DOCUMENT, 'internal_port_range': []},
        {**DOCUMENT, 'platform': {'address': '10.0.9.9:5', 'writes_per_s': 'many'}},
        {**DOCUMENT, 'platform': {'address': '10.0.9.9:5', 'writes_per_s': -1}},
    ],
)
def test_invalid_settings_raise_a_user_error(tmp_path, document):
    """Guards against a daemon that starts with settings that it cannot decode."""
    path = write(tmp_path / 's.yaml', document)
    with pytest.raises(UserError, match=r's\.yaml'):
        load_edge_settings(path)


def test_missing_write_rate_of_the_store_has_a_default(tmp_path):
    """Guards against a daemon that does not start, or never writes, without the field."""
    document = {**DOCUMENT, 'platform': {'address': '10.0.9.9:5'}}
    settings = load_edge_settings(write(tmp_path / 's.yaml', document))
    assert settings.store_writes_per_s == DEFAULT_STORE_WRITES_PER_S


def test_limits_of_moves_to_another_version_are_optional(tmp_path):
    """Guards against a daemon that does not start without them, or reads them in another unit."""
    bounds = load_edge_settings(write(tmp_path / 's.yaml', DOCUMENT)).bounds
    assert (bounds.canary_share, bounds.canary_allowance, bounds.rollback_timeout_s) == (None,) * 3
    limits = {'canary_share': 0.1, 'canary_allowance': 50, 'rollback_timeout_ms': 5000}
    document = {**DOCUMENT, 'bounds': {**DOCUMENT['bounds'], **limits}}
    bounds = load_edge_settings(write(tmp_path / 's.yaml', document)).bounds
    assert (bounds.canary_share, bounds.canary_allowance, bounds.rollback_timeout_s) == (0.1, 50, 5)


def test_missing_file_raises_a_user_error(tmp_path, monkeypatch):
    """Guards against a traceback in place of a one-line message."""
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    with pytest.raises(UserError):
        load_edge_settings()
    with pytest.raises(UserError):
        load_edge_settings(str(tmp_path / 'none.yaml'))
