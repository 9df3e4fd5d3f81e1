"""Parses JSON with comments and locates values in the source, for error messages."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import tree_sitter_json
from tree_sitter import Language, Node, Parser

LANGUAGE = Language(tree_sitter_json.language())
MAX_DEPTH = 64
"""The maximum number of levels to which objects and arrays may be nested."""


@dataclass(frozen=True, slots=True)
class Position:
    """A position in a text; lines and columns are counted from 1.

    A column counts the bytes of the line in UTF-8. If the JSON parser reported the problem, it
    counts characters, except in comments.
    """

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class SyntaxProblem:
    """Why a text is not valid JSON with comments, and at which position."""

    position: Position
    message: str


class _DuplicateKeyError(ValueError):
    """A key occurs twice in one object."""


@dataclass(frozen=True)
class Document:
    """The value of a parsed text, and the source in which positions are looked up."""

    value: Any
    source: bytes

    @cached_property
    def root(self) -> Node:
        """The syntax tree, which is built when a position is first looked up."""
        return _parse_tree(self.source)

    def locate(self, path: Sequence[str | int]) -> Position:
        """Return the position of the value at ``path``, or of its nearest existing parent.

        A path consists of keys of objects and indices of arrays.
        """
        node = _first_value(self.root)
        for step in path:
            child = _child_at(node, step)
            if child is None:
                break
            node = child
        return _position(node)


def parse_document(text: str) -> Document | SyntaxProblem:
    """Parse ``text``; comments are allowed, duplicate keys and trailing commas are not.

    The syntax tree, which costs far more than the value, is built only for a text with comments
    or with a problem.
    """
    source = text.encode("utf-8", errors="replace")
    try:
        value = _load(source.decode("utf-8"))
    except (RecursionError, ValueError):
        return _parse_with_tree(source)
    return _parse_with_tree(source) if _is_too_deep(value) else Document(value, source)


def _parse_with_tree(source: bytes) -> Document | SyntaxProblem:
    root = _parse_tree(source)
    too_deep = _find_too_deep(root)
    if too_deep is not None:
        return SyntaxProblem(_position(too_deep), f"nested deeper than {MAX_DEPTH} levels")
    try:
        return Document(_load(_blank_comments(source, root)), source)
    except _DuplicateKeyError:
        return _describe_duplicate_key(root)
    except json.JSONDecodeError as error:
        return SyntaxProblem(Position(error.lineno, error.colno), error.msg)
    except (RecursionError, ValueError) as error:
        return SyntaxProblem(Position(1, 1), str(error))


def _load(text: str) -> Any:
    return json.loads(text, object_pairs_hook=_build_object)


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    built = dict(pairs)
    if len(built) < len(pairs):
        raise _DuplicateKeyError
    return built


def _is_too_deep(value: Any) -> bool:
    level = [value]
    for _ in range(MAX_DEPTH):
        containers = [item for item in level if isinstance(item, dict | list)]
        level = [
            child
            for item in containers
            for child in (item.values() if isinstance(item, dict) else item)
        ]
        if not level:
            return False
    return any(isinstance(item, dict | list) for item in level)


def _parse_tree(source: bytes) -> Node:
    return Parser(LANGUAGE).parse(source).root_node


def _describe_duplicate_key(root: Node) -> SyntaxProblem:
    duplicate = _find_duplicate_key(root)
    if duplicate is None:
        return SyntaxProblem(Position(1, 1), "a key is given twice")
    return SyntaxProblem(_position(duplicate), f"key {_text(duplicate)} is given twice")


def _blank_comments(source: bytes, root: Node) -> str:
    """Return the text with spaces for comments, so that line numbers of errors stay the same."""
    blanked = bytearray(source)
    pending = [root]
    while pending:
        node = pending.pop()
        if node.type == "comment":
            for index in range(node.start_byte, node.end_byte):
                if blanked[index] != ord("\n"):
                    blanked[index] = ord(" ")
        pending.extend(node.children)
    return blanked.decode("utf-8", errors="replace")


def _find_too_deep(root: Node) -> Node | None:
    pending = [(root, 0)]
    while pending:
        node, depth = pending.pop()
        if node.type in ("object", "array"):
            depth += 1
        if depth > MAX_DEPTH:
            return node
        pending.extend((child, depth) for child in node.children)
    return None


def _find_duplicate_key(root: Node) -> Node | None:
    pending = [root]
    while pending:
        node = pending.pop()
        if node.type == "object":
            keys: set[str] = set()
            for pair in node.named_children:
                key = pair.child_by_field_name("key")
                if key is None:
                    continue
                name = _key_name(key)
                if name in keys:
                    return key
                keys.add(name)
        pending.extend(node.named_children)
    return None


def _first_value(root: Node) -> Node:
    for node in root.named_children:
        if node.type != "comment":
            return node
    return root


def _child_at(node: Node, step: str | int) -> Node | None:
    if isinstance(step, int):
        items = [child for child in node.named_children if child.type != "comment"]
        return items[step] if 0 <= step < len(items) else None
    for pair in node.named_children:
        key = pair.child_by_field_name("key")
        if key is not None and _key_name(key) == step:
            return pair.child_by_field_name("value") or pair
    return None


def _key_name(key: Node) -> str:
    try:
        return str(json.loads(_text(key)))
    except ValueError:
        return _text(key)


def _position(node: Node) -> Position:
    return Position(node.start_point.row + 1, node.start_point.column + 1)


def _text(node: Node) -> str:
    return (node.text or b"").decode("utf-8", errors="replace")
