"""A booking whose answer comes in one-byte chunks without end stops the daemon."""

import functools
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lab'))

from hang import play  # noqa: E402
from lab import run  # noqa: E402

run(functools.partial(play, HERE, 'chunks'))
