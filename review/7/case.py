"""A prompt part crashes each runner that begins to write an answer on it: after its first event."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab-2'))

import deadly  # noqa: E402
import lab  # noqa: E402

SHARED_PART = 'aaaa0001'
# For comparison only: the runner ends after the head, before its first event.
WRITES_EVENT = os.environ.get('CRASH_AT') != 'head'


def choose_parts(rng, *, is_deadly):
    parts = [f'{SHARED_PART}:60']
    return [*parts, f'{deadly.DEADLY_PART}:200'] if is_deadly else parts


async def main(record):
    return await deadly.play(record, writes_event=WRITES_EVENT, choose_parts=choose_parts)


lab.run_case(FOLDER, main)
