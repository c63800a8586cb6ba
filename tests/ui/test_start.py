import signal
import subprocess
import sys

import pytest

# Sends SIGTERM while the modules of the commands are imported.
SCRIPT = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'camphorpath.ui.cli':
            os.kill(os.getpid(), signal.SIGTERM)

sys.meta_path.insert(0, Finder())
from camphorpath.ui import main
sys.exit(main(sys.argv[1:]))
"""


def run_stopped(*arguments):
    return subprocess.run([sys.executable, '-c', SCRIPT, *arguments], timeout=60).returncode


def test_stop_while_a_daemon_starts_is_a_planned_stop():
    """Guards against a planned stop that counts as a failure because the program was starting."""
    assert run_stopped('serve', 'none.yaml') == 0


@pytest.mark.parametrize('command', ['check', 'config'])
def test_other_commands_that_are_stopped_have_failed(command):
    """Guards against a command that reports success although it was ended before it ran."""
    assert run_stopped(command) == -signal.SIGTERM
