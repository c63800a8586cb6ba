"""Parses scalar values of the settings and checks their units, types, choices and ranges."""

import decimal
import ipaddress
import re
import types
import urllib.parse
from collections.abc import Callable, Mapping

import yaml
from google.protobuf.descriptor import FieldDescriptor

from ..schema import camphorpath_pb2 as pb
from .document import ALIAS_TAG

Scalar = str | int | float | bool

TAG_PREFIX = 'tag:yaml.org,2002:'
ALIAS_PROBLEM = 'aliases are not allowed; write the value out'
_SECONDS_PER_UNIT = types.MappingProxyType(
    {'ms': '0.001', 's': '1', 'm': '60', 'h': '3600', 'd': '86400'},
)
_BYTES_PER_UNIT = types.MappingProxyType({'B': 1, 'KiB': 1024, 'MiB': 1024**2, 'GiB': 1024**3})
_SHARE_PER_UNIT = types.MappingProxyType({'%': '0.01'})
_INTEGER_MAX = types.MappingProxyType(
    {
        FieldDescriptor.CPPTYPE_UINT32: 0xFFFFFFFF,
        FieldDescriptor.CPPTYPE_UINT64: 0xFFFFFFFFFFFFFFFF,
    }
)
_MAX_PORT = 65535
_PERCENT = 100

# The number of digits is limited because Python refuses to convert very long integers.
_INTEGER = re.compile('-?(0|[1-9][0-9]{0,19})')
_DECIMAL = re.compile('-?(0|[1-9][0-9]{0,19})([.][0-9]{1,20})?')
_AMOUNT = re.compile('(-?[0-9]{1,20}(?:[.][0-9]{1,20})?) ?([A-Za-z%]*)')
_NAME = re.compile('[a-z0-9][a-z0-9_-]{0,62}')
_TIME_OF_DAY = '([01][0-9]|2[0-3]):[0-5][0-9]'
_HOURS = re.compile(f'(?P<start>{_TIME_OF_DAY})-(?P<end>{_TIME_OF_DAY})')
_PORT = re.compile('[1-9][0-9]{0,4}')

_DURATION_FORMAT = 'a duration such as 250ms, 30s, 5m, 2h or 35d'
_SIZE_FORMAT = 'a size such as 512B, 8KiB, 16MiB or 1GiB'
_SHARE_FORMAT = 'a share such as 25% or 0.25'
_ADDRESS_FORMAT = 'an IP address and port such as 127.0.0.1:8080'
_URL_FORMAT = 'a URL such as http://127.0.0.1:8080'


class InvalidValue(ValueError):
    """A value does not satisfy its rule; the message states the problem."""


def get_rule(field: FieldDescriptor) -> pb.Rule:
    """Return the rule of a field, which is empty if the field has none."""
    return field.GetOptions().Extensions[pb.rule]


def parse_scalar(node: yaml.Node, field: FieldDescriptor) -> Scalar:
    """Return the validated value of a node in the unit of its field; raises InvalidValue."""
    rule = get_rule(field)
    if node.tag == ALIAS_TAG:
        raise InvalidValue(ALIAS_PROBLEM)
    if isinstance(node, yaml.CollectionNode):
        found = 'a list' if isinstance(node, yaml.SequenceNode) else 'a mapping'
        raise InvalidValue(f'expected one value, found {found}')
    if _get_type(node) == 'null':
        raise InvalidValue('has no value')
    parse = _UNIT_PARSERS.get(rule.unit) or _TYPE_PARSERS[field.cpp_type]
    parsed = parse(node)
    if rule.choices and parsed not in rule.choices:
        raise InvalidValue(f'must be one of {", ".join(rule.choices)}')
    if not isinstance(parsed, str):
        _check_range(parsed, field, rule)
    return parsed


def _parse_amount(
    node: yaml.ScalarNode, units: Mapping[str, object], expected: str
) -> tuple[str, str]:
    """Return the number and the unit of an amount, both as text; raises InvalidValue."""
    match = _AMOUNT.fullmatch(node.value)
    if not match:
        raise InvalidValue(f'expected {expected}')
    number, unit = match.groups()
    if not unit:
        raise InvalidValue(f'has no unit; expected {expected}')
    if unit not in units:
        raise InvalidValue(f'unknown unit {unit!r}; expected {expected}')
    return number, unit


def _get_type(node: yaml.Node) -> str:
    return node.tag.removeprefix(TAG_PREFIX)


def _parse_seconds(node: yaml.ScalarNode) -> float:
    number, unit = _parse_amount(node, _SECONDS_PER_UNIT, _DURATION_FORMAT)
    # With Decimal, 0.1ms gives the float nearest to 0.0001.
    return float(decimal.Decimal(number) * decimal.Decimal(_SECONDS_PER_UNIT[unit]))


def _parse_bytes(node: yaml.ScalarNode) -> int:
    number, unit = _parse_amount(node, _BYTES_PER_UNIT, _SIZE_FORMAT)
    if not _INTEGER.fullmatch(number):
        raise InvalidValue(f'expected a whole number of {unit}')
    return int(number) * _BYTES_PER_UNIT[unit]


def _parse_share(node: yaml.ScalarNode) -> float:
    if _get_type(node) in {'int', 'float'}:
        return _parse_number(node)
    number, _ = _parse_amount(node, _SHARE_PER_UNIT, _SHARE_FORMAT)
    return float(decimal.Decimal(number) / _PERCENT)


def _parse_text(node: yaml.ScalarNode) -> str:
    if _get_type(node) != 'str':
        raise InvalidValue(f'expected text, found {_get_type(node)}; put it in quotes')
    if not node.value.strip():
        raise InvalidValue('is empty')
    return node.value


def _parse_name(node: yaml.ScalarNode) -> str:
    text = _parse_text(node)
    if not _NAME.fullmatch(text):
        raise InvalidValue('expected up to 63 of lower-case letters, digits, "-" and "_"')
    return text


def _parse_address(node: yaml.ScalarNode) -> str:
    text = _parse_text(node)
    host, _, port = text.rpartition(':')
    bare = host[1:-1] if host.startswith('[') and host.endswith(']') else host
    try:
        address = ipaddress.ip_address(bare)
    except ValueError:
        raise InvalidValue(f'expected {_ADDRESS_FORMAT}') from None
    if (address.version == 4) != (bare == host):
        raise InvalidValue('only an IPv6 address is written in brackets, and always')
    if address.is_unspecified or address.is_multicast:
        raise InvalidValue('other processes cannot connect to this address')
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise InvalidValue(f'the port must be from 1 to {_MAX_PORT}')
    return text


def _parse_url(node: yaml.ScalarNode) -> str:
    text = _parse_text(node)
    # urlsplit removes tabs and line ends silently.
    if not text.isprintable() or ' ' in text:
        raise InvalidValue(f'expected {_URL_FORMAT}')
    try:
        parts = urllib.parse.urlsplit(text)
        is_complete = bool(parts.hostname) and parts.port != 0
    except ValueError:
        raise InvalidValue(f'expected {_URL_FORMAT}') from None
    if parts.scheme not in {'http', 'https'} or not is_complete:
        raise InvalidValue(f'expected {_URL_FORMAT}')
    if parts.query or parts.fragment or '@' in parts.netloc:
        raise InvalidValue('must have no user, query or fragment')
    return text


def _parse_hours(node: yaml.ScalarNode) -> str:
    match = _HOURS.fullmatch(_parse_text(node))
    if not match:
        raise InvalidValue('expected hours in UTC such as 22:00-06:00')
    if match['start'] == match['end']:
        raise InvalidValue('begins and ends at the same time; leave it out for the whole day')
    return node.value


def _reject_quotes(node: yaml.ScalarNode) -> None:
    if node.style:
        raise InvalidValue('is text; write it without quotes')


def _parse_bool(node: yaml.ScalarNode) -> bool:
    _reject_quotes(node)
    if node.tag != f'{TAG_PREFIX}bool':
        raise InvalidValue('expected true or false')
    flag = yaml.SafeLoader.bool_values.get(node.value.lower())
    if flag is None:
        raise InvalidValue('expected true or false')
    return flag


def _parse_integer(node: yaml.ScalarNode) -> int:
    _reject_quotes(node)
    # YAML 1.1 parses 010 as 8 and 1:30 as 90; only decimal digits are accepted.
    if _get_type(node) != 'int' or not _INTEGER.fullmatch(node.value):
        raise InvalidValue('expected a whole number in decimal digits')
    return int(node.value)


def _parse_number(node: yaml.ScalarNode) -> float:
    _reject_quotes(node)
    if _get_type(node) not in {'int', 'float'} or not _DECIMAL.fullmatch(node.value):
        raise InvalidValue('expected a number in decimal digits')
    return float(node.value)


def _check_range(number: float, field: FieldDescriptor, rule: pb.Rule) -> None:
    type_max = _INTEGER_MAX.get(field.cpp_type)
    low = rule.min if rule.HasField('min') else None
    if low is None and type_max:
        low = 0
    high = rule.max if rule.HasField('max') else type_max
    if low is not None and number < low:
        raise InvalidValue(f'below the minimum of {_format_bound(low, rule.unit)}')
    if high is not None and number > high:
        raise InvalidValue(f'above the maximum of {_format_bound(high, rule.unit)}')


def _format_bound(bound: float, unit: int) -> str:
    if unit == pb.SHARE:
        return f'{bound:.0%}'
    number = int(bound) if bound == int(bound) else bound
    if unit == pb.SECONDS:
        return f'{number}s'
    if unit != pb.BYTES:
        return str(number)
    name, size = max(
        (item for item in _BYTES_PER_UNIT.items() if number % item[1] == 0),
        key=lambda item: item[1],
    )
    return f'{number // size}{name}'


_UNIT_PARSERS: Mapping[int, Callable[[yaml.ScalarNode], Scalar]] = types.MappingProxyType(
    {
        pb.SECONDS: _parse_seconds,
        pb.BYTES: _parse_bytes,
        pb.SHARE: _parse_share,
        pb.ADDRESS: _parse_address,
        pb.URL: _parse_url,
        pb.HOURS: _parse_hours,
        pb.NAME: _parse_name,
    }
)
_TYPE_PARSERS: Mapping[int, Callable[[yaml.ScalarNode], Scalar]] = types.MappingProxyType(
    {
        FieldDescriptor.CPPTYPE_STRING: _parse_text,
        FieldDescriptor.CPPTYPE_BOOL: _parse_bool,
        FieldDescriptor.CPPTYPE_UINT32: _parse_integer,
        FieldDescriptor.CPPTYPE_UINT64: _parse_integer,
        FieldDescriptor.CPPTYPE_DOUBLE: _parse_number,
    }
)
