"""Makes listening sockets on a shared port refuse new connections."""

import ctypes
import socket
import struct
from collections.abc import Iterable

#: ``SO_ATTACH_FILTER`` on Linux; the ``socket`` module does not define it.
_SO_ATTACH_FILTER = 26
#: Offset of the TCP flags: they are the 14th byte of the header.
_FLAGS_OFFSET = 13
_SYN = 0x2
_ACK = 0x10
_LOAD_BYTE = 0x30
_AND = 0x54
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x6
_WHOLE_SEGMENT = 0xFFFFFFFF

#: Classic BPF program that drops SYN segments and passes all others.
_BPF_PROGRAM = (
    (_LOAD_BYTE, 0, 0, _FLAGS_OFFSET),
    (_AND, 0, 0, _SYN | _ACK),
    (_JUMP_IF_EQUAL, 0, 1, _SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _WHOLE_SEGMENT),
)


def drop_syn_segments(sockets: Iterable[socket.socket]) -> None:
    """Make listening sockets drop SYN segments.

    The kernel assigns each new connection to one of the daemons that share a
    port. When a daemon closes its socket, connections that it has not
    accepted and unfinished handshakes are reset, so callers would see a
    broken connection although other daemons run. With the filter, a SYN gets
    no answer; the caller's machine sends it again after a second, when the
    socket is closed and the kernel assigns it to another daemon. Handshakes
    in progress complete.

    Parameters
    ----------
    sockets : iterable of socket
        Listening sockets, which the caller closes half a second later.
    """
    packed = b''.join(
        struct.pack('HBBI', *instruction) for instruction in _BPF_PROGRAM
    )
    instructions = ctypes.create_string_buffer(packed, len(packed))
    program = struct.pack(
        'HP', len(_BPF_PROGRAM), ctypes.addressof(instructions)
    )
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
