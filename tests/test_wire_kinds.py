"""Tests of the list of messages: nothing is missing, here or elsewhere."""

import gc
import unittest
from importlib import import_module
from pkgutil import iter_modules

from balsamreach import wire
from balsamreach.wire.base import Message
from balsamreach.wire.codec import kinds
from balsamreach.wire.schema import load_schema


class KindsTest(unittest.TestCase):
    """The classes of messages, their list and the schema agree."""

    def test_every_message_is_listed_and_in_the_schema(self):
        """A class of messages needs its struct, and its place in KINDS."""
        # A module that KINDS leaves out may not have been imported yet.
        for module in iter_modules(wire.__path__, f'{wire.__name__}.'):
            import_module(module.name)
        union = set(load_schema().Envelope.schema.union_fields)
        self.assertEqual(union, {*kinds(), 'none'})
        # attrs makes each class anew; the first one is listed until it goes.
        gc.collect()
        self.assertEqual(
            sorted(kind.__name__ for kind in Message.__subclasses__()),
            sorted(kind.__name__ for kind in kinds().values()),
        )
