"""Base class of the messages between routers."""

import attrs


class Message:
    """Base class of all messages."""

    def __repr__(self) -> str:
        """Return the class name and its fields in the format of attrs.

        A method that attrs generates for each class would take a third of
        the import time of the messages, at each start of a router.
        """
        fields = ', '.join(
            f'{field.name}={getattr(self, field.name)!r}'
            for field in attrs.fields(type(self))
        )
        return f'{type(self).__name__}({fields})'
