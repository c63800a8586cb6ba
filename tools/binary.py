"""Build the program as a single executable file that needs only Python 3.11."""

import argparse
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[1]
DEFAULT_OUTPUT = ROOT / 'dist' / 'camphorpath'


def build_binary(output: pathlib.Path) -> None:
    """Write the executable zip archive `output`, which contains the pinned requirements.

    On its first start the archive is unpacked below `SHIV_ROOT` (default: `~/.shiv`, which is in
    memory on a VM without disks) and imported from there in the same process, so the program runs
    as one process without children.
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
