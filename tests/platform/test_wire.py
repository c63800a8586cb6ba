from camphorpath.platform.wire import HEADER_NAMES

from ..relay.support import answer_with, ask, open_relay, open_upstream, run

REQUEST = b'GET /read/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 5000\r\n\r\n'
ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Runner-Signature: s\r\n'
    b'Server-Limit: 1.4\r\nContent-Length: 2\r\n\r\nok'
)


def test_limit_in_an_answer_of_the_platform_is_applied():
    """Guards against upstreams that get more than their Server-Limit, as its name is not known."""

    async def test():
        async with open_upstream(answer_with(ANSWER)) as upstream, open_relay(upstream) as relay:
            context, port = relay
            context.header_names = HEADER_NAMES
            status, _head, _body = await ask(port, REQUEST)
            assert status == 200
            assert context.scheduler.slots['i-0'].rate_limit.rate == 1.4

    run(test)
