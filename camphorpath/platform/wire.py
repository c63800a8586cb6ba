"""Header names, paths, table names and values of the platform's protocols."""

import types
import urllib.parse

from ..relay.header_names import HeaderNames
from ..routing import CallKind

HEADER_NAMES = HeaderNames(
    attempt_id=b'x-attempt-id',
    deadline_ms=b'x-deadline-ms',
    key=b'x-key',
    tokens=b'x-token-count',
    length_hint=b'x-length-hint',
    prompt_parts=b'x-prompt-prefix',
    last_event_id=b'last-event-id',
    resumed_attempt_id=b'resumes',
    customer=b'x-tenant',
    expected_upstream=b'x-expected-runner',
    signature=b'x-runner-signature',
    not_run=b'x-not-executed',
    load=b'x-runner-load',
    leaving=b'server-leaving',
    rate_limit=b'server-limit',
    reserved=frozenset(
        (
            b'x-expected-version',
            b'x-kv-retention',
            b'x-pin-ms',
            b'x-kv-backup',
            b'kv-from',
            b'kv-fetch',
        )
    ),
)

RESOLVE_PATH = '/camphorpath/resolve'
READY_PATH = '/camphorpath/readyz'

# Counts how often the store was restored from a copy; in all its answers.
ERA_HEADER = 'store-era'
ROWS_GET = '/camphorpath/rows-get'
ROWS_PARTS = '/camphorpath/rows-parts'
ROWS_FEED = '/camphorpath/rows-feed'
ROWS_WRITE = '/camphorpath/rows-tx'

MANIFEST_TABLE = 'op'
MANIFEST_KEY = 'config'
UPSTREAM_TABLE = 'servers'
# Orders to move a service to another version are in MANIFEST_TABLE, and their states in this table,
# both under this prefix and the name of the service.
STATUS_TABLE = 'status'
ROLLOUT_PREFIX = 'rollout/'
ROLLOUT_IN_PROGRESS = 'in_progress'
ROLLOUT_COMPLETED = 'completed'
ROLLOUT_REVERTED = 'reverted'

STATE_LEAVING = 'draining'
STATES = frozenset(('ready', STATE_LEAVING))

CALL_KINDS = types.MappingProxyType(
    {
        'idempotent': CallKind.IDEMPOTENT,
        'non_idempotent': CallKind.NON_IDEMPOTENT,
        'streaming': CallKind.STREAM,
    }
)


def parse_location(query: str) -> tuple[str, str]:
    """Return the zone and region in the query of a caller that resolves addresses."""
    parameters = dict(urllib.parse.parse_qsl(query))
    return parameters.get('zone', ''), parameters.get('region', '')


def render_addresses(addresses: list[str], ttl_s: float) -> dict[str, object]:
    """Return the body of the answer to a caller that resolves addresses."""
    return {'addresses': addresses, 'ttl_s': ttl_s}
