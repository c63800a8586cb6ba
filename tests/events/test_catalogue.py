import pathlib
import re

from camphorpath.events import Event

CATALOGUE = pathlib.Path(__file__).parents[2] / 'docs' / 'events.md'


def test_docs_list_every_event():
    """Guards against events that operators see in logs and do not find in the catalogue."""
    rows = re.findall(r'^\| (\d+) \| (\w+) \|', CATALOGUE.read_text(), flags=re.M)
    assert {(int(number), name) for number, name in rows} == {
        (event.value, event.name.lower()) for event in Event
    }
