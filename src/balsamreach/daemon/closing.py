"""Closes a shared port at one of its daemons and cuts nobody off."""

import ctypes
import socket
import struct
from collections.abc import Iterable

#: ``SO_ATTACH_FILTER`` of Linux, which Python does not name.
_ATTACH_FILTER = 26
#: The TCP flags are the 14th octet of the header.
_FLAGS = 13
_SYN = 0x2
_ACK = 0x10
_LOAD_OCTET = 0x30
_AND = 0x54
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x6
_WHOLE = 0xFFFFFFFF

#: Classic BPF: drop a segment that opens a connection, pass all others.
_PROGRAM = (
    (_LOAD_OCTET, 0, 0, _FLAGS),
    (_AND, 0, 0, _SYN | _ACK),
    (_JUMP_IF_EQUAL, 0, 1, _SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _WHOLE),
)


def drop_openings(sockets: Iterable[socket.socket]) -> None:
    """Let listening sockets drop what would open a connection.

    The kernel sends a new connection to one of the daemons that share a
    port. Of those sent to a socket that closes, the ones not accepted yet
    and those whose handshake is under way are reset: callers would see a
    broken connection although the other daemons run. From now on an opening
    segment goes unanswered, the caller's machine sends it again after a
    second, and by then it is another daemon's. Handshakes under way end.

    Parameters
    ----------
    sockets : iterable of socket
        Listening sockets, to be closed half a second later.
    """
    packed = b''.join(struct.pack('HBBI', *step) for step in _PROGRAM)
    steps = ctypes.create_string_buffer(packed, len(packed))
    program = struct.pack('HP', len(_PROGRAM), ctypes.addressof(steps))
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, _ATTACH_FILTER, program)
