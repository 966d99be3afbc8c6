"""Mapping between message classes and the structs of the schema."""

from collections.abc import Callable
from functools import cache, partial
from typing import Any, get_args, get_origin, get_type_hints

import attrs

from balsamreach.wire.base import Message
from balsamreach.wire.labels import field_label

#: Maximum length of one list. A list of empty structs takes almost no bytes,
#: so without this limit a small frame could block the decoder for seconds.
MAX_LIST_LENGTH = 4096

#: Sets one field of a builder.
Setter = Callable[[Any, str, Any], None]
#: Converts the value that a reader returns for a field to the attribute.
Getter = Callable[[Any], Any]


@attrs.frozen
class FieldPlan:
    """How one attribute of a message is written and read.

    Parameters
    ----------
    name : str
        Name of the attribute.
    label : str
        Name of the field in the schema.
    default : object
        Default of the field in the schema; it is not written.
    write, read : callable
        Setter and getter.
    """

    name: str
    label: str
    default: Any
    write: Setter
    read: Getter


@cache
def plan_fields(kind: type[Message]) -> tuple[FieldPlan, ...]:
    """Return the plans of all attributes of a message class."""
    hints = get_type_hints(kind)
    return tuple(
        _plan_field(field.name, hints[field.name])
        for field in attrs.fields(kind)
    )


def write_struct(builder: Any, message: Message) -> None:
    """Copy a message's attributes to the builder of its struct."""
    for plan in plan_fields(type(message)):
        attribute = getattr(message, plan.name)
        if attribute != plan.default:
            plan.write(builder, plan.label, attribute)


def read_struct(kind: type[Message], reader: Any) -> Message:
    """Return the message that a struct's reader contains."""
    return kind(
        *[plan.read(getattr(reader, plan.label)) for plan in plan_fields(kind)],
    )


def _plan_field(name: str, hint: Any) -> FieldPlan:
    label = field_label(name)
    if get_origin(hint) is tuple:
        element = get_args(hint)[0]
        if isinstance(element, type) and issubclass(element, Message):
            return FieldPlan(
                name,
                label,
                (),
                _write_struct_list,
                partial(_read_struct_list, element),
            )
        return FieldPlan(name, label, (), _write_scalars, _read_scalars)
    if issubclass(hint, Message):
        return FieldPlan(
            name, label, None, _write_nested, partial(read_struct, hint)
        )
    getter = bytes if hint is bytes else _unchanged
    return FieldPlan(name, label, hint(), setattr, getter)


def _read_struct_list(kind: type[Message], readers: Any) -> tuple[Message, ...]:
    _check_list_length(readers)
    return tuple(read_struct(kind, reader) for reader in readers)


def _write_nested(builder: Any, label: str, message: Message) -> None:
    write_struct(builder.init(label), message)


def _write_struct_list(
    builder: Any,
    label: str,
    messages: tuple[Message, ...],
) -> None:
    structs = builder.init(label, len(messages))
    for number, message in enumerate(messages):
        write_struct(structs[number], message)


def _write_scalars(
    builder: Any,
    label: str,
    elements: tuple[str, ...],
) -> None:
    scalars = builder.init(label, len(elements))
    for number, element in enumerate(elements):
        scalars[number] = element


def _read_scalars(readers: Any) -> tuple[Any, ...]:
    _check_list_length(readers)
    return tuple(readers)


def _check_list_length(readers: Any) -> None:
    # The codec converts this error to a fault, like those of the library.
    length = len(readers)
    if length > MAX_LIST_LENGTH:
        raise ValueError(f'list of {length} elements is too long')


def _unchanged(scalar: Any) -> Any:
    return scalar
