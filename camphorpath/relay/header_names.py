"""The names of the headers between callers, daemons and upstreams."""

import attrs


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names of a platform, in lower case."""

    # Set by the caller and echoed by the upstream.
    attempt_id: bytes
    deadline_ms: bytes
    key: bytes
    # "<prompt tokens>,<highest number of output tokens>"
    tokens: bytes
    length_hint: bytes
    # The parts of the prompt in order: "<id>:<tokens>,...". Calls share all but the last.
    prompt_parts: bytes
    # Set by a caller that takes up a stream which was broken off.
    last_event_id: bytes
    # The attempt id of the call that brought the first event of that stream.
    resumed_attempt_id: bytes
    # Set by the relay for the upstream.
    customer: bytes
    expected_upstream: bytes
    # Set by the upstream.
    signature: bytes
    not_run: bytes
    load: bytes
    # Whether the upstream is leaving.
    leaving: bytes
    # Requests per second that the upstream takes from all daemons together.
    rate_limit: bytes
    # Removed from requests of callers, as only the relay may set them.
    reserved: frozenset[bytes]
