"""Formats log records as lines of JSON."""

import json

import orjson


def render_line(record: dict[str, object], daemon: str) -> str:
    """Return a loguru record as a JSON object without a trailing newline."""
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'daemon': daemon,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['exception'] = repr(record['exception'].value)
    try:
        return orjson.dumps(line, default=str).decode()
    except orjson.JSONEncodeError:
        # orjson rejects lone surrogates and integers above 64 bits.
        return json.dumps(line, default=str)
