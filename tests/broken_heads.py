"""Answers of targets in trouble whose heads are none, or contradict them."""

from tests.cut_targets import HEAD, IDS, OWN

_CHUNKS = b'%x\r\n%b\r\n0\r\n\r\n' % (len(OWN), OWN)
_LENGTH = b'Content-Length: %d\r\n' % len(OWN)
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
#: Bytes that some readers strip from the end of a name or a value, although
#: only blanks and tabs around a value are no part of it.
_STRIPPED = {
    'blank': b' ',
    'tab': b'\t',
    'vertical_tab': b'\x0b',
    'form_feed': b'\x0c',
    'unit_separator': b'\x1f',
    'next_line': b'\x85',
    'no_break_space': b'\xa0',
}
#: Bytes that no name may hold.
_IN_NAMES = _STRIPPED | {
    'control': b'\x02',
    'delete': b'\x7f',
    'nul': b'\x00',
    'return': b'\r',
    'bracket': b'(',
    'slash': b'/',
    'quote': b'"',
    'latin': b'\xe9',
}
_IN_VALUES = {
    'control': b'\x02',
    'nul': b'\x00',
    'return': b'\r',
    'vertical_tab': b'\x0b',
    'escape': b'\x1b',
    'delete': b'\x7f',
}


def _with_length(*lines: bytes) -> bytes:
    return b'%b%b%b\r\n%b' % (HEAD, b''.join(lines), _LENGTH, OWN)


def _in_chunks(*lines: bytes) -> bytes:
    return b'%b%b\r\n%b' % (HEAD, b''.join(lines), _CHUNKS)


def _until_close(*lines: bytes) -> bytes:
    return b'%b%b\r\n%b' % (HEAD, b''.join(lines), OWN)


def _with_status(line: bytes) -> bytes:
    return b'%b\r\n%b%b\r\n%b' % (line, IDS, _LENGTH, OWN)


#: Names that aren't tokens, of headers that don't matter and of those that say
#: where the body ends.
NAMES = (
    {
        f'{at}_{kind}': _with_length(b'%b: x\r\n' % name)
        for kind, byte in _IN_NAMES.items()
        for at, name in (
            ('begins_with', b'%bX-Name' % byte),
            ('holds', b'X-%bName' % byte),
            ('ends_with', b'X-Name%b' % byte),
        )
        if name[:1] not in {b' ', b'\t'}
    }
    | {
        f'length_ends_with_{kind}': _until_close(
            b'Content-Length%b: 5\r\n' % byte
        )
        for kind, byte in _STRIPPED.items()
    }
    | {
        f'chunked_ends_with_{kind}': _in_chunks(
            b'Transfer-Encoding%b: chunked\r\n' % byte
        )
        for kind, byte in _STRIPPED.items()
    }
    | {
        'empty': _with_length(b': x\r\n'),
        'first_name': _with_length().replace(b'\r\n', b'\r\n X-Name: x\r\n', 1),
        'no_colon': _with_length(b'X-Name\r\n'),
        'other_length': _with_length(b'Content-Length : 5\r\n'),
        'id': _with_length(b'Attempt-Id : other\r\n'),
        'folded_coding': _in_chunks(
            b'X-Name: x\r\n Transfer-Encoding : chunked\r\n'
        ),
        'folded_announcement': _until_close(
            b'X-Name: x\r\n\tcontent-length: 5\r\n'
        ),
        'folded_length': _until_close(b'Content-Length: 5\r\n 0\r\n'),
    }
)
VALUES = {
    f'value_holds_{kind}': _with_length(b'X-Name: a%bb\r\n' % byte)
    for kind, byte in _IN_VALUES.items()
} | {
    'value_ends_with_control': _with_length(b'X-Name: a\x1f\r\n'),
    'reason_holds_control': _with_status(b'HTTP/1.1 200 O\x02K'),
}
#: Heads that say in two ways where the body ends, or in none that is defined.
FRAMINGS = {
    'length_and_chunks': _in_chunks(b'Content-Length: 5\r\n', _CHUNKED),
    'chunks_and_length': _in_chunks(_CHUNKED, b'Content-Length: 5\r\n'),
    'two_lengths': _with_length(b'Content-Length: 5\r\n'),
    'list_of_lengths': _until_close(b'Content-Length: 5, 5\r\n'),
    'empty_length': _until_close(b'Content-Length:\r\n'),
    'signed_length': _until_close(b'Content-Length: +5\r\n'),
    'negative_length': _until_close(b'Content-Length: -1\r\n'),
    'hexadecimal_length': _until_close(b'Content-Length: 0x5\r\n'),
    'fraction_of_length': _until_close(b'Content-Length: 5.0\r\n'),
    'length_and_text': _until_close(b'Content-Length: 5 bytes\r\n'),
    'length_and_break': _until_close(b'Content-Length: 5\xa0\r\n'),
    'length_beyond_64_bits': _until_close(
        b'Content-Length: 99999999999999999999\r\n'
    ),
    'unknown_coding': _in_chunks(b'Transfer-Encoding: other\r\n'),
    'identity': _until_close(b'Transfer-Encoding: identity\r\n'),
    'empty_coding': _until_close(b'Transfer-Encoding:\r\n'),
    'chunked_twice': _in_chunks(b'Transfer-Encoding: chunked, chunked\r\n'),
    'chunked_in_two_lines': _in_chunks(_CHUNKED, _CHUNKED),
    'coding_behind_chunks': _in_chunks(b'Transfer-Encoding: chunked, gzip\r\n'),
    'quoted_coding': _in_chunks(b'Transfer-Encoding: "chunked"\r\n'),
    'coding_and_break': _in_chunks(b'Transfer-Encoding: chunked\xa0\r\n'),
    'chunks_of_1_0': _in_chunks(_CHUNKED).replace(b'HTTP/1.1', b'HTTP/1.0'),
}
_CODES = (0, 99, 600, 700, 999, 2000)
_CODE_TEXTS = ('20', '20x', '0200', '-200', '+200')
STATUSES = {
    f'status_{code}': _with_status(b'HTTP/1.1 %b OK' % code.encode())
    for code in (*map('{:03}'.format, _CODES), *_CODE_TEXTS)
} | {
    'status_100': _with_status(b'HTTP/1.1 100 Continue'),
    'status_101': _with_status(b'HTTP/1.1 101 Switching Protocols'),
    'no_status': _with_status(b'HTTP/1.1 OK'),
    'no_reason_but_text': _with_status(b'HTTP/1.1 200OK'),
    'two_blanks': _with_status(b'HTTP/1.1  200 OK'),
    'tab': _with_status(b'HTTP/1.1\t200\tOK'),
    'version_0_9': _with_status(b'HTTP/0.9 200 OK'),
    'version_1_9': _with_status(b'HTTP/1.9 200 OK'),
    'version_2': _with_status(b'HTTP/2 200 OK'),
    'no_version': _with_status(b'HTTP/ 200 OK'),
    'lower_case': _with_status(b'http/1.1 200 OK'),
    'other_protocol': _with_status(b'ICY 200 OK'),
    'interim_600': b'HTTP/1.1 600 X\r\n\r\n%b' % _with_length(),
    'two_status_lines': b'HTTP/1.1 500 X\r\n%b' % _with_length(),
    'two_finals': _with_length(b'HTTP/1.1 200 OK\r\n'),
}
#: Lines that begin with a blank, behind the target's signature. Curl joins
#: them to the value of the signature.
JOINED = {
    'joined_name': _with_length(b' X-Name: x\r\n'),
    'joined_name_by_tab': _with_length(b'\tX-Name: x\r\n'),
    'joined_empty_name': _with_length(b' : x\r\n'),
}
#: All heads that are none.
ALL = NAMES | VALUES | FRAMINGS | STATUSES
#: Heads that are unusual, and answers all the same.
SOUND = {
    'no_reason': _with_status(b'HTTP/1.1 200'),
    'empty_reason': _with_status(b'HTTP/1.1 200 '),
    'text_in_reason': _with_status(b'HTTP/1.1 200 \xe9t\xe9 (ok)'),
    'version_1_0': _with_length().replace(b'HTTP/1.1', b'HTTP/1.0'),
    'no_blank': _with_length(b'X-Name:x\r\n'),
    'blanks_around': _with_length(b'X-Name: \t x \t\r\n'),
    'empty_value': _with_length(b'X-Name:\r\n'),
    'latin_value': _with_length(b'X-Name: caf\xe9\r\n'),
    'tab_in_value': _with_length(b'X-Name: a\tb\r\n'),
    'odd_token': _with_length(b"!#$%&'*+-.^_`|~09: x\r\n"),
    'same_length_twice': _with_length(_LENGTH),
    'zeros_in_length': _until_close(b'Content-Length: 000%d\r\n' % len(OWN)),
    'upper_case': _in_chunks(b'TRANSFER-ENCODING: CHUNKED\r\n'),
    'line_feeds': _with_length().replace(b'\r\n', b'\n'),
    'folded': _with_length(b'X-Name: x\r\n y: z\r\n'),
    'interim': b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n%b'
    % _with_length(),
    'interim_length': b'HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\n%b'
    % _with_length(),
    'trailers': b'%b%b\r\n%x\r\n%b\r\n0\r\nContent-Length: 5\r\n\r\n'
    % (HEAD, _CHUNKED, len(OWN), OWN),
}
