"""Turns a request into a call: route, customer, service, deadline and size in tokens."""

import math
import random
from collections.abc import Sequence

import anyio
import attrs

from ..clocks import read_lease_clock
from ..errors import Refusal
from ..placement.crashes import digest_call, digest_parts
from ..routing import Customer, Route, RoutingTable
from .caller import CallerRequest
from .context import RelayContext
from .header_names import HeaderNames
from .headers import Headers, find_header

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_TOO_MANY = 429
MS_PER_S = 1000
# Part of the highest number of output tokens that is assumed if the caller gives no estimate.
ASSUMED_OUTPUT_SHARE = 0.5
# Longest wait for the quota and a slot together, in latency objectives of the route: callers give
# up a stream without an event after four objectives or two seconds, whichever is longer.
MAX_WAIT_OBJECTIVES = 2.0
# Longest such wait, as a part of the time until the caller's deadline.
MAX_WAIT_SHARE = 0.35
# A daemon receives its first manifest within half a second of its start.
NO_MANIFEST_RETRY_AFTER_S = 0.5
# Bounds the logged path of a call without a route, as callers choose its length.
MAX_LOGGED_PATH_CHARS = 100
# The reason of a refusal that does not hold if there is a newer manifest.
NOT_CURRENT = 'manifest_not_current'
CRASHES_UPSTREAMS = 'crashes_upstreams'
# A call with an unknown route or key waits for a newer manifest; an announced one arrives within
# this time.
NEWER_MANIFEST_WAIT_S = 0.3
# By then, a daemon with an old manifest has the newer one or has asked the store.
NOT_CURRENT_RETRY_AFTER_S = 0.5
# Parts of a prompt by which engines with a part of it in their cache are found.
MAX_CACHED_PARTS = 8
# More tokens than any model takes or returns; larger numbers count as not stated.
MAX_TOKENS = 10_000_000
# Another daemon accepts the call at once.
STOPPING_RETRY_AFTER_S = 0.1


@attrs.define(kw_only=True, eq=False)
class Call:
    """One attempt of a caller, from arrival to final answer; instants are on the lease clock."""

    attempt_id: bytes
    request: CallerRequest
    route: Route
    service: str
    customer: Customer | None
    arrived_at: float
    deadline: float
    prompt_tokens: float
    output_tokens: float
    # Units that the call takes from the quota of its customer.
    units: float
    # The header that lists the parts of its prompt.
    prompt_header: bytes = b''
    # Prompt and highest number of output tokens; 0 if they are not stated.
    max_tokens: float = 0
    # The first MAX_CACHED_PARTS of `shared_parts` with their tokens, as far as these are stated.
    prompt_parts: tuple[tuple[bytes, float], ...] = ()
    # Whether it has taken its units and they were not given back.
    holds_units: bool = False
    # Attempts that may have reached an upstream.
    send_count: int = 0
    # Whether an upstream may have run it.
    may_have_run: bool = False
    # Seconds from the arrival to the first part of the answer; None before it.
    first_part_s: float | None = None
    # Longest time between two parts of a stream, each of one or more whole events.
    longest_event_gap_s: float = 0

    # Equal for repetitions of a call; empty until it is needed.
    digest: bytes = b''
    # Sent although calls like it are in quarantine, to see whether they still crash upstreams.
    is_probe: bool = False

    @property
    def text_id(self) -> str:
        """The attempt id as text, for the log."""
        return self.attempt_id.decode('latin-1')

    @property
    def shared_parts(self) -> tuple[bytes, ...]:
        """The ids of the parts of its prompt without the last one, which is of this call only."""
        parts = self.prompt_header.split(b',')[:-1]
        return tuple(part.partition(b':')[0].strip() for part in parts)

    @property
    def part_digests(self) -> frozenset[bytes]:
        """The digests of `shared_parts`.

        They are not kept, as callers choose their number: they take more memory than the header.
        """
        return digest_parts(self.service, self.shared_parts)

    def time_left(self) -> float:
        """Return the seconds until the deadline; negative after it."""
        return self.deadline - read_lease_clock()

    def wait_until(self) -> float:
        """Return the lease-clock instant until which the call may wait for quota and slot."""
        max_wait_s = min(
            MAX_WAIT_OBJECTIVES * self.route.objective_s,
            MAX_WAIT_SHARE * (self.deadline - self.arrived_at),
        )
        return self.arrived_at + max_wait_s


async def accept_current_call(context: RelayContext, request: CallerRequest) -> Call:
    """Return the call of a request; raise Refusal if it is not accepted.

    If the manifest does not allow the call and a newer one may exist, waits for it first, up to
    NEWER_MANIFEST_WAIT_S.
    """
    max_wait_s = MAX_WAIT_SHARE * _read_deadline(request.headers, context.header_names)
    with anyio.move_on_after(min(NEWER_MANIFEST_WAIT_S, max_wait_s)):
        while True:
            try:
                return accept_call(context, request)
            except Refusal as refusal:
                if refusal.reason != NOT_CURRENT:
                    raise
            await context.wait_for_newer_routing_table()
    return accept_call(context, request)


def _find_customer(
    context: RelayContext, table: RoutingTable, request: CallerRequest
) -> Customer | None:
    return table.find_customer(
        find_header(request.headers, context.header_names.key).decode('latin-1')
    )


def refuse_by_manifest(context: RelayContext, reason: str, message: str, status: int) -> Refusal:
    """Return the refusal of a request that the manifest of this daemon does not allow.

    While a newer manifest may exist, it asks the caller to retry instead of giving `reason`.
    """
    if context.is_current():
        return Refusal(reason, message, status=status)
    message = f'{message}, but a newer manifest may exist'
    return Refusal(NOT_CURRENT, message, retry_after_s=NOT_CURRENT_RETRY_AFTER_S)


def accept_call(context: RelayContext, request: CallerRequest) -> Call:
    """Return the call of a request; raise Refusal if it is not accepted."""
    table = context.routing_table
    if table is None:
        raise Refusal(
            'no_manifest', 'no manifest received yet', retry_after_s=NO_MANIFEST_RETRY_AFTER_S
        )
    now = read_lease_clock()
    if context.refuse_from is not None and now >= context.refuse_from:
        raise Refusal(
            'daemon_stopping', 'this daemon is stopping', retry_after_s=STOPPING_RETRY_AFTER_S
        )
    route = table.find_route(request.host, request.path)
    if route is None:
        message = f'no route for {request.host}{request.path[:MAX_LOGGED_PATH_CHARS]}'
        raise refuse_by_manifest(context, 'no_route', message, STATUS_NOT_FOUND)
    header_names = context.header_names
    customer = _find_customer(context, table, request)
    if customer is None and route.needs_key and table.customers is not None:
        message = 'unknown customer key'
        raise refuse_by_manifest(context, 'unknown_key', message, STATUS_UNAUTHORIZED)
    arrived_at = now - max(anyio.current_time() - request.first_byte_at, 0)
    prompt, output = _read_tokens(request.headers, header_names)
    tokens = None if prompt is None else prompt + output
    service = _choose_service(route.targets)
    prompt_header = find_header(request.headers, header_names.prompt_parts)
    call = Call(
        attempt_id=find_header(request.headers, header_names.attempt_id),
        request=request,
        route=route,
        service=service,
        customer=customer,
        arrived_at=arrived_at,
        deadline=arrived_at + min(_read_deadline(request.headers, header_names), route.timeout_s),
        prompt_tokens=prompt or 0,
        output_tokens=_estimate_output(request.headers, header_names, output),
        units=customer.count_units(tokens) if customer else 0,
        prompt_header=prompt_header,
        max_tokens=tokens or 0,
        prompt_parts=_read_part_tokens(prompt_header),
    )
    check_quarantine(context, call, now)
    return call


def check_quarantine(context: RelayContext, call: Call, now: float) -> None:
    """Raise Refusal if a call must not be sent to further upstreams at present.

    Marks the call as a probe if it may be sent as one.
    """
    quarantine = context.quarantine
    if quarantine.is_empty or call.is_probe:
        return
    digest = get_call_digest(context.header_names, call)
    if not quarantine.is_quarantined(digest, call.part_digests):
        return
    pattern = quarantine.find_probe_pattern(digest, call.part_digests, now)
    if pattern is None or not context.is_prober(pattern):
        raise Refusal(CRASHES_UPSTREAMS, 'calls like this one crashed several upstreams')
    quarantine.start_probe(pattern, now)
    call.is_probe = True


def get_call_digest(header_names: HeaderNames, call: Call) -> bytes:
    """Return the digest of a call, which is equal for its repetitions."""
    if not call.digest:
        request = call.request
        key = find_header(request.headers, header_names.key)
        call.digest = digest_call(request.target, key, request.body)
    return call.digest


def _choose_service(targets: Sequence[tuple[str, float]]) -> str:
    if len(targets) == 1:
        return targets[0][0]
    names = [name for name, _weight in targets]
    weights = [weight for _name, weight in targets]
    if not sum(weights):
        return names[0]
    return random.choices(names, weights)[0]


def _read_deadline(headers: Headers, header_names: HeaderNames) -> float:
    """Return the seconds that a caller waits; infinite if it does not state them."""
    text = find_header(headers, header_names.deadline_ms)
    try:
        left_s = float(text) / MS_PER_S
    except ValueError:
        return math.inf
    return math.inf if math.isnan(left_s) else max(left_s, 0)


def _read_tokens(headers: Headers, header_names: HeaderNames) -> tuple[float | None, float]:
    """Return the prompt tokens (None if not stated) and the highest number of output tokens."""
    stated, _, highest = find_header(headers, header_names.tokens).partition(b',')
    prompt, output = _read_token_count(stated), _read_token_count(highest or b'0')
    if prompt is None or output is None:
        return None, 0
    return prompt, output


def _read_token_count(text: bytes) -> float | None:
    """Return a number of tokens up to MAX_TOKENS; None if the text is none.

    Others, such as nan, would spoil the quota and the averages into which they are added.
    """
    try:
        count = float(text)
    except ValueError:
        return None
    return count if 0 <= count <= MAX_TOKENS else None


def _read_part_tokens(prompt_header: bytes) -> tuple[tuple[bytes, float], ...]:
    """Return the ids and tokens of the first shared parts, up to the first without tokens."""
    parts: list[tuple[bytes, float]] = []
    *entries, _own_part = prompt_header.split(b',')
    for entry in entries[:MAX_CACHED_PARTS]:
        name, _, text = entry.partition(b':')
        tokens = _read_token_count(text)
        if tokens is None:
            break
        parts.append((name.strip(), tokens))
    return tuple(parts)


def _estimate_output(headers: Headers, header_names: HeaderNames, highest: float) -> float:
    count = _read_token_count(find_header(headers, header_names.length_hint))
    return highest * ASSUMED_OUTPUT_SHARE if count is None else min(count, highest)
