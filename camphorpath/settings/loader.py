"""Loads settings files and fleet configurations."""

import importlib.resources
import pathlib

from ..schema import camphorpath_pb2 as pb
from .checks import check_settings
from .document import MAX_BYTES, Document, compose, make_size_error
from .faults import Fault, SettingsError
from .reader import read_message


def load_settings(path: str) -> pb.Settings:
    """Return the validated settings of a file; raises SettingsError with every fault."""
    return _parse_settings(_read_text(path), path)


def parse_fleet(text: str, name: str) -> pb.Fleet:
    """Return the `fleet` section of a settings text; faults name `name` as the file.

    A `daemon` section is validated but not returned. Raises SettingsError with every fault.
    """
    settings = _parse_settings(text, name)
    if not settings.HasField('fleet'):
        raise SettingsError([Fault(name, 0, 'fleet', '', 'is required and missing')])
    return settings.fleet


def read_defaults() -> str:
    """Return the text of the packaged defaults.yaml."""
    return importlib.resources.files(__package__).joinpath('defaults.yaml').read_text('utf-8')


def _read_text(path: str) -> str:
    try:
        with pathlib.Path(path).open('rb') as stream:
            encoded = stream.read(MAX_BYTES + 1)
    except (OSError, ValueError) as error:
        problem = getattr(error, 'strerror', '') or str(error)
        raise SettingsError([Fault(path, 0, '', '', problem)]) from error
    if len(encoded) > MAX_BYTES:
        raise make_size_error(path)
    try:
        return encoded.decode()
    except UnicodeDecodeError as error:
        line = encoded.count(b'\n', 0, error.start) + 1
    raise SettingsError([Fault(path, line, '', '', 'is not UTF-8')])


def _parse_settings(text: str, name: str) -> pb.Settings:
    root = compose(text, name)
    if root is None:
        raise SettingsError([Fault(name, 0, '', '', 'is empty')])
    document = Document(name)
    settings = pb.Settings()
    read_message(root, settings, '', document)
    check_settings(settings, document)
    if document.faults:
        raise SettingsError(document.faults)
    return settings
