import pytest
from loguru import logger


@pytest.fixture(autouse=True, scope='package')
def silent_log():
    logger.disable('camphorpath')
    yield
    logger.enable('camphorpath')
