"""A file to which a stand-in appends its executions, so that they survive its crash."""

import json
import os
import time


class Journal:
    """Appends one JSON object per line; without a path it writes nothing."""

    def __init__(self, path: str = '') -> None:
        """Open the file `path` for appending."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o600) if path else None

    def write(self, **fields: object) -> None:
        """Append the fields of one execution and the time, unbuffered so as to survive a crash."""
        if self._file is None:
            return
        line = json.dumps({'at': time.time(), **fields})
        os.write(self._file, f'{line}\n'.encode())
