"""Tests that every decoder of the product turns any bytes into a value or a failure."""

import ast
import importlib
import pkgutil
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import headcross_base
import headcross_cli
import headcross_daemon
import headcross_facts
import headcross_fleet
import headcross_gateway
import headcross_native
import headcross_platform
import headcross_ports
import headcross_renewal
import headcross_rollout
import headcross_routing
import headcross_weights
import headcross_wire
import msgspec
import pytest
from headcross_base.decoding import (
    DECODERS,
    MAX_INT64,
    JsonDecoder,
    MessagePackDecoder,
    decode_toml,
    parse_decimal,
    parse_whole_number,
    replace_deep_values,
)
from headcross_base.errors import Failure, Ok
from headcross_platform.backpressure import read_leaving, read_limit, read_rest
from headcross_wire import peermessages
from hypothesis import given
from hypothesis import strategies as st
from msgspec import inspect

from testing.hostile import NESTED_LISTS, NESTED_OBJECTS

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = (
    headcross_base, headcross_cli, headcross_daemon, headcross_facts, headcross_fleet,
    headcross_gateway, headcross_native, headcross_platform, headcross_ports, headcross_renewal,
    headcross_rollout, headcross_routing, headcross_weights, headcross_wire,
)  # fmt: skip
BOUNDARY = ROOT / "libs/base/src/headcross_base/decoding.py"
# What decodes bytes or text from outside; only the boundary may use these.
DECODING_CALLS = {
    "msgspec.json.decode", "msgspec.json.Decoder", "msgspec.msgpack.decode",
    "msgspec.msgpack.Decoder", "msgspec.toml.decode", "msgspec.yaml.decode",
    "json.loads", "json.load", "tomllib.loads", "tomllib.load", "pickle.loads",
}  # fmt: skip
DIGIT_TESTS = {"isdecimal", "isdigit", "isnumeric"}
# A document that takes longer than this would delay every request of the process.
MAX_SECONDS = 0.25


def load_all_modules() -> None:
    """Import every module of the product, so that all decoders exist."""
    for package in PACKAGES:
        for module in pkgutil.iter_modules(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)
        for nested in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(nested.name)


load_all_modules()
# Decoders of the product, each once: tests of the boundary create others.
PRODUCT_DECODERS = list(DECODERS)
JSON_DECODERS = [decoder for decoder in PRODUCT_DECODERS if isinstance(decoder, JsonDecoder)]
DECODER_IDS = [
    f"{n}-{getattr(d.kind, '__name__', 'union')}" for n, d in enumerate(PRODUCT_DECODERS)
]
JSON_IDS = [f"{n}-{getattr(d.kind, '__name__', 'union')}" for n, d in enumerate(JSON_DECODERS)]


def product_sources() -> list[Path]:
    """Return the sources of the product."""
    sources = [*ROOT.glob("libs/*/src/**/*.py"), *ROOT.glob("platform/src/**/*.py")]
    return sorted(path for path in sources if path != BOUNDARY)


def dotted_name(node: ast.AST) -> str:
    """Return a dotted name such as `msgspec.json.decode`, an empty string for other nodes."""
    if isinstance(node, ast.Name):
        return node.id
    if isinstance(node, ast.Attribute):
        base = dotted_name(node.value)
        return f"{base}.{node.attr}" if base else ""
    return ""


def decoding_outside_of_the_boundary(path: Path) -> Iterator[str]:
    """Yield the places of a module that decode without the boundary."""
    for node in ast.walk(ast.parse(path.read_text())):
        if dotted_name(node) in DECODING_CALLS:
            yield f"{path.name}: {dotted_name(node)}"
        if isinstance(node, ast.Attribute) and node.attr in DIGIT_TESTS:
            yield f"{path.name}: {node.attr}"
        if isinstance(node, ast.ImportFrom) and node.module in ("json", "tomllib", "msgspec.json"):
            yield f"{path.name}: from {node.module}"


@pytest.mark.parametrize("path", product_sources(), ids=lambda path: path.name)
def test_no_module_decodes_outside_of_the_boundary(path: Path) -> None:
    assert not list(decoding_outside_of_the_boundary(path))


def unbounded_numbers(kind: inspect.Type, path: str, *, json: bool) -> Iterator[str]:
    """Yield the fields of a type whose numbers are not bounded.

    JSON has whole numbers of any size, and no NaN; with MessagePack it is the other way round.
    """
    match kind:
        case inspect.IntType(ge=ge, le=le) if json:
            if ge is None or le is None or le > MAX_INT64 or ge < -(2**63):
                yield path
        case inspect.FloatType(ge=None, gt=None) if not json:
            yield path
        case inspect.StructType(fields=fields):
            for field in fields:
                yield from unbounded_numbers(field.type, f"{path}.{field.name}", json=json)
        case inspect.ListType(item_type=item) | inspect.SetType(item_type=item):
            yield from unbounded_numbers(item, f"{path}[]", json=json)
        case inspect.DictType(key_type=key, value_type=value):
            yield from unbounded_numbers(key, f"{path}(key)", json=json)
            yield from unbounded_numbers(value, f"{path}[]", json=json)
        case inspect.UnionType(types=types):
            for member in types:
                yield from unbounded_numbers(member, path, json=json)


def is_free_form(decoder: JsonDecoder[Any] | MessagePackDecoder[Any]) -> bool:
    """Return whether a decoder returns whatever JSON it gets; only `headcross explain` does."""
    return decoder.kind is dict


@pytest.mark.parametrize("decoder", PRODUCT_DECODERS, ids=DECODER_IDS)
def test_every_number_that_a_decoder_returns_is_bounded(
    decoder: JsonDecoder[Any] | MessagePackDecoder[Any],
) -> None:
    kind = inspect.type_info(decoder.kind)
    json = isinstance(decoder, JsonDecoder)
    assert not list(unbounded_numbers(kind, "", json=json)) or is_free_form(decoder)


def test_a_new_decoder_without_bounds_would_be_found(tmp_path: Path) -> None:
    class Unbounded(msgspec.Struct):
        count: int
        share: float

    kind = inspect.type_info(Unbounded)
    assert list(unbounded_numbers(kind, "", json=True)) == [".count"]
    assert list(unbounded_numbers(kind, "", json=False)) == [".share"]
    module = tmp_path / "new.py"
    module.write_text("import msgspec\nx = msgspec.json.Decoder(int)\ny = 'a'.isdecimal()\n")
    assert len(list(decoding_outside_of_the_boundary(module))) == 2


def test_decoders_of_every_kind_of_outside_bytes_are_found() -> None:
    assert len(PRODUCT_DECODERS) >= 16 and len(JSON_DECODERS) < len(PRODUCT_DECODERS)


HOSTILE = {
    "empty": b"",
    "nested lists": NESTED_LISTS,
    "nested objects": NESTED_OBJECTS,
    "opened lists": b"[" * 1_000_000,
    "opened objects": b'{"a":' * 150_000,
    "a field of nested lists": b'{"note":' + NESTED_LISTS + b"}",
    "quotes": b'"' * 1_000_000,
    "escapes": b'"\\' * 500_000,
    "nested quotes": b"[" * 2000 + b'""' * 300_000,
    "digits": b"9" * 1_000_000,
    "a field of digits": b'{"version":' + b"9" * 500_000 + b"}",
    "no utf-8": b'{"key":"\xff\xfe"}',
    "a lone surrogate": b'{"key":"\\ud800"}',
    "zeros": bytes(1_000_000),
    "nested arrays of messagepack": b"\x91" * 1_000_000,
    "a huge array of messagepack": b"\xdd\xff\xff\xff\xff",
    "a huge string of messagepack": b"\xdb\xff\xff\xff\xff",
    "huge binary of messagepack": b"\xc6\xff\xff\xff\xff",
}


@pytest.mark.parametrize("name", HOSTILE)
@pytest.mark.parametrize("decoder", PRODUCT_DECODERS, ids=DECODER_IDS)
def test_hostile_bytes_give_a_value_or_a_failure_soon(
    decoder: JsonDecoder[Any] | MessagePackDecoder[Any], name: str
) -> None:
    began = time.process_time()
    assert isinstance(decoder.decode(HOSTILE[name]), Ok | Failure)
    assert time.process_time() - began < MAX_SECONDS


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**63, 2**64, -(10**400), 10**400])
    | st.floats()
    | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=5,
)


def encode(value: object) -> bytes:
    """Encode as JSON also what no JSON encoder takes: NaN, and numbers of any size."""
    match value:
        case None | bool():
            return str(value).lower().replace("none", "null").encode()
        case int() | float():
            return str(value).encode()
        case str():
            return msgspec.json.encode(value)
        case list():
            return b"[" + b",".join(map(encode, value)) + b"]"
        case dict():
            fields = (msgspec.json.encode(name) + b":" + encode(v) for name, v in value.items())
            return b"{" + b",".join(fields) + b"}"
        case _:
            raise TypeError(value)


@pytest.mark.parametrize("decoder", PRODUCT_DECODERS, ids=DECODER_IDS)
@given(data=st.data())
def test_any_bytes_give_a_value_or_a_failure(
    decoder: JsonDecoder[Any] | MessagePackDecoder[Any], data: st.DataObject
) -> None:
    names = st.sampled_from(field_names(decoder)) if field_names(decoder) else st.text(max_size=3)
    document = st.dictionaries(names, JSON_VALUES, max_size=6).map(encode)
    raw = data.draw(document | st.binary(max_size=60) | JSON_VALUES.map(encode))
    if isinstance(decoder, MessagePackDecoder):
        raw = data.draw(st.binary(max_size=80) | messages())
    cut = data.draw(st.integers(0, len(raw)))
    for part in (raw, raw[:cut]):
        outcome = decoder.decode(part)
        assert isinstance(outcome, Ok | Failure)
        if isinstance(outcome, Ok) and not is_free_form(decoder):
            msgspec.msgpack.encode(outcome.value)  # fits into 64 bits


def field_names(decoder: JsonDecoder[Any] | MessagePackDecoder[Any]) -> list[str]:
    """Return the names of the fields that a decoder reads, as they stand in JSON."""
    kind = inspect.type_info(decoder.kind)
    return [f.encode_name for f in kind.fields] if isinstance(kind, inspect.StructType) else []


def messages() -> st.SearchStrategy[bytes]:
    """Draw arrays with the tag of a message and fields of any kind."""
    number = st.integers(-(2**63), 2**64 - 1)
    field = st.recursive(
        st.none() | st.booleans() | number | st.floats() | st.text(max_size=3) | st.binary(),
        lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=2), inner),
        max_leaves=6,
    )
    tags = [
        struct.__struct_config__.tag
        for struct in vars(peermessages).values()
        if isinstance(struct, type) and issubclass(struct, msgspec.Struct)
    ]
    tag = st.sampled_from([tag for tag in tags if tag is not None])
    return st.tuples(tag, st.lists(field, max_size=12)).map(
        lambda drawn: msgspec.msgpack.encode([drawn[0], *drawn[1]])
    )


@pytest.mark.parametrize("depth", [200, 2000, 10_000])
@pytest.mark.parametrize("kind", ["lists", "objects"])
def test_a_nested_field_that_is_not_read_costs_no_other_field(depth: int, kind: str) -> None:
    class Known(msgspec.Struct):
        key: str

    nested = {"lists": (b"[", b"]"), "objects": (b'{"a":', b"}")}[kind]
    value = nested[0] * depth + b"1" + nested[1] * depth
    document = b'{"note":' + value.replace(b"[1]", b"[]") + b',"key":"]}{["}'
    assert JsonDecoder(Known, 1 << 20).decode(document) == Ok(Known("]}{["))
    DECODERS.pop()


@given(JSON_VALUES)
def test_shallow_json_stays_as_it_is(value: object) -> None:
    document = encode(value)
    assert replace_deep_values(document) == document


@given(st.binary(max_size=200) | st.text(max_size=50).map(str.encode))
def test_toml_gives_a_value_or_a_failure(data: bytes) -> None:
    assert isinstance(decode_toml(data, 1000), Ok | Failure)


def test_nested_toml_gives_a_failure() -> None:
    assert isinstance(decode_toml(b"a = " + b"[" * 5000, 10_000), Failure)


NUMBERS = (
    st.text(max_size=8)
    | st.integers().map(str)
    | st.floats().map(str)
    | st.sampled_from(["9" * 19, "9" * 400, "9" * 5000, "٣", "1e400", "-0", "+1", "1_0", " 1"])
)


@given(NUMBERS)
def test_numbers_in_headers_are_bounded(text: str) -> None:
    number = parse_whole_number(text)
    assert number is None or 0 <= number <= MAX_INT64
    decimal = parse_decimal(text)
    assert decimal is None or 0 <= decimal < float("inf")


@given(
    NUMBERS
    | st.datetimes().map(lambda at: at.strftime("%a, %d %b %Y %H:%M:%S GMT"))
    | st.text("0123456789:, +-()GMTJanSat", max_size=80)
)
def test_any_backpressure_header_is_read(text: str) -> None:
    from datetime import UTC, datetime

    now = datetime.now(UTC)
    read_rest(503, [("retry-after", text)], now)
    read_limit([("server-limit", text)])
    read_leaving([("server-leaving", text)])
