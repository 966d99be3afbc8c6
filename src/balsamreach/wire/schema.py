"""Loads the schema of the inner protocol from the package's own files."""

from functools import cache
from pathlib import Path
from typing import Any

import capnp

_FILE = 'messages.capnp'


@cache
def load_schema() -> Any:
    """Return the loaded schema, the same one at each call.

    Returns
    -------
    module
        Has one attribute per struct of ``messages.capnp``.
    """
    # The hook would look for .capnp files at each import of any module.
    capnp.remove_import_hook()
    return capnp.load(str(Path(__file__).with_name(_FILE)))
