import anyio
import pytest
from loguru import logger

from camphorpath.calls.application import make_application
from camphorpath.calls.reply import AnswerBroken

pytestmark = pytest.mark.anyio

SCOPE = {'type': 'http', 'method': 'GET', 'path': '/camphorpath/health', 'query_string': b''}


async def receive():
    await anyio.sleep_forever()


class FaultyContext:
    """Fails at the first use."""

    def __init__(self, error):
        self.error = error

    def __getattr__(self, name):
        raise self.error


@pytest.fixture
def errors():
    found = []
    handler = logger.add(found.append, level='ERROR')
    yield found
    logger.remove(handler)


@pytest.mark.parametrize('path', ['/camphorpath/health', '/v1/chat/completions'])
async def test_a_failed_assertion_is_written_to_the_log(path, errors):
    """Guards against faults of the program that only a caller notices."""
    application = make_application(FaultyContext(AssertionError('second head')))
    with pytest.raises(AssertionError):
        await application({**SCOPE, 'path': path}, receive, None)
    assert len(errors) == 1
    assert 'AssertionError: second head' in errors[0]


async def test_a_broken_answer_is_no_fault_of_the_program(errors):
    """Guards against a log full of errors when upstreams break streams."""
    application = make_application(FaultyContext(AnswerBroken()))
    with pytest.raises(AnswerBroken):
        await application(SCOPE, receive, None)
    assert not errors
