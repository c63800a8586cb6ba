"""Client for upstreams: calls, load reports and the control interface of engines."""

from .calls import Call, UpstreamAnswer, make_client, open_call, read_whole
from .control import (
    CacheEvent,
    CacheEvents,
    Order,
    cancel_stream,
    give_order,
    read_cache_events,
    resume_stream,
)
from .engine_state import EngineState, read_engine_state
from .load import LoadReport, read_load

__all__ = (
    'CacheEvent',
    'CacheEvents',
    'Call',
    'EngineState',
    'LoadReport',
    'Order',
    'UpstreamAnswer',
    'cancel_stream',
    'give_order',
    'make_client',
    'open_call',
    'read_cache_events',
    'read_engine_state',
    'read_load',
    'read_whole',
    'resume_stream',
)
