"""Starts a router from a bundle of all the modules that it imports.

Hundreds of hosts may start at the same time. Searching for some 450 modules on
disk takes 7,300 system calls, most of the cost of a start; with the bundle,
which is read at once, a start takes 1,600. Modules that it lacks are imported
as usual, and so are all modules if another Python wrote it.
"""

import gc
import marshal
import os
import sys
from importlib import import_module
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from importlib.util import MAGIC_NUMBER
from types import ModuleType

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUNDLE = os.path.join(ROOT, 'target', 'router.bundle')

#: Path of a module's file, search locations of a package (None for a plain
#: module), and marshalled code (None for an extension library).
ModuleEntry = tuple[str, list[str] | None, bytes | None]
#: Marshalled code by source text and file name.
CodeCache = dict[tuple[str, str], bytes]


class BundleFinder:
    """Finds and loads the modules of a bundle.

    Parameters
    ----------
    entries : dict
        Entries by full module name.
    """

    def __init__(self, entries: dict[str, ModuleEntry]) -> None:
        self._entries = entries

    def find_spec(
        self,
        name: str,
        _path: object = None,
        _target: object = None,
    ) -> ModuleSpec | None:
        """Return the spec of a module, None if the bundle lacks it."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        origin, locations, code = entry
        loader = self if code else ExtensionFileLoader(name, origin)
        spec = ModuleSpec(
            name,
            loader,
            origin=origin,
            is_package=locations is not None,
        )
        spec.has_location = True
        if locations is not None:
            spec.submodule_search_locations.extend(locations)
        return spec

    def create_module(self, _spec: ModuleSpec) -> None:
        """Use the default creation of modules."""

    def exec_module(self, module: ModuleType) -> None:
        """Run the module's code and remove it: it is needed only once."""
        code = marshal.loads(self._entries.pop(module.__name__)[2])
        exec(code, module.__dict__)


def read_bundle(
    path: str, root: str
) -> tuple[dict[str, ModuleEntry], CodeCache]:
    """Read a bundle; return empty dicts if it can't be used here.

    Parameters
    ----------
    path : str
        File written by ``tools/make_bundle.py``.
    root : str
        Folder to which paths in the bundle are relative.

    Returns
    -------
    tuple of dict
        Entries by full module name, and compiled code.
    """
    try:
        with open(path, 'rb') as bundle:
            content = bundle.read()
    except OSError:
        return {}, {}
    # Code for another version of Python would crash or behave differently.
    if not content.startswith(MAGIC_NUMBER):
        return {}, {}
    prefix, entries, compiled = marshal.loads(content[len(MAGIC_NUMBER) :])
    # Extension libraries are those of the Python that wrote the bundle.
    if prefix != sys.base_prefix:
        return {}, {}
    return {
        name: (
            os.path.join(root, origin),
            locations
            and [os.path.join(root, location) for location in locations],
            code,
        )
        for name, (origin, locations, code) in entries.items()
    }, compiled


class CompileCache:
    """Replacement of ``compile`` that uses precompiled code.

    Parameters
    ----------
    compiled : dict
        Marshalled code by source and file name.
    """

    def __init__(self, compiled: CodeCache) -> None:
        self._compiled = compiled

    def __call__(self, source: str, filename: str, mode: str) -> object:
        """Return the code of a source; compile it if there is none."""
        code = self._compiled.pop((source, filename), None)
        if code is None:
            return compile(source, filename, mode)
        return marshal.loads(code)


def use_compiled(compiled: CodeCache) -> None:
    """Make attrs use precompiled methods for its classes.

    attrs generates the methods of each class as text and compiles it, which
    takes a fifth of the processor time of a start. The text is the same each
    time.

    Parameters
    ----------
    compiled : dict
        Marshalled code by source and file name; missing code is compiled.
    """
    from attr import _make

    _make.compile = CompileCache(compiled)


def main() -> None:
    """Run the command line."""
    # Objects that modules create live as long as the process. Garbage
    # collection would scan them repeatedly, during the imports and later, and
    # free nothing.
    gc.disable()
    entries, compiled = read_bundle(BUNDLE, ROOT)
    sys.path.append(os.path.join(ROOT, 'target', 'deps'))
    sys.meta_path.insert(0, BundleFinder(entries))
    if compiled:
        use_compiled(compiled)
    from balsamreach.ui.main import main as run

    # The command line imports it only when the command is run.
    import_module('balsamreach.ui.relay')
    gc.freeze()
    gc.enable()
    run(prog_name='balsamreach')


if __name__ == '__main__':
    main()
