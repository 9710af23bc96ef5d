"""Converts values from PostgreSQL's text format to its binary format."""

from collections.abc import Callable
from datetime import UTC, date, datetime, time, timedelta
from functools import partial
from struct import Struct
from types import MappingProxyType
from typing import Any

from pg_mimic import types as pg
from pg_mimic.arrays import element_oid_of, is_array_oid, parse_array_literal
from pg_mimic.types import encode_value_binary

__all__ = ('encode_binary', 'find_encoder')

_HEX_PREFIX = r'\x'
_DAY_UNITS = MappingProxyType(
    {'day': 'days', 'days': 'days'},
)


def find_encoder(oid: int) -> Callable[[str], bytes]:
    """Return an encoder from text to binary format for the type ``oid``."""
    return _DIRECT_ENCODERS.get(oid) or partial(encode_binary, oid)


def encode_binary(oid: int, text: str) -> bytes:
    """Return a value of the type ``oid`` in binary format.

    Raises:
        ValueError: The value is not supported in binary format.
    """
    if is_array_oid(oid):
        nested = parse_array_literal(text)
        return encode_value_binary(oid, _decode(element_oid_of(oid), nested))
    return encode_value_binary(oid, _decode(oid, text))


def _decode(oid: int, text: Any) -> Any:
    if isinstance(text, list):
        return [_decode(oid, element) for element in text]
    if text is None:
        return None
    decode = _DECODERS.get(oid)
    return text if decode is None else decode(text)


def _decode_bool(text: str) -> bool:
    return text in {'t', 'true', '1'}


def _decode_bytes(text: str) -> bytes:
    if text.startswith(_HEX_PREFIX):
        return bytes.fromhex(text[len(_HEX_PREFIX) :])
    return text.encode('utf-8')


def _decode_timestamptz(text: str) -> datetime:
    timestamp = datetime.fromisoformat(text)
    return timestamp if timestamp.tzinfo else timestamp.replace(tzinfo=UTC)


def _decode_interval(text: str) -> timedelta:
    """Parse the ``postgres`` interval style, e.g. ``1 day 02:03:04.5``."""
    *pairs, clock = text.split() if ':' in text else [*text.split(), '0:0:0']
    days = 0
    for amount, unit in zip(pairs[::2], pairs[1::2], strict=True):
        if unit not in _DAY_UNITS:
            raise ValueError(
                'months in intervals are not supported in binary format'
            )
        days += int(amount)
    sign = -1 if clock.startswith('-') else 1
    hours, minutes, seconds = clock.lstrip('+-').split(':')
    clock_time = timedelta(
        hours=int(hours),
        minutes=int(minutes),
        seconds=float(seconds),
    )
    return timedelta(days=days) + sign * clock_time


_DECODERS: MappingProxyType[int, Callable[[str], Any]] = MappingProxyType(
    {
        pg.BOOL: _decode_bool,
        pg.BYTEA: _decode_bytes,
        pg.DATE: date.fromisoformat,
        pg.TIME: time.fromisoformat,
        pg.TIMESTAMP: datetime.fromisoformat,
        pg.TIMESTAMPTZ: _decode_timestamptz,
        pg.INTERVAL: _decode_interval,
    },
)


def _make_integer_encoder(form: str) -> Callable[[str], bytes]:
    pack = Struct(form).pack

    def encode(text: str) -> bytes:  # noqa: WPS430
        return pack(int(text))

    return encode


_DIRECT_ENCODERS: MappingProxyType[int, Callable[[str], bytes]] = (
    MappingProxyType(
        {
            pg.INT2: _make_integer_encoder('!h'),
            pg.INT4: _make_integer_encoder('!i'),
            pg.INT8: _make_integer_encoder('!q'),
            pg.TEXT: str.encode,
            pg.VARCHAR: str.encode,
            pg.BPCHAR: str.encode,
            pg.NAME: str.encode,
            pg.JSON: str.encode,
        },
    )
)
