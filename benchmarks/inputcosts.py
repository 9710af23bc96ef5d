"""Measures processor time against the length of what is received.

Usage: ``python -m benchmarks.inputcosts``. Prints, for each codec and for the
masking of log lines, the milliseconds for inputs of 1 KB to 16 MB, and the
largest factor between two lengths of which one is twice the other. Times below
a tenth of a millisecond count as such for the factor. A case ends after the
first length that takes over two seconds. Inputs beyond the limit
of a protocol are refused, so their time is that of reading them up to it.
"""

import sys
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from types import MappingProxyType
from typing import Any, Final, final

import anyio
import h11
import msgspec

from catkincrank.envelope import decode_message
from catkincrank.errors import CatkincrankError
from catkincrank.httpserver import HttpServer
from catkincrank.links import Link
from catkincrank.logmasking import LINE_LIMITS, Masking, mask_text
from catkincrank.optionparser import parse_set, parse_startup_options
from catkincrank.platform.callers import LineCodec
from catkincrank.platform.lines import LineReader
from catkincrank.statement import classify, split

__all__ = ()

_LENGTHS: Final = tuple(1024 * 2**power for power in range(15))
_ROUNDS = 3
_MS = 1000
_CHUNK_BYTES = 65536
_MIN_MS = 0.1
_LONG_MS = 2000
_UNCACHED_CHARACTERS = 8193
_ENDS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.IncompleteRead,
    h11.RemoteProtocolError,
    msgspec.DecodeError,
    CatkincrankError,
)


@final
class _Source:
    """Stream that delivers bytes in pieces and discards what is sent."""

    def __init__(self, payload: bytes) -> None:
        self._payload = payload
        self._at = 0

    async def receive(self, most: int = _CHUNK_BYTES) -> bytes:
        begin = self._at
        self._at += min(most, _CHUNK_BYTES)
        if begin >= len(self._payload):
            raise anyio.EndOfStream
        return self._payload[begin : self._at]

    async def send(self, _payload: bytes) -> None:
        """Discard an answer."""

    async def send_eof(self) -> None:
        """Discard the end."""

    async def aclose(self) -> None:
        """Close nothing."""

    async def __aenter__(self) -> '_Source':
        return self

    async def __aexit__(self, *_exc_info: object) -> None:
        """Close nothing."""

    def extra(self, _attribute: object) -> tuple[str, int]:
        return ('vm', 0)


async def _read_lines(payload: bytes) -> None:
    reader = LineReader(_Source(payload))
    while True:
        await reader.read()


async def _read_startup(payload: bytes) -> None:
    await LineCodec(_Source(payload)).read_startup()


async def _read_request(payload: bytes) -> None:
    await LineCodec(_Source(payload)).read_request()


async def _read_frame(payload: bytes) -> None:
    await Link(_Source(payload)).receive()


async def _serve(payload: bytes) -> None:
    await HttpServer({}).serve_stream(_Source(payload))


def _wait(read: Callable[[bytes], object]) -> Callable[[bytes], None]:
    def run(payload: bytes) -> None:  # noqa: WPS430
        try:
            anyio.run(read, payload)
        except _ENDS:
            return

    return run


def _decode(payload: bytes) -> None:
    with suppress(CatkincrankError):
        decode_message(payload)


def _classify(text: str) -> None:
    # Longer than what is remembered of earlier statements.
    classify(text.ljust(_UNCACHED_CHARACTERS))


def _mask(text: str) -> None:
    Masking(LINE_LIMITS[0]).mask([text])


_TEXT_PARSERS = (
    _mask,
    mask_text,
    _classify,
    split,
    parse_set,
    parse_startup_options,
)
_Case = tuple[Callable[[Any], object], str, str]
# How an input is handled, its format and the part that it repeats.
_PLAIN = '{0}'
_CASES: Final[Mapping[str, _Case]] = MappingProxyType(
    {
        'lines: one': (_wait(_read_lines), _PLAIN, 'x'),
        'lines: many': (_wait(_read_lines), _PLAIN, 'QUERY 1 READ k\r\n'),
        'lines: empty': (_wait(_read_lines), _PLAIN, '\r\n'),
        'callers: startup': (
            _wait(_read_startup),
            'STARTUP {0} u\r\n',
            '://a:',
        ),
        'callers: blanks': (_wait(_read_startup), 'STARTUP {0}\r\n', ' '),
        'callers: request': (
            _wait(_read_request),
            'QUERY 1 WRITE k {0}\r\n',
            'x ',
        ),
        'links: frame': (_wait(_read_frame), '\0\x0f\0\0{0}', '\0\1'),
        'links: message': (_decode, _PLAIN, '\0\1\0\0'),
        'HTTP: head': (
            _wait(_serve),
            'GET /{0} HTTP/1.1\r\nhost: vm\r\n\r\n',
            '/[',
        ),
        'HTTP: body': (
            _wait(_serve),
            'POST / HTTP/1.1\r\nhost: vm\r\n'
            'content-length: 99999999\r\n\r\n{0}',
            'x',
        ),
        'logs: line': (_mask, _PLAIN, '://a:'),
        'logs: login': (mask_text, _PLAIN, '://a:'),
        'logs: secret': (mask_text, _PLAIN, 'password '),
        'logs: parts': (mask_text, _PLAIN, '://a:b@ '),
        'proxy: blanks': (_classify, _PLAIN, ' '),
        'proxy: parameters': (_classify, "select {0}'", '$11 '),
        'proxy: split': (split, _PLAIN, 'a;'),
        'proxy: set': (parse_set, 'set a=x{0}y', ' ;'),
        'proxy: options': (parse_startup_options, _PLAIN, '--'),
    }
)


def measure(case: _Case) -> list[float]:
    """Return the shortest processor time for each length, in ms."""
    found: list[float] = []
    for length in _LENGTHS:
        if max(found, default=0) < _LONG_MS:
            found.append(_measure_length(case, length))
    return found


def _measure_length(case: _Case, length: int) -> float:
    run, form, part = case
    text = form.format(part * (length // len(part)))
    received = text if run in _TEXT_PARSERS else text.encode('ascii')
    times = []
    for _ in range(1 if length > _LENGTHS[-4] else _ROUNDS):
        begin = time.process_time()
        run(received)
        times.append((time.process_time() - begin) * _MS)
    return min(times)


def find_factor(times: list[float]) -> float:
    """Return the largest factor between the times of two lengths."""
    counted = [max(_MIN_MS, one) for one in times]
    return max(
        later / earlier
        for earlier, later in zip(counted, counted[1:], strict=False)
    )


def main() -> None:
    """Print the table."""
    sizes = ''.join('{0:9}'.format(length // 1024) for length in _LENGTHS)
    sys.stdout.write('{0:18}{1}  factor (KB; ms)\n'.format('', sizes))
    for name, case in _CASES.items():
        found = measure(case)
        shown = ''.join('{0:9.2f}'.format(one) for one in found)
        factor = find_factor(found)
        sys.stdout.write('{0:18}{1} {2:7.2f}\n'.format(name, shown, factor))
        sys.stdout.flush()


if __name__ == '__main__':
    main()
