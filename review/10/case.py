"""A prompt part that crashes each runner is the ninth of ten shared parts of its prompts."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab-2'))

import deadly  # noqa: E402
import lab  # noqa: E402

# Documents from which a prompt takes one at each place; sound requests and others share them.
POOL_SIZE = 4
# For comparison only: with PLACE=1 the deadly part is the second one.
PLACE = int(os.environ.get('PLACE', '8'))
PART_COUNT = 10


def choose_parts(rng, *, is_deadly):
    parts = ['aaaa0001:60']
    parts += [f'b{place:03x}{rng.randrange(POOL_SIZE):04x}:40' for place in range(1, PART_COUNT)]
    if is_deadly:
        parts[PLACE] = f'{deadly.DEADLY_PART}:40'
    return parts


async def main(record):
    return await deadly.play(record, writes_event=False, choose_parts=choose_parts)


lab.run_case(FOLDER, main)
