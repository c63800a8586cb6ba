"""Generate the Python code of the protobuf schema, or check that the committed code is current."""

import argparse
import importlib.resources
import pathlib
import re
import sys
import tempfile

from grpc_tools import protoc

SCHEMA = pathlib.Path('camphorpath/schema')
GENERATED = ('camphorpath_pb2.py', 'camphorpath_grpc.py')


def generate(target: pathlib.Path) -> None:
    """Write the generated modules to `target`."""
    includes = importlib.resources.files('grpc_tools') / '_proto'
    exit_code = protoc.main(
        [
            'protoc',
            f'--proto_path={SCHEMA}',
            f'--proto_path={includes}',
            f'--python_out={target}',
            f'--grpclib_python_out={target}',
            'camphorpath.proto',
        ]
    )
    if exit_code:
        sys.exit(exit_code)
    # The grpclib plugin writes absolute imports, but the modules are inside a package.
    stub = target / 'camphorpath_grpc.py'
    text = stub.read_text()
    text = re.sub('^import camphorpath_pb2$', 'from . import camphorpath_pb2', text, flags=re.M)
    text = re.sub('^import google.protobuf.descriptor_pb2\n', '', text, flags=re.M)
    stub.write_text(text)


def main() -> int:
    """Generate the code; with --check compare it with the committed code instead."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true', help='compare only; exit 1 on a difference')
    if not parser.parse_args().check:
        generate(SCHEMA)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        target = pathlib.Path(folder)
        generate(target)
        changed = [
            name for name in GENERATED if (target / name).read_text() != (SCHEMA / name).read_text()
        ]
    for name in changed:
        sys.stderr.write(f'{SCHEMA / name}: differs from the schema; run "make generate"\n')
    return int(bool(changed))


if __name__ == '__main__':
    sys.exit(main())
