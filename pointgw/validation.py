"""Reads TOML files into typed structs and reports every problem in a file at once.

msgspec's conversion stops at the first error, so each key is converted separately here, and an operator can
correct a file in one pass. For an unknown key the closest known key is named.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from difflib import get_close_matches
from pathlib import Path
from typing import Any, Literal, TypeVar, get_args, get_origin

import msgspec

T = TypeVar("T", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class InvalidValue:
    """One problem in a file."""

    path: str  # of the key, as in "rule[2].share"; empty: the file itself
    value: str
    expected: str

    def message(self, file: str) -> str:
        """One line that names the file, the key, the value and what was expected."""
        shown = f" = {self.value}" if self.value else ""
        return f"{file}: {self.path or 'the file'}{shown}: expected {self.expected}"


class InvalidFileError(Exception):
    """A file that can't be used; `problems` lists every problem in it."""

    def __init__(self, file: str, problems: list[InvalidValue]) -> None:
        super().__init__("; ".join(problem.message(file) for problem in problems))
        self.file, self.problems = file, problems


def read(path: Path, kind: type[T]) -> T:
    """Reads a file as a struct. Raises `InvalidFileError`, also if the file can't be opened."""
    return convert(read_toml(path), kind, str(path))


def read_toml(path: Path) -> dict[str, Any]:
    """Parses a file. Raises `InvalidFileError` if it can't be read or isn't TOML."""
    try:
        return tomllib.loads(path.read_text("utf-8"))
    except OSError as error:
        raise InvalidFileError(
            str(path), [InvalidValue("", "", f"a file that can be read ({error.strerror})")]
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidFileError(str(path), [InvalidValue("", "", f"TOML ({error})")]) from None


def convert(value: dict[str, Any], kind: type[T], file: str) -> T:
    """Converts a parsed file to a struct. Raises `InvalidFileError`, in which `file` is the name."""
    problems = list(_field_errors(value, kind, ""))
    if problems:
        raise InvalidFileError(file, problems)
    converted = msgspec.convert(value, kind)
    # Conditions across keys: a struct may have a `check` method for them.
    problems = list(_cross_field_errors(converted, ""))
    if problems:
        raise InvalidFileError(file, problems)
    return converted


def _field_errors(value: Any, kind: Any, path: str) -> Iterator[InvalidValue]:
    struct = _struct_of(kind)
    if struct is None:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            yield InvalidValue(path, repr(value), _expected(str(error), kind))
    elif get_origin(kind) is list or get_origin(kind) is tuple:
        if not isinstance(value, list):
            yield InvalidValue(path, repr(value), "a list of tables")
            return
        for i, item in enumerate(value):
            yield from _field_errors(item, struct, f"{path}[{i}]")
    elif not isinstance(value, dict):
        yield InvalidValue(path, repr(value), "a table")
    else:
        fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
        for name, inner in value.items():
            key = f"{path}.{name}" if path else name
            if name in fields:
                yield from _field_errors(inner, fields[name].type, key)
            else:
                closest = get_close_matches(name, fields, 1, 0.5)
                known = f"{closest[0]!r}" if closest else "one of " + ", ".join(fields)
                yield InvalidValue(key, "", f"{known} (this key is unknown)")
        for name, field in fields.items():
            if name not in value and field.required:
                yield InvalidValue(f"{path}.{name}" if path else name, "", "a value (this key is missing)")


def _struct_of(kind: Any) -> type[msgspec.Struct] | None:
    """The struct in a type: the type itself, or that of a list's items or an optional; else None."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    inner = [_struct_of(item) for item in get_args(kind)]
    return next((struct for struct in inner if struct is not None), None)


def _expected(text: str, kind: Any) -> str:
    """What was expected of a value of type `kind`.

    `text`: a message of msgspec like "Expected `int`, got `str` - at `$.key`"."""
    if text.startswith("Invalid enum value"):
        return "one of " + ", ".join(str(value) for value in _allowed_values(kind))
    return text.partition(" - at ")[0].replace("Expected ", "").replace("`", "")


def _allowed_values(kind: Any) -> Iterator[Any]:
    """The values of all `Literal` types in a type."""
    for argument in get_args(kind):
        if get_origin(kind) is Literal:
            yield argument
        else:
            yield from _allowed_values(argument)


def _cross_field_errors(struct: msgspec.Struct, path: str) -> Iterator[InvalidValue]:
    check = getattr(struct, "check", None)
    if check is not None:
        for name, value, expected in check():
            yield InvalidValue(f"{path}.{name}" if path else name, repr(value), expected)
    for field in msgspec.structs.fields(struct):
        value = getattr(struct, field.name)
        key = f"{path}.{field.encode_name}" if path else field.encode_name
        if isinstance(value, msgspec.Struct):
            yield from _cross_field_errors(value, key)
        elif isinstance(value, list | tuple):
            for i, item in enumerate(value):
                if isinstance(item, msgspec.Struct):
                    yield from _cross_field_errors(item, f"{key}[{i}]")
