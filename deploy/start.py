"""Starts a router from a bundle of all the modules that it imports.

Hundreds of hosts may start at the same moment. Looking each of some 450
modules up on disk takes 7,300 system calls, which are most of what a start
costs there; the bundle is read at once, and takes 1,600. Whatever it lacks,
or another Python wrote, is imported the usual way.
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

#: Path of a module's file, where a package's modules are (None for a plain
#: module), and its marshalled code (None for a compiled library).
Entry = tuple[str, list[str] | None, bytes | None]
#: Marshalled code by what it was compiled from: source and file name.
Compiled = dict[tuple[str, str], bytes]


class BundleFinder:
    """Finds and loads the modules of a bundle.

    Parameters
    ----------
    entries : dict
        Entries by full names of modules.
    """

    def __init__(self, entries: dict[str, Entry]) -> None:
        self._entries = entries

    def find_spec(
        self,
        name: str,
        _path: object = None,
        _target: object = None,
    ) -> ModuleSpec | None:
        """Return how to load a module, None if the bundle lacks it."""
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
        """Leave it to the import system to make the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Run the module's code, which is of no use after that."""
        code = marshal.loads(self._entries.pop(module.__name__)[2])
        exec(code, module.__dict__)


def read_bundle(path: str, root: str) -> tuple[dict[str, Entry], Compiled]:
    """Return what a bundle holds, nothing if it can't be used here.

    Parameters
    ----------
    path : str
        File that ``tools/make_bundle.py`` wrote.
    root : str
        Folder that relative paths in it start from.

    Returns
    -------
    tuple of dict
        Entries by full names of modules, and compiled code.
    """
    try:
        with open(path, 'rb') as bundle:
            octets = bundle.read()
    except OSError:
        return {}, {}
    # Code of another version of Python would crash, or do something else.
    if not octets.startswith(MAGIC_NUMBER):
        return {}, {}
    prefix, entries, compiled = marshal.loads(octets[len(MAGIC_NUMBER) :])
    # Compiled libraries are where the Python that wrote it has them.
    if prefix != sys.base_prefix:
        return {}, {}
    return {
        name: (
            os.path.join(root, origin),
            locations and [os.path.join(root, place) for place in locations],
            code,
        )
        for name, (origin, locations, code) in entries.items()
    }, compiled


class CompileOnce:
    """Stands in for ``compile`` where much was compiled before.

    Parameters
    ----------
    compiled : dict
        Code by source and file name.
    """

    def __init__(self, compiled: Compiled) -> None:
        self._compiled = compiled

    def __call__(self, source: str, filename: str, mode: str) -> object:
        """Return the code of a source."""
        code = self._compiled.pop((source, filename), None)
        if code is None:
            return compile(source, filename, mode)
        return marshal.loads(code)


def use_compiled(compiled: Compiled) -> None:
    """Let attrs take the methods of its classes as they were compiled before.

    It writes the methods of each class as text and compiles that, which is a
    fifth of the processor time of a start. The text is the same each time.

    Parameters
    ----------
    compiled : dict
        Code by source and file name; what it lacks is compiled.
    """
    from attr import _make

    _make.compile = CompileOnce(compiled)


def main() -> None:
    """Run the product's command line."""
    # What modules make lives as long as the process. Looked through again and
    # again, while more is made and later on, it costs time for nothing.
    gc.disable()
    entries, compiled = read_bundle(BUNDLE, ROOT)
    sys.path.append(os.path.join(ROOT, 'target', 'deps'))
    sys.meta_path.insert(0, BundleFinder(entries))
    if compiled:
        use_compiled(compiled)
    from balsamreach.ui.main import main as run

    # The command line would import it when it is called for.
    import_module('balsamreach.ui.relay')
    gc.freeze()
    gc.enable()
    run(prog_name='balsamreach')


if __name__ == '__main__':
    main()
