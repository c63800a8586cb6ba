"""Build the program as one file that runs in one process on any machine with Python 3.11."""

import argparse
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[1]
DEFAULT_OUTPUT = ROOT / 'dist' / 'camphorpath'


def build_binary(output: pathlib.Path) -> None:
    """Write the file `output`.

    It is a zip archive with the pinned requirements. At its first start it is unpacked below
    `SHIV_ROOT` (default: `~/.shiv`; on a VM without disks that is memory) and imported from there
    in the same process; no child process is started.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(
        [
            sys.executable, '-m', 'shiv', '--console-script', 'camphorpath', '--reproducible',
            '--python', '/usr/bin/env python3', '--output-file', str(output),
            '--no-deps', '--requirement', str(ROOT / 'requirements.txt'), str(ROOT),
        ],
        check=True,
        cwd=ROOT,
    )  # fmt: skip


def main() -> int:
    """Build the binary from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--output', type=pathlib.Path, default=DEFAULT_OUTPUT)
    output = parser.parse_args().output
    build_binary(output)
    sys.stdout.write(f'{output}: {output.stat().st_size} bytes\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
