"""Check that names of the users' platform occur only in its adapter."""

import ast
import re
import sys
from collections.abc import Iterator
from pathlib import Path

#: Packages that may contain the names: the adapter, and the stand-ins for the
#: services that it calls.
EXEMPT_PACKAGES = ('platform', 'standins')
#: Headers, paths, fields and variables of the platform. Words that are common
#: elsewhere, such as ``zone`` or ``priority``, can't be distinguished and are
#: left out.
NAMES = re.compile(
    r'(?<!X-)(?<!x-)Attempt-Id|Response-Stamp|Prompt-Prefix|Token-Counts|Not-Executed'
    r'|Expect-Instance|Deadline-Ms|Tenant-Name|Request-Priority|Weight-Versions'
    r'|Kv-(?:Hold|Fetch|From|Backup)|Pin-Ms|Length-Hint'
    r'|rows-(?:get|tx|feed|parts)|blob-(?:put|get|drop|list)'
    r'|/v1/(?:ready|report|kv-|hold-)'
    r'|route_type|\btimeout_ms|target_latency_ms|max_attempts|stream_resume'
    r'|traffic_split|public_access|gap_aim_ms|api_keys|kv_capacity|stride'
    r'|expected_rev|after_rev|more_pages|cold_left_ms|health_path'
    r'|config_apply_ms|drain_ms|grace_s|port_range|BALSAMREACH_BOOT',
    re.IGNORECASE,
)


def main(root: Path) -> int:
    """Print all names outside the adapter; return 1 if there are any."""
    paths = sorted(root.rglob('*.py'))
    violations = [
        violation
        for path in paths
        for violation in _find_violations(path, root)
    ]
    for violation in violations:
        sys.stdout.write(f'{violation}\n')
    sys.stdout.write(
        f'name rule: {len(paths)} files, {len(violations)} found\n'
    )
    return 1 if violations or not paths else 0


def _find_violations(path: Path, root: Path) -> Iterator[str]:
    parts = path.relative_to(root).parts
    if set(parts[1:2]) & set(EXEMPT_PACKAGES):
        return
    for number, text in _strings_and_identifiers(path):
        for name in NAMES.findall(text):
            yield f'{path.relative_to(root)}:{number}: {name}'


def _strings_and_identifiers(path: Path) -> Iterator[tuple[int, str]]:
    """Yield the line and text of each string and identifier of a module."""
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.lineno, node.value
        elif isinstance(node, ast.Name):
            yield node.lineno, node.id
        elif isinstance(node, ast.Attribute):
            yield node.lineno, node.attr


if __name__ == '__main__':
    sys.exit(main(Path(sys.argv[1])))
