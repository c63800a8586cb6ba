import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorpath.calls.bodies import CallerLeft, hash_blocks, read_body, read_model_call
from camphorpath.errors import Refusal
from camphorpath.schema import camphorpath_pb2 as pb

LIMITS = pb.Limits(max_body=100, read_timeout=0.01)
JSON = 'application/json; charset=utf-8'


def make_receive(*messages):
    queue = list(messages)

    async def receive():
        return queue.pop(0)

    return receive


@pytest.mark.anyio
async def test_body_is_bounded():
    """Guards against a body that fills the memory of a daemon."""
    part = {'type': 'http.request', 'body': b'x' * 60, 'more_body': True}
    with pytest.raises(Refusal) as caught:
        await read_body(make_receive(part, part, part), LIMITS)
    assert caught.value.reason == 'body_too_large'


@pytest.mark.anyio
async def test_caller_that_leaves_is_noticed():
    """Guards against half a request that is run."""
    part = {'type': 'http.request', 'body': b'x', 'more_body': True}
    with pytest.raises(CallerLeft):
        await read_body(make_receive(part, {'type': 'http.disconnect'}), LIMITS)


@pytest.mark.parametrize(
    'document',
    [
        [],
        {},
        {'model': 1, 'prompt': 'x'},
        {'model': 'm'},
        {'model': 'm', 'prompt': 'x', 'stream': 'yes'},
        {'model': 'm', 'prompt': 'x', 'max_tokens': -1},
        {'model': 'm', 'prompt': 'x', 'max_tokens': True},
        {'model': 'm', 'messages': 'x'},
    ],
)
def test_malformed_model_calls_are_refused(document):
    """Guards against calls that fail at the engine after they took a slot."""
    with pytest.raises(Refusal) as caught:
        read_model_call(JSON, json.dumps(document).encode())
    assert caught.value.reason == 'bad_body'


def test_wrong_content_type_is_refused():
    """Guards against a form that is read as JSON."""
    with pytest.raises(Refusal) as caught:
        read_model_call('text/plain', b'{}')
    assert caught.value.reason == 'wrong_content_type'


@given(st.binary(max_size=200) | st.text(max_size=200).map(lambda text: text.encode()))
def test_any_body_is_read_or_refused(body):
    """Guards against a body that ends the connection's task with a traceback."""
    try:
        read_model_call(JSON, body)
    except Refusal as refusal:
        assert refusal.reason == 'bad_body'


def test_lone_surrogates_are_read():
    """Guards against escaped surrogates, which JSON allows and UTF-8 does not."""
    call = read_model_call(JSON, b'{"model": "m", "prompt": "\\ud800"}')
    assert call.prompt_tokens >= 1


def test_blocks_cover_the_whole_prefix():
    """Guards against affinity to an upstream that has another prompt's block."""
    first = hash_blocks(b'a' * 1024 + b'b' * 1024)
    second = hash_blocks(b'c' * 1024 + b'b' * 1024)
    assert len(first) == 2
    assert not set(first) & set(second)
    assert hash_blocks(b'a' * 1024 + b'c' * 1024)[0] == first[0]
