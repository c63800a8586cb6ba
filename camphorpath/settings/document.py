"""Composes the YAML nodes of a settings text and collects the faults found in it."""

import yaml
from attrs import Factory, define
from yaml.composer import Composer, ComposerError
from yaml.cyaml import CParser
from yaml.resolver import Resolver

from .faults import Fault, SettingsError, escape_text

MAX_BYTES = 4 * 1024 * 1024
# The composer is recursive; the deepest key of the schema is on level 6.
MAX_DEPTH = 32
# A composed node takes several hundred bytes, and a daemon has 256 MB of memory.
MAX_NODES = 100000
# Bounds time and memory: a text with 360,000 faults took 14 s and 238 MiB.
MAX_FAULTS = 1000
ALIAS_TAG = 'alias'


@define
class Document:
    """The nodes of a settings text by key path, such as `fleet.tiers[0].rank`, and its faults."""

    name: str
    faults: list[Fault] = Factory(list)
    nodes: dict[str, yaml.Node] = Factory(dict)
    # References to list entries: key path, path of the list, and the name referred to.
    references: list[tuple[str, str, str]] = Factory(list)
    _faulty_paths: set[str] = Factory(set)

    def report(self, path: str, problem: str, node: yaml.Node | None = None) -> None:
        """Add a fault at `node`, by default the node at `path` or its nearest enclosing node."""
        text = ''
        node_or_parent = node or self.nodes.get(path)
        if isinstance(node_or_parent, yaml.ScalarNode):
            text = escape_text(node_or_parent.value)
        node_or_parent = node_or_parent or self._find_enclosing_node(path)
        self._faulty_paths.add(path)
        line = node_or_parent.start_mark.line + 1 if node_or_parent else 0
        self._add(Fault(self.name, line, path, text, problem))

    def report_key(self, path: str, problem: str, pair: tuple[yaml.Node, yaml.Node]) -> None:
        """Add a fault of a key, with the line of the key and the text of its value."""
        key_node, value_node = pair
        text = escape_text(value_node.value) if isinstance(value_node, yaml.ScalarNode) else ''
        self._add(Fault(self.name, key_node.start_mark.line + 1, path, text, problem))

    def is_valid(self, *paths: str) -> bool:
        """Return whether no fault was reported at these paths or at a node that encloses them."""
        for path in paths:
            enclosing_path = path
            while enclosing_path:
                if enclosing_path in self._faulty_paths:
                    return False
                enclosing_path = _parent_path(enclosing_path)
        return True

    def get_line(self, path: str) -> int:
        """Return the line of the node at `path`, counted from 1."""
        return self.nodes[path].start_mark.line + 1

    def _add(self, fault: Fault) -> None:
        self.faults.append(fault)
        if len(self.faults) >= MAX_FAULTS:
            problem = f'has {MAX_FAULTS} faults or more; the rest was not checked'
            raise SettingsError([Fault(self.name, 0, '', '', problem), *self.faults])

    def _find_enclosing_node(self, path: str) -> yaml.Node | None:
        while path:
            path = _parent_path(path)
            node = self.nodes.get(path)
            if node:
                return node
        return None


def _parent_path(path: str) -> str:
    """Return the path of the enclosing node."""
    return path[: max(path.rfind('.'), path.rfind('['), 0)]


class _Loader(Composer, CParser, Resolver):
    """PyYAML's composer over its C parser, with limits on the depth and the number of nodes."""

    def __init__(self, text: str) -> None:
        CParser.__init__(self, text)
        Composer.__init__(self)
        Resolver.__init__(self)
        self._depth = 0
        self._count = 0

    def compose_node(self, parent: yaml.Node | None, index: object) -> yaml.Node:
        """Compose a node; aliases become scalars with ALIAS_TAG, as expansion can be huge."""
        mark = self.peek_event().start_mark
        self._count += 1
        if self._count > MAX_NODES:
            raise ComposerError(None, None, f'more than {MAX_NODES} values', mark)
        if self._depth >= MAX_DEPTH:
            raise ComposerError(None, None, f'nested deeper than {MAX_DEPTH} levels', mark)
        if self.check_event(yaml.AliasEvent):
            alias = self.get_event()
            return yaml.ScalarNode(ALIAS_TAG, f'*{alias.anchor}', mark, alias.end_mark)
        self._depth += 1
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node


def compose(text: str, name: str) -> yaml.Node | None:
    """Return the root node of the text, or None if the text is empty.

    Raises SettingsError if the text is too large or is not a single YAML document.
    """
    encoded = encode_text(text, name)
    if len(encoded) > MAX_BYTES:
        raise make_size_error(name)
    try:
        return _Loader(text).get_single_node()
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        # The parser reports the end of the text on the line after the last one.
        line = min(mark.line, text.count('\n')) + 1 if mark else 0
        problem = error.problem or error.context or 'is not YAML'
    except yaml.reader.ReaderError as error:
        line = encoded.count(b'\n', 0, error.position) + 1
        problem = error.reason
    raise SettingsError([Fault(name, line, '', '', problem)])


def encode_text(text: str, name: str) -> bytes:
    """Return the text as UTF-8; raises SettingsError for lone surrogates."""
    try:
        return text.encode()
    except UnicodeEncodeError as error:
        line = text.count('\n', 0, error.start) + 1
    raise SettingsError([Fault(name, line, '', '', 'is not valid Unicode text')])


def make_size_error(name: str) -> SettingsError:
    """Return the error for a text above MAX_BYTES."""
    return SettingsError([Fault(name, 0, '', '', f'is larger than {MAX_BYTES} bytes')])
