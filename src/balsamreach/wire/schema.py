"""Loading of the Cap'n Proto schema from the package's files."""

from functools import cache
from pathlib import Path
from typing import Any

import capnp

_FILE = 'messages.capnp'


@cache
def load_schema() -> Any:
    """Return the schema, loaded at the first call and then cached.

    Returns
    -------
    module
        Module with one attribute per struct of ``messages.capnp``.
    """
    # The hook would search for .capnp files at every import of any module.
    capnp.remove_import_hook()
    return capnp.load(str(Path(__file__).with_name(_FILE)))
