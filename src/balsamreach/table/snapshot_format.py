"""The form of a table snapshot: a header, then packed rows.

The first line is a JSON header with the format, the log position, the
number of rows and a checksum of what follows: rows as JSON lines under zlib.
"""

import json
import zlib
from collections.abc import Iterable, Iterator

import attrs
import xxhash

from balsamreach.services.base import Row
from balsamreach.table.faults import BAD_SNAPSHOT, TableFault

FORMAT = 1
_CHUNK = 65536
_ROWS_PER_STEP = 200
_LEVEL = 6


@attrs.frozen
class Header:
    """First line of a snapshot.

    Parameters
    ----------
    version : int
        Log position that the rows reach up to.
    rows : int
        Number of rows.
    checksum : str
        XXH3 of version, number of rows and packed rows, in hex.
    format : int
        Form of the rest; others are left alone.
    """

    version: int
    rows: int
    checksum: str
    format: int = FORMAT


@attrs.define
class Packer:
    """Packs rows step by step, so that requests are served in between."""

    version: int
    rows: int = 0
    _zlib: object = attrs.field(factory=lambda: zlib.compressobj(_LEVEL))
    _packed: bytearray = attrs.field(factory=bytearray)

    def pack(self, rows: Iterable[Row]) -> Iterator[int]:
        """Pack rows and yield their number so far after each step."""
        for row in rows:
            line = json.dumps(
                (row.key, row.version, row.value),
                separators=(',', ':'),
            )
            self._packed += self._zlib.compress(f'{line}\n'.encode())
            self.rows += 1
            if self.rows % _ROWS_PER_STEP == 0:
                yield self.rows

    def finish(self) -> bytes:
        """Return the whole snapshot."""
        self._packed += self._zlib.flush()
        checksum = _checksum(self.version, self.rows, self._packed)
        header = Header(self.version, self.rows, checksum)
        first_line = json.dumps(attrs.asdict(header)).encode()
        return b'%b\n%b' % (first_line, self._packed)


def read_header(body: bytes) -> Header | TableFault:
    """Read and check the first line against the rest.

    Returns
    -------
    Header or TableFault
        BAD_SNAPSHOT if the object is cut, changed or of another format.
    """
    end = body.find(b'\n', 0, _CHUNK)
    try:
        header = Header(**json.loads(body[: max(end, 0)]))
    except (ValueError, TypeError):
        return BAD_SNAPSHOT.because('the header is not readable')
    if header.format != FORMAT:
        return BAD_SNAPSHOT.because(f'format {header.format} is not known')
    packed = memoryview(body)[end + 1 :]
    if _checksum(header.version, header.rows, packed) != header.checksum:
        return BAD_SNAPSHOT.because('the checksum does not match')
    return header


def read_rows(body: bytes) -> Iterator[tuple[Row, ...]]:
    """Yield the rows of a checked snapshot in small groups.

    Only one group is unpacked at a time, so that reading takes little more
    memory than the packed object.
    """
    packed = memoryview(body)[body.index(b'\n') + 1 :]
    unpacker = zlib.decompressobj()
    tail = b''
    for start in range(0, len(packed), _CHUNK):
        chunk = packed[start : start + _CHUNK]
        while chunk:
            lines = tail + unpacker.decompress(chunk, _CHUNK)
            chunk = unpacker.unconsumed_tail
            *whole, tail = lines.split(b'\n')
            yield tuple(Row(*json.loads(line)) for line in whole)
    yield tuple(_read_lines(tail + unpacker.flush()))


def _read_lines(lines: bytes) -> Iterator[Row]:
    for line in lines.splitlines():
        yield Row(*json.loads(line))


def _checksum(version: int, rows: int, packed: bytes | memoryview) -> str:
    # The version is covered too: a flipped digit in it would make a router
    # skip part of the log and keep old rows in force.
    digest = xxhash.xxh3_64(f'{version}/{rows}/'.encode())
    digest.update(packed)
    return digest.hexdigest()
