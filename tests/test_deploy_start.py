"""Tests of starting the program from a bundle of compiled modules."""

import marshal
import os
import subprocess
import sys
import tempfile
import unittest
from importlib import util
from pathlib import Path

from parameterized import parameterized

ROOT = Path(__file__).resolve().parent.parent
_TIMEOUT_S = 60


def _load(path):
    spec = util.spec_from_file_location(path.stem, path)
    module = util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


start = _load(ROOT / 'deploy' / 'start.py')

_BUNDLE_OF_OTHER_PATH = marshal.dumps(
    ('/elsewhere', {'a': ('b', None, b'')}, {})
)
_EMPTY_BUNDLE = marshal.dumps(('', {}, {}))
_MODULES = {
    'sample/__init__.py': 'from sample.inner import NAME\n',
    'sample/inner.py': (
        'import attrs\n'
        '@attrs.frozen\n'
        'class Pair:\n'
        '    one: int\n'
        '    two: int = 2\n'
        'NAME = repr(Pair(1))\n'
    ),
}


class StartTest(unittest.TestCase):
    """Modules are loaded from a valid bundle, otherwise from their files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name).resolve()
        for name, text in _MODULES.items():
            path = self.root / name
            path.parent.mkdir(exist_ok=True)
            path.write_text(text, encoding='utf-8')
        self.bundle = self.root / 'modules.bundle'

    def write_bundle(self):
        self.run_python(str(ROOT / 'tools' / 'make_bundle.py'), 'sample')

    def run_python(self, script, *names):
        return subprocess.run(
            [sys.executable, script, str(self.bundle), *names],
            cwd=self.root,
            env=os.environ | {'PYTHONPATH': str(self.root)},
            timeout=_TIMEOUT_S,
            check=True,
            capture_output=True,
        )

    def load_bundle(self):
        return start.read_bundle(str(self.bundle), str(self.root))

    def test_module_is_loaded_without_its_file(self):
        self.write_bundle()
        (self.root / 'sample' / 'inner.py').unlink()
        script = self.root / 'use.py'
        script.write_text(
            'import sys\n'
            f'sys.path.insert(0, {str(ROOT / "deploy")!r})\n'
            'import start\n'
            f'found = start.read_bundle(sys.argv[1], {str(self.root)!r})\n'
            'sys.meta_path.insert(0, start.BundleFinder(found[0]))\n'
            'start.use_compiled(found[1])\n'
            'import sample\n'
            'print(sample.NAME, sample.inner.__file__)\n',
            encoding='utf-8',
        )
        output = self.run_python(str(script)).stdout.decode().split(maxsplit=2)
        self.assertEqual(output[0], 'Pair(one=1,')
        self.assertTrue(output[2].strip().endswith('sample/inner.py'))

    def test_paths_are_relative_to_the_checkout(self):
        self.write_bundle()
        moved = start.read_bundle(str(self.bundle), '/elsewhere')[0]
        origin, locations, _ = moved['sample']
        self.assertEqual(origin, '/elsewhere/sample/__init__.py')
        self.assertEqual(locations, ['/elsewhere/sample'])

    @parameterized.expand(
        [
            ('none', None),
            ('empty', b''),
            ('of another version', b''.join((b'none', _EMPTY_BUNDLE))),
            (
                'of another place',
                b''.join((util.MAGIC_NUMBER, _BUNDLE_OF_OTHER_PATH)),
            ),
        ]
    )
    def test_unusable_bundle_is_ignored(self, _name, contents):
        """An invalid or outdated bundle is ignored.

        Guards against a router that crashes at startup or runs wrong code:
        Python is updated and the bundle is not, so that it contains code of
        another version.
        """
        if contents is not None:
            self.bundle.write_bytes(contents)
        self.assertEqual(self.load_bundle(), ({}, {}))

    def test_code_missing_from_bundle_is_compiled(self):
        compile_once = start.CompileOnce({})
        names = {}
        exec(compile_once('value = 3', '<test>', 'exec'), names)
        self.assertEqual(names['value'], 3)
