"""Answers that come before the whole request was sent, and answers without a valid status."""

import asyncio
import socket

import pytest

from camphorpath.relay.sockets import LINGER_RESET

from .support import (
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_to_end,
    run,
)
from .test_broken_answers import CHUNKED_END, UNFRAMED_HEAD
from .test_streams import make_event

# More than the buffers of two sockets hold, so that the upload is in progress at the reset.
UPLOAD = b'u' * 4_000_000
UNFRAMED_PLAIN_HEAD = b'HTTP/1.1 200 OK\r\nAttempt: 1\r\nSignature: s\r\n\r\n'


def answer_and_reset(*parts, delay_s):
    """Return a handler that answers while the request is being sent and resets the connection."""

    async def handle(upstream, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b''.join(parts))
        await writer.drain()
        await asyncio.sleep(delay_s)
        plain_socket = writer.get_extra_info('socket')
        plain_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    return handle


@pytest.mark.parametrize('delay_s', [0, 0.02, 0.2])
def test_plain_answer_reset_during_the_upload_is_not_complete(delay_s):
    """Guards against a part of an answer without a length that is taken for the whole one."""

    async def test():
        handle = answer_and_reset(UNFRAMED_PLAIN_HEAD, b'some', delay_s=delay_s)
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            request = make_request(b'/write/x', body=UPLOAD, method=b'POST')
            assert (await ask(relay[1], request))[0] == 502

    run(test)


@pytest.mark.parametrize('delay_s', [0, 0.02, 0.2])
def test_stream_reset_during_the_upload_is_not_complete(delay_s):
    """Guards against a stream without a length that looks complete after a reset."""

    async def test():
        handle = answer_and_reset(UNFRAMED_HEAD, make_event(1), delay_s=delay_s)
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            headers = b'Connection: close\r\n'
            request = make_request(b'/once/x', headers=headers, body=UPLOAD, method=b'POST')
            received, _is_reset = await read_to_end(relay[1], request)
        assert not received.endswith(CHUNKED_END)

    run(test)


@pytest.mark.parametrize('status', [b'000', b'042', b'600', b'700', b'999'])
@pytest.mark.parametrize('path', [b'/write/x', b'/once/x'])
def test_answer_without_a_valid_status_is_not_relayed(path, status):
    """Guards against an answer with a status that HTTP does not have."""

    async def test():
        answer = answer_with(make_answer(b'ok', status + b' Odd'))
        async with open_upstream(answer) as upstream, open_relay(upstream) as relay:
            assert (await ask(relay[1], make_request(path)))[0] == 502

    run(test)
