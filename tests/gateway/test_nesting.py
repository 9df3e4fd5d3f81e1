"""Guard against JSON from outside that ends the process, or takes more memory than it has."""

import json
import subprocess
import sys
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate._fields import MAX_LEVELS, MAX_VALUES, FieldError, decode_json
from masticgate._nesting import count_values, find_structure, is_nested_deeper
from masticgate.process.gateway._gateway import STACK_BYTES

CHILD = """
import sys, threading
from masticgate._fields import FieldError, decode_json

def run(data):
    try:
        decode_json(data)
    except FieldError:
        print("refused")

sys.setrecursionlimit(100_000)
threading.stack_size(int(sys.argv[1]))
thread = threading.Thread(target=run, args=(sys.stdin.buffer.read(),))
thread.start()
thread.join()
"""
"""Decodes its input as a release of Python does that lets its decoder recurse further."""

LEVELS = 5_000
DEEP = {
    "arrays": b"[" * LEVELS + b"]" * LEVELS,
    "objects": b'{"a":' * LEVELS + b"1" + b"}" * LEVELS,
    "never closed": b"[" * LEVELS,
    "closed in a string": b'["]",' * LEVELS + b"1" + b"]" * LEVELS,
    "closed behind an escaped quote": rb'["\"]",' * LEVELS + b"1" + b"]" * LEVELS,
    "closed behind an escaped backslash": rb'["\\]",' * LEVELS + b"1" + b"]" * LEVELS,
    "two bytes a character": ("[" * LEVELS + "]" * LEVELS).encode("utf-16"),
    "with characters that look like quotes": ('["\u2222]",' * LEVELS).encode("utf-16"),
}
JSON_VALUES = st.recursive(
    st.none() | st.integers() | st.text('[]{}"\\ab\u2222'),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text('[]{}"\\'), inner),
    max_leaves=20,
)


def count_levels(value: object) -> int:
    match value:
        case dict():
            return 1 + max(map(count_levels, value.values()), default=0)
        case list():
            return 1 + max(map(count_levels, value), default=0)
        case _:
            return 0


def count_all(value: object) -> int:
    match value:
        case dict():
            return 1 + sum(map(count_all, value.values()))
        case list():
            return 1 + sum(map(count_all, value))
        case _:
            return 1


class TestNesting:
    @pytest.mark.parametrize("data", DEEP.values(), ids=DEEP)
    def test_deep_value_does_not_end_process(self, data):
        """Guard against a stack overflow of a task that decodes an entry of another writer."""
        command = [sys.executable, "-c", CHILD, str(STACK_BYTES)]
        child = subprocess.run(command, input=data, capture_output=True, timeout=30)
        assert (child.returncode, child.stdout) == (0, b"refused\n"), child.stderr

    @pytest.mark.parametrize("data", [b"[" * 64 + b"]" * 64, b'{"a":' * 64 + b"1" + b"}" * 64])
    def test_value_up_to_the_bound_is_decoded(self, data):
        assert count_levels(decode_json(data)) == MAX_LEVELS
        with pytest.raises(FieldError):
            decode_json(b"[" + data + b"]")

    @given(JSON_VALUES, st.booleans())
    def test_levels_are_those_of_the_decoded_value(self, value, ascii_only):
        structure = find_structure(json.dumps(value, ensure_ascii=ascii_only).encode())
        levels = count_levels(value)
        assert not is_nested_deeper(structure, levels)
        assert levels == 0 or is_nested_deeper(structure, levels - 1)

    @given(JSON_VALUES, st.booleans())
    def test_number_of_values_is_not_too_low(self, value, ascii_only):
        structure = find_structure(json.dumps(value, ensure_ascii=ascii_only).encode())
        assert count_values(structure) >= count_all(value)

    def test_many_flat_values_are_decoded(self):
        value = [{"key": 'a]\\"[', "value": [[], {}]}] * 10_000
        assert decode_json(json.dumps(value).encode()) == value


class TestValues:
    @pytest.mark.parametrize("item", [b"[],", b"{},", b'{"a":1},', b"7,"])
    def test_body_of_many_small_values_takes_bounded_memory(self, item):
        """Guard against a body within the bound on bytes that takes hundreds of MB decoded."""
        data = b"[" + item * (8_000_000 // len(item)) + b"7]"
        tracemalloc.start()
        with pytest.raises(FieldError, match="values"):
            decode_json(data)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < 40_000_000

    def test_largest_number_of_values_is_decoded(self):
        assert len(decode_json(b"[" + b"7," * (MAX_VALUES - 2) + b"7]")) == MAX_VALUES - 1
