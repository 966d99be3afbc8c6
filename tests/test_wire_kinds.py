"""Tests that the list of message classes and the schema are complete."""

import gc
import unittest
from importlib import import_module
from pkgutil import iter_modules

from balsamreach import wire
from balsamreach.wire.base import Message
from balsamreach.wire.codec import message_classes
from balsamreach.wire.schema import load_schema


class KindsTest(unittest.TestCase):
    """The message classes, the list of them and the schema agree."""

    def test_every_message_is_listed_and_in_the_schema(self):
        """Each message class needs a struct and an entry in MESSAGE_CLASSES."""
        # A module that MESSAGE_CLASSES omits may not have been imported yet.
        for module in iter_modules(wire.__path__, f'{wire.__name__}.'):
            import_module(module.name)
        union = set(load_schema().Envelope.schema.union_fields)
        self.assertEqual(union, {*message_classes(), 'none'})
        # attrs replaces each class by a new one; the original counts as a
        # subclass until it is collected.
        gc.collect()
        self.assertEqual(
            sorted(kind.__name__ for kind in Message.__subclasses__()),
            sorted(kind.__name__ for kind in message_classes().values()),
        )
