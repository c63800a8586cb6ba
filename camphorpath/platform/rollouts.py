"""Rows of the metadata store with orders to move services to other versions, and their states."""

import types

import attrs
import orjson

from ..errors import PlatformError
from ..rollouts.records import Phase, RolloutOrder
from .fields import decode_fields
from .store import RowWrite
from .wire import (
    ROLLOUT_COMPLETED,
    ROLLOUT_IN_PROGRESS,
    ROLLOUT_PREFIX,
    ROLLOUT_REVERTED,
    STATUS_TABLE,
)

# A longer duration is a mistake, such as one in milliseconds.
MAX_DURATION_S = 86400.0
STATES = types.MappingProxyType(
    {
        Phase.CANARY: ROLLOUT_IN_PROGRESS,
        Phase.MOVING: ROLLOUT_IN_PROGRESS,
        Phase.COMPLETED: ROLLOUT_COMPLETED,
        Phase.REVERTED: ROLLOUT_REVERTED,
    }
)


@attrs.frozen
class OrderRow:
    """The content of the row of an order."""

    service: str
    # The version to move to.
    version: str
    duration_s: float


def is_order_key(key: str) -> bool:
    """Return whether a row of the manifest's table is an order."""
    return key.startswith(ROLLOUT_PREFIX)


def get_ordered_service(key: str) -> str:
    """Return the service in the key of an order."""
    return key.removeprefix(ROLLOUT_PREFIX)


def decode_order(key: str, content: bytes) -> OrderRow:
    """Return the order in a row; raise PlatformError that names the problem."""
    fields = decode_fields(content)
    service = fields.name('service')
    if service != get_ordered_service(key):
        raise PlatformError('service differs from the key', step='decode')
    duration_s = fields.number('duration_s')
    if not 0 < duration_s <= MAX_DURATION_S:
        raise PlatformError(f'duration_s is not above 0 and up to {MAX_DURATION_S}', step='decode')
    return OrderRow(service, fields.name('to'), duration_s)


def make_status_write(order: RolloutOrder, phase: Phase) -> RowWrite:
    """Return the write of the row that tells the operator the state of an order."""
    document = {'service': order.service, 'to': order.version, 'runner_state': STATES[phase]}
    return RowWrite(STATUS_TABLE, f'{ROLLOUT_PREFIX}{order.service}', orjson.dumps(document))
