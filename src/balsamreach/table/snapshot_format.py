"""Format of a table snapshot: a header, then compressed rows.

The first line is a JSON header with format, log position, number of rows and
checksum. The rest is rows as JSON lines, compressed with zlib.
"""

import json
import zlib
from collections.abc import Iterable, Iterator

import attrs
import xxhash

from balsamreach.services.base import Row
from balsamreach.table.faults import BAD_SNAPSHOT, TableFault

FORMAT = 1
_CHUNK_BYTES = 65536
_ROWS_PER_STEP = 200
_COMPRESSION_LEVEL = 6


@attrs.frozen
class Header:
    """First line of a snapshot.

    Parameters
    ----------
    version : int
        Log position that the rows cover.
    rows : int
        Number of rows.
    checksum : str
        XXH3 of version, number of rows and compressed rows, in hex.
    format : int
        Format of the snapshot; unknown formats are not read.
    """

    version: int
    rows: int
    checksum: str
    format: int = FORMAT


@attrs.define
class SnapshotBuilder:
    """Builds a snapshot in steps, so that requests are served in between."""

    version: int
    rows: int = 0
    _compressor: object = attrs.field(
        factory=lambda: zlib.compressobj(_COMPRESSION_LEVEL)
    )
    _compressed: bytearray = attrs.field(factory=bytearray)

    def add_rows(self, rows: Iterable[Row]) -> Iterator[int]:
        """Add rows, yielding the number of rows so far after each step."""
        for row in rows:
            line = json.dumps(
                (row.key, row.version, row.value),
                separators=(',', ':'),
            )
            self._compressed += self._compressor.compress(f'{line}\n'.encode())
            self.rows += 1
            if self.rows % _ROWS_PER_STEP == 0:
                yield self.rows

    def finish(self) -> bytes:
        """Return the complete snapshot."""
        self._compressed += self._compressor.flush()
        checksum = _checksum(self.version, self.rows, self._compressed)
        header = Header(self.version, self.rows, checksum)
        first_line = json.dumps(attrs.asdict(header)).encode()
        return b'%b\n%b' % (first_line, self._compressed)


def read_header(body: bytes) -> Header | TableFault:
    """Read the header and verify the checksum of the snapshot.

    Returns
    -------
    Header or TableFault
        BAD_SNAPSHOT if it is truncated, damaged or in an unknown format.
    """
    end = body.find(b'\n', 0, _CHUNK_BYTES)
    try:
        header = Header(**json.loads(body[: max(end, 0)]))
    except (ValueError, TypeError):
        return BAD_SNAPSHOT.because('the header is malformed')
    if header.format != FORMAT:
        return BAD_SNAPSHOT.because(f'format {header.format} is not known')
    compressed = memoryview(body)[end + 1 :]
    if _checksum(header.version, header.rows, compressed) != header.checksum:
        return BAD_SNAPSHOT.because('the checksum does not match')
    return header


def read_rows(body: bytes) -> Iterator[tuple[Row, ...]]:
    """Yield the rows of a verified snapshot in small groups.

    Only one group is decompressed at a time, so that reading takes little more
    memory than the compressed snapshot.
    """
    compressed = memoryview(body)[body.index(b'\n') + 1 :]
    decompressor = zlib.decompressobj()
    rest = b''
    for start in range(0, len(compressed), _CHUNK_BYTES):
        chunk = compressed[start : start + _CHUNK_BYTES]
        while chunk:
            lines = rest + decompressor.decompress(chunk, _CHUNK_BYTES)
            chunk = decompressor.unconsumed_tail
            *complete, rest = lines.split(b'\n')
            yield tuple(Row(*json.loads(line)) for line in complete)
    yield tuple(_decode_lines(rest + decompressor.flush()))


def _decode_lines(lines: bytes) -> Iterator[Row]:
    for line in lines.splitlines():
        yield Row(*json.loads(line))


def _checksum(version: int, rows: int, compressed: bytes | memoryview) -> str:
    # The checksum covers the version: with a flipped digit in it a router
    # would skip part of the log and keep old rows in force.
    digest = xxhash.xxh3_64(f'{version}/{rows}/'.encode())
    digest.update(compressed)
    return digest.hexdigest()
