"""Converts YAML nodes to messages of the schema and applies the defaults of the schema."""

import difflib
import functools

import yaml
from google.protobuf.descriptor import Descriptor, FieldDescriptor
from google.protobuf.message import Message

from .document import ALIAS_TAG, Document, compose
from .faults import escape_text
from .scalars import ALIAS_PROBLEM, TAG_PREFIX, InvalidValue, Scalar, get_rule, parse_scalar


def read_message(node: yaml.Node, message: Message, path: str, document: Document) -> None:
    """Fill the message from a mapping, with defaults for absent keys; report each fault."""
    document.nodes[path] = node
    if not _is_collection(node, 'map', path, document):
        return
    seen: dict[str, yaml.Node] = {}
    for key_node, value_node in node.value:
        key = _read_key((key_node, value_node), seen, message.DESCRIPTOR, path, document)
        if not key:
            continue
        seen[key] = key_node
        field = message.DESCRIPTOR.fields_by_name[key]
        _read_field(value_node, message, field, _join_path(path, key), document)
    for field in message.DESCRIPTOR.fields:
        if field.name in seen:
            continue
        if get_rule(field).required:
            document.report(_join_path(path, field.name), 'is required and missing')
            continue
        _apply_default(message, field)


def apply_defaults(message: Message) -> None:
    """Set the fields of an empty message that have a default."""
    for field in message.DESCRIPTOR.fields:
        _apply_default(message, field)


def _apply_default(message: Message, field: FieldDescriptor) -> None:
    if field.is_repeated:
        return
    if field.message_type is None:
        if get_rule(field).default:
            setattr(message, field.name, _parse_default(field))
        return
    # A section with a required key cannot be filled with defaults and stays absent.
    if not any(get_rule(inner).required for inner in field.message_type.fields):
        part = getattr(message, field.name)
        part.SetInParent()
        apply_defaults(part)


@functools.cache
def _parse_default(field: FieldDescriptor) -> Scalar:
    return parse_scalar(compose(get_rule(field).default, field.full_name), field)


def _read_key(
    pair: tuple[yaml.Node, yaml.Node],
    seen: dict[str, yaml.Node],
    descriptor: Descriptor,
    path: str,
    document: Document,
) -> str:
    """Return the key, or '' if it is invalid and was reported."""
    key_node = pair[0]
    if not isinstance(key_node, yaml.ScalarNode) or key_node.tag == ALIAS_TAG:
        document.report_key(path, 'a key must be plain text', pair)
        return ''
    key = key_node.value
    shown = _join_path(path, escape_text(key))
    first = seen.get(key)
    if first:
        first_line = first.start_mark.line + 1
        document.report_key(shown, f'duplicate key; first on line {first_line}', pair)
        return ''
    if key not in descriptor.fields_by_name:
        close = difflib.get_close_matches(escape_text(key), descriptor.fields_by_name, n=1)
        hint = f'; did you mean "{close[0]}"?' if close else ''
        document.report_key(shown, f'unknown key{hint}', pair)
        return ''
    return key


def _read_field(
    node: yaml.Node, message: Message, field: FieldDescriptor, path: str, document: Document
) -> None:
    document.nodes[path] = node
    if field.is_repeated:
        _read_list(node, message, field, path, document)
    elif field.message_type:
        part = getattr(message, field.name)
        part.SetInParent()
        read_message(node, part, path, document)
    else:
        scalar = _read_scalar(node, field, path, document)
        if scalar is not None:
            setattr(message, field.name, scalar)


def _read_list(
    node: yaml.Node, message: Message, field: FieldDescriptor, path: str, document: Document
) -> None:
    if not _is_collection(node, 'seq', path, document):
        return
    if get_rule(field).required and not node.value:
        document.report(path, 'must not be empty')
    entries = getattr(message, field.name)
    first_paths: dict[str, str] = {}
    for index, entry_node in enumerate(node.value):
        entry_path = f'{path}[{index}]'
        document.nodes[entry_path] = entry_node
        label_path = entry_path
        if field.message_type:
            entry = entries.add()
            read_message(entry_node, entry, entry_path, document)
            label_path = f'{entry_path}.name'
            label = getattr(entry, 'name', '')
        else:
            # An invalid entry becomes an empty string, so that indexes match the key paths.
            label = _read_scalar(entry_node, field, entry_path, document) or ''
            entries.append(label)
        if label and label in first_paths:
            first_line = document.get_line(first_paths[label])
            document.report(label_path, f'occurs twice; first on line {first_line}')
        first_paths.setdefault(label, label_path)


def _read_scalar(
    node: yaml.Node, field: FieldDescriptor, path: str, document: Document
) -> Scalar | None:
    """Return the validated value, or None if it is invalid and was reported."""
    try:
        scalar = parse_scalar(node, field)
    except InvalidValue as error:
        document.report(path, str(error))
        return None
    if get_rule(field).refers_to:
        document.references.append((path, get_rule(field).refers_to, scalar))
    return scalar


def _is_collection(node: yaml.Node, kind: str, path: str, document: Document) -> bool:
    """Return whether the node is a mapping (`map`) or a list (`seq`); report it if not."""
    if node.tag == f'{TAG_PREFIX}{kind}' and isinstance(node, yaml.CollectionNode):
        return True
    if node.tag == ALIAS_TAG:
        problem = ALIAS_PROBLEM
    elif isinstance(node, yaml.ScalarNode) and not node.value:
        problem = 'has no value'
    else:
        problem = 'expected a mapping' if kind == 'map' else 'expected a list'
    document.report(path, problem)
    return False


def _join_path(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key
