"""Validated access to the fields of decoded documents."""

from collections.abc import Mapping
from typing import Any

import orjson

from ..errors import PlatformError

SIGNED_BITS = 63
# Peers are sent signed 64-bit integers.
MAX_NUMBER = 2**SIGNED_BITS - 1
MAX_NAME_CHARS = 200


def decode_fields(text: bytes) -> 'Fields':
    """Return the fields of a JSON object; raise PlatformError if the text is anything else."""
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise PlatformError(f'not valid JSON: {error}', step='decode') from error
    return Fields(document, '')


class Fields:
    """An object in a decoded document.

    The methods that return a field raise PlatformError with its path if it has a wrong type or is
    out of range; `text`, `name` and numbers without a default do so too if it is missing.
    """

    def __init__(self, document: Any, path: str) -> None:
        """Wrap the object `document` at a path; raise PlatformError if it is not an object."""
        if not isinstance(document, Mapping):
            raise PlatformError(f'{path or "document"} is not an object', step='decode')
        self._document = document
        self._path = path

    def text(self, name: str) -> str:
        """Return a non-empty string."""
        found = self._document.get(name)
        if not isinstance(found, str) or not found:
            raise self._make_error(name, 'is missing or not a non-empty string')
        return found

    def name(self, name: str) -> str:
        """Return a non-empty printable string of at most MAX_NAME_CHARS characters."""
        found = self.text(name)
        if len(found) > MAX_NAME_CHARS or not found.isprintable():
            raise self._make_error(name, 'is too long or has control characters')
        return found

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number from 0 to MAX_NUMBER; `default` if it is missing."""
        found = self._document.get(name, default)
        if isinstance(found, bool) or not isinstance(found, int | float):
            raise self._make_error(name, 'is not a number')
        if not 0 <= found <= MAX_NUMBER:
            raise self._make_error(name, 'is out of range')
        return found

    def whole(self, name: str, default: int | None = None, *, highest: int = MAX_NUMBER) -> int:
        """Return a whole number from 0 to `highest`; `default` if it is missing."""
        found = self.number(name, default)
        if found > highest or found != int(found):
            raise self._make_error(name, f'is not a whole number up to {highest}')
        return int(found)

    def flag(self, name: str) -> bool:
        """Return a boolean; false if it is missing."""
        found = self._document.get(name, False)
        if not isinstance(found, bool):
            raise self._make_error(name, 'is not a boolean')
        return found

    def objects(self, name: str) -> 'list[Fields]':
        """Return the objects of a list; empty if it is missing."""
        return [
            Fields(entry, f'{self._path}{name}.{index}.')
            for index, entry in enumerate(self.items(name))
        ]

    def items(self, name: str) -> list[Any]:
        """Return a list; empty if it is missing."""
        found = self._document.get(name)
        if found is None:
            return []
        if not isinstance(found, list):
            raise self._make_error(name, 'is not a list')
        return found

    def texts(self, name: str) -> list[str]:
        """Return a list of strings; empty if it is missing."""
        found = self.items(name)
        if not all(isinstance(entry, str) for entry in found):
            raise self._make_error(name, 'is not a list of strings')
        return found

    def section(self, name: str) -> 'Fields':
        """Return a nested object; empty if it is missing."""
        return Fields(self._document.get(name) or {}, f'{self._path}{name}.')

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._document.get(name) is not None

    def mapping(self, name: str) -> dict[str, str]:
        """Return a mapping of strings; empty if it is missing."""
        found = self._document.get(name) or {}
        if not isinstance(found, dict):
            raise self._make_error(name, 'is not an object')
        return {str(key): str(entry) for key, entry in found.items()}

    def _make_error(self, name: str, problem: str) -> PlatformError:
        return PlatformError(f'{self._path}{name} {problem}', step='decode')
