"""Exit codes of every command."""

#: The command did what it was told.
OK = 0
#: The operation failed; the message says why.
FAILED = 1
#: Wrong usage or settings; nothing was started.
USAGE = 2
#: A row changed meanwhile; read it again and repeat.
CONFLICT = 3
#: A router or service couldn't be reached.
UNREACHABLE = 4
#: An audit found that what must always hold doesn't.
BROKEN = 5
