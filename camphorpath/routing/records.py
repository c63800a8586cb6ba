"""Routes, services, customers and upstreams."""

import enum
import math

import attrs


@enum.unique
class CallKind(enum.Enum):
    """Whether and how a call may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@attrs.frozen(kw_only=True)
class Route:
    """The calls to one host under one path prefix."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    # Latency objective: time from the arrival of a call to the first byte of its answer.
    objective_s: float
    # Lower is more urgent.
    priority: int
    # Sends of a call to upstreams, the first one included.
    max_attempts: int
    needs_key: bool
    # Whether a broken stream may be continued at another upstream.
    is_resumable: bool
    # Longest gap between events of a stream that is not late (inter-token latency target).
    max_event_gap_s: float = math.inf
    # Names of services and their weights.
    targets: tuple[tuple[str, float], ...]

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT


@attrs.frozen(kw_only=True)
class Service:
    """A group of interchangeable upstreams."""

    name: str
    # Connections that one upstream accepts from all daemons together.
    max_connections: int
    is_engine: bool
    # Tokens that the memory of one of its engines holds; 0 if it is not stated.
    memory_tokens: float = 0


@attrs.frozen(kw_only=True)
class Customer:
    """A holder of API keys and its quota; a rate of 0 means no limit."""

    name: str
    # Lower is more urgent.
    priority: int
    # Units per second, and the maximum burst in units. Units are tokens or requests.
    rate: float
    burst: float
    counts_tokens: bool
    # Units of a request that does not state its tokens.
    default_units: float

    def count_units(self, tokens: float | None) -> float:
        """Return the units that a request takes from the quota; None means unknown tokens."""
        if not self.counts_tokens:
            return 1
        return self.default_units if tokens is None else tokens


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits and time-outs for caller connections."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4194304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Upstream:
    """One incarnation of a back end process, as registered in the metadata store."""

    upstream_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_leaving: bool
    # Rises when the process restarts under the same id; 0 if unknown.
    incarnation: int = 0
    # Rises with each entry that the incarnation writes; 0 if unknown.
    sequence: int = attrs.field(default=0, eq=False)
    # Version of its software, not of its model; versions have no order. Empty if unknown.
    software_version: str = ''

    @property
    def key(self) -> tuple[str, int]:
        """Id and incarnation."""
        return self.upstream_id, self.incarnation

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return f'{self.host}:{self.port}'
