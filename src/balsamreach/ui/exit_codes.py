"""Exit codes of all commands."""

#: The command succeeded.
OK = 0
#: The operation failed; the message says why.
FAILED = 1
#: Invalid arguments or settings; nothing was started.
USAGE = 2
#: The row was changed in the meantime; read it again and repeat.
CONFLICT = 3
#: A router or service couldn't be reached.
UNREACHABLE = 4
#: An audit found a broken invariant.
BROKEN = 5
