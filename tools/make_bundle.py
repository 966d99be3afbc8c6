"""Writes the bundle of compiled modules that deploy/start.py loads.

Run it in the root of a checkout. Modules are found on Python's module search
path, so that the installed ones are bundled.
"""

import marshal
import sys
from importlib import import_module
from importlib.machinery import ExtensionFileLoader, SourceFileLoader
from importlib.util import MAGIC_NUMBER
from pathlib import Path
from types import ModuleType
from typing import Any

from attr import _make

#: Imported so that the bundle has every module that a router needs.
ROUTER_MODULES = ('balsamreach.ui.main', 'balsamreach.ui.relay')


def main(path: str, *names: str) -> None:
    """Import modules and write all loaded modules to a bundle.

    Parameters
    ----------
    path : str
        File to write.
    *names : str
        Modules to import; those of a router if none is given.
    """
    recorder = RecordingCompile()
    _make.compile = recorder
    for required in names or ROUTER_MODULES:
        import_module(required)
    entries = {
        name: _entry(module)
        for name, module in tuple(sys.modules.items())
        if name != '__main__' and _is_loaded_from_file(module)
    }
    bundle = (sys.base_prefix, entries, recorder.compiled)
    Path(path).write_bytes(MAGIC_NUMBER + marshal.dumps(bundle))
    sys.stdout.write(f'{path}: {len(entries)} modules\n')


class RecordingCompile:
    """Replacement for ``compile`` that records the code it returns.

    It captures the methods that attrs generates.
    """

    def __init__(self) -> None:
        self.compiled: dict[tuple[str, str], bytes] = {}

    def __call__(self, source: str, filename: str, mode: str) -> Any:
        """Compile a source, and record its code."""
        code = compile(source, filename, mode)
        self.compiled[source, filename] = marshal.dumps(code)
        return code


def _is_loaded_from_file(module: ModuleType) -> bool:
    spec = getattr(module, '__spec__', None)
    loader = getattr(spec, 'loader', None)
    return isinstance(loader, SourceFileLoader | ExtensionFileLoader)


def _entry(module: ModuleType) -> tuple[Any, ...]:
    spec = module.__spec__
    if isinstance(spec.loader, ExtensionFileLoader):
        return (_relative_to_checkout(spec.origin), None, None)
    locations = spec.submodule_search_locations
    code = spec.loader.get_code(spec.name)
    return (
        _relative_to_checkout(spec.origin),
        None
        if locations is None
        else [_relative_to_checkout(location) for location in locations],
        marshal.dumps(code),
    )


def _relative_to_checkout(path: str) -> str:
    # The bundle may be used in a checkout at another path.
    root = Path.cwd()
    resolved = Path(path).resolve()
    return str(
        resolved.relative_to(root)
        if resolved.is_relative_to(root)
        else resolved
    )


if __name__ == '__main__':
    main(*sys.argv[1:])
