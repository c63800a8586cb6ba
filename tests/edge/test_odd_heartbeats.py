"""Heartbeats and announcements that can be decoded, with unusual values."""

import random

import anyio
import attrs
import pytest
from google.protobuf.descriptor import FieldDescriptor

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.heartbeats import _decode
from camphorpath.edge import daemon as daemon_module
from camphorpath.schema import camphorpath_pb2 as pb

from .test_state import SETTINGS

DRAW_COUNT = 400
TEXTS = ('', 'me', 'b', 'i-0', 'r', '10.0.0.1', '10.0.0.2:1', ':', 'x' * 300, '\x00', 'é')
CONTENTS = (b'', b'{}', b'[]', b'{"id": 1}', b'\xff', b'null', b'x\x9c\x03\x00', b'{"slots": -1}')
REALS = (0.0, -1.0, 1e-300, 1e300, -1e300, 0.5, 60.0)
INTEGERS = (0, 1, 2, 2**31, 2**32 - 1)
LONG_INTEGERS = (0, 1, 5, 2**63 - 1)
CHOICES = {
    FieldDescriptor.CPPTYPE_STRING: TEXTS,
    FieldDescriptor.CPPTYPE_DOUBLE: REALS,
    FieldDescriptor.CPPTYPE_UINT32: INTEGERS,
    FieldDescriptor.CPPTYPE_UINT64: LONG_INTEGERS,
    FieldDescriptor.CPPTYPE_INT64: (*LONG_INTEGERS, -1),
    FieldDescriptor.CPPTYPE_BOOL: (False, True),
}


def draw_value(generator, field):
    if field.type == FieldDescriptor.TYPE_BYTES:
        return generator.choice(CONTENTS)
    return generator.choice(CHOICES[field.cpp_type])


def fill(generator, message):
    """Set about half of the fields of a message to drawn values."""
    for field in message.DESCRIPTOR.fields:
        if generator.random() < 0.5:
            continue
        count = generator.randint(1, 3)
        target = getattr(message, field.name)
        is_repeated = hasattr(target, 'extend')
        if field.message_type is not None and field.message_type.GetOptions().map_entry:
            keys, values = field.message_type.fields
            for _ in range(count):
                target[draw_value(generator, keys)] = draw_value(generator, values)
        elif field.message_type is not None:
            for _ in range(count if is_repeated else 1):
                fill(generator, target.add() if is_repeated else target)
        elif is_repeated:
            target.extend(draw_value(generator, field) for _ in range(count))
        else:
            setattr(message, field.name, draw_value(generator, field))


def make_heartbeat(generator):
    heartbeat = pb.EdgeHeartbeat()
    fill(generator, heartbeat)
    heartbeat.name = generator.choice(('b', 'c', 'me'))
    heartbeat.incarnation = f'{heartbeat.name}-{generator.randint(1, 2)}'
    heartbeat.host = generator.choice(('10.0.0.2', '10.0.0.3', SETTINGS.host))
    if generator.random() < 0.5:
        heartbeat.ClearField('news')
    return heartbeat


@pytest.mark.parametrize('seed', range(20))
def test_odd_heartbeats_raise_nothing(seed):
    """Guards against a message of one daemon that ends all the others."""
    generator = random.Random(seed)

    async def test():
        bounds = attrs.evolve(
            SETTINGS.bounds, canary_share=0.1, canary_allowance=50, rollback_timeout_s=5
        )
        settings = attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0, bounds=bounds)
        daemon = daemon_module.build_edge(settings)
        receive = daemon_module._make_receiver(daemon)
        try:
            for _ in range(DRAW_COUNT):
                heartbeat = _decode(make_heartbeat(generator).SerializeToString())
                if heartbeat is not None:
                    receive(heartbeat)
                daemon.state.expire()
                daemon.rollouts.update(read_lease_clock())
                daemon.state.make_heartbeat()
        finally:
            await daemon.close()

    anyio.run(test)
