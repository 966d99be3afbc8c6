"""Check the import rules of the package, without importing its modules."""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

PACKAGE = 'balsamreach'
#: Packages that hold decision logic only. Their clock, random numbers and
#: platform clients are passed in.
DECISION_PACKAGES = (
    'budget',
    'catalogue',
    'memory',
    'placement',
    'power',
    'relay',
    'requests',
    'routing',
    'table',
    'targets',
)
#: Modules that a decision package may not import, directly or indirectly.
TRANSPORTS = frozenset(('tornado', 'capnp', 'pycapnp', 'pycurl'))
#: What no module may use, since the product starts no other processes.
PROCESS_STARTERS = (
    'concurrent.futures.ProcessPoolExecutor',
    'concurrent.futures.process',
    'asyncio.create_subprocess_exec',
    'asyncio.create_subprocess_shell',
    'asyncio.subprocess',
    'multiprocessing',
    'pty',
    'subprocess',
    'tornado.process',
)
#: Attributes of ``os`` that start a process or replace this one.
OS_STARTERS = ('exec', 'fork', 'popen', 'posix_spawn', 'spawn', 'system')


def main(root: Path) -> int:
    """Print all violations in a source directory; return 1 if there are any."""
    trees = {
        _module_name(path, root): ast.parse(path.read_text(encoding='utf-8'))
        for path in sorted(root.rglob('*.py'))
    }
    violations = [*_find_starters(trees), *_find_transports(trees)]
    for violation in violations:
        sys.stdout.write(f'{violation}\n')
    modules = len(trees)
    count = len(violations)
    sys.stdout.write(f'import rule: {modules} modules, {count} breaches\n')
    return 1 if violations or not trees else 0


def _module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix('').parts
    if parts[-1] == '__init__':
        parts = parts[:-1]
    return '.'.join(parts)


def _imports(tree: ast.AST, module: str) -> Iterator[str]:
    """Yield all dotted names that a module imports, also inside functions."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = _import_base(node, module)
            yield base
            yield from (f'{base}.{alias.name}' for alias in node.names)


def _import_base(node: ast.ImportFrom, module: str) -> str:
    if not node.level:
        return node.module or ''
    parents = module.split('.')[: -node.level]
    return '.'.join([*parents, *filter(None, [node.module])])


def _find_starters(trees: dict[str, ast.Module]) -> Iterator[str]:
    for module, tree in trees.items():
        names = {*_imports(tree, module), *_dotted_names(tree)}
        for name in sorted(names):
            if _starts_process(name):
                yield f'{module}: {name}: starts a process'


def _dotted_names(tree: ast.AST) -> Iterator[str]:
    """Yield all dotted names that a module uses, such as ``os.fork``."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute):
            yield ast.unparse(node)


def _starts_process(name: str) -> bool:
    if name.startswith('os.'):
        return name.removeprefix('os.').startswith(OS_STARTERS)
    return any(f'{name}.'.startswith(f'{word}.') for word in PROCESS_STARTERS)


def _find_transports(trees: dict[str, ast.Module]) -> Iterator[str]:
    for module in trees:
        package = module.partition('.')[2].partition('.')[0]
        if package in DECISION_PACKAGES:
            yield from _find_chains(module, trees)


def _find_chains(start: str, trees: dict[str, ast.Module]) -> Iterator[str]:
    """Yield the import chains from a module to transport modules."""
    pending = [(start,)]
    seen = {start}
    while pending:
        path = pending.pop()
        module = path[-1]
        names = set(_imports(trees[module], module))
        for name in sorted(names):
            if name.partition('.')[0] in TRANSPORTS:
                chain = ' -> '.join([*path, name])
                yield f'{chain}: a decision package reaches a transport'
            new = [
                mod
                for mod in _modules_loaded_by(name, trees)
                if mod not in seen
            ]
            seen.update(new)
            pending.extend((*path, mod) for mod in new)


def _modules_loaded_by(
    name: str, trees: dict[str, ast.Module]
) -> Iterator[str]:
    """Yield the modules of the package that are loaded by importing a name."""
    parts = name.split('.')
    for length in range(1, len(parts) + 1):
        module = '.'.join(parts[:length])
        if module in trees:
            yield module


if __name__ == '__main__':
    sys.exit(main(Path(sys.argv[1])))
