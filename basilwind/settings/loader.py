"""Loads settings files: JSON with comments, validated against a model."""

import re
from pathlib import Path

import msgspec
import pyjson5

from basilwind.errors import SettingsError

_POSITION = re.compile(r"near (\d+)")
_MODEL_PATH = re.compile(r" - at `\$?(.*)`$")
_PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")


def load_file(path, model):
    """Loads a settings file.

    Args:
        path: Path of the file.
        model: Settings model to validate against.

    Returns:
        An instance of ``model``.

    Raises:
        SettingsError: The file cannot be read, parsed or validated; has the file name
            and, if known, the line and the path of the value.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"cannot read the file ({error}); check its name and permissions"
        raise SettingsError(message, file=str(path)) from error
    return load_text(text, model, file=str(path))


def load_text(text, model, file=""):
    """Parses and validates settings text.

    Args:
        text: JSON with comments.
        model: Settings model to validate against.
        file: File name for errors.

    Returns:
        An instance of ``model``.

    Raises:
        SettingsError: The text is not valid; has the line and, if known, the path of
            the value.
    """
    document = parse_text(text, file)
    try:
        return convert(document, model)
    except SettingsError as error:
        line = _line_of_path(text, error.path)
        raise SettingsError(error.message, error.path, file, line) from error


def parse_text(text, file=""):
    """Parses JSON with comments into plain values.

    Raises:
        SettingsError: The text does not parse; has the line.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        reason = str(error.args[0])
        line = _line_of_offset(text, reason)
        message = f"not valid JSON with comments: {reason}; correct the syntax here"
        raise SettingsError(message, file=file, line=line) from error


def convert(document, model):
    """Converts plain values to a model.

    Raises:
        SettingsError: A value is not valid; has its path.
    """
    try:
        return msgspec.convert(document, model)
    except msgspec.ValidationError as error:
        text = str(error)
        match = _MODEL_PATH.search(text)
        path = match.group(1).lstrip(".") if match else ""
        message = _MODEL_PATH.sub("", text)
        raise SettingsError(
            f"{message}; see the schema for valid values", path
        ) from error


def _line_of_offset(text, reason):
    """Returns the line of the character position that a parser's message names."""
    match = _POSITION.search(reason)
    if not match:
        return 1
    position = max(int(match.group(1)) - 1, 0)
    return text.count("\n", 0, position) + 1


def _line_of_path(text, path):
    """Returns the line of the value at a path, or of its closest known parent."""
    # json-five is a large import, needed only to locate an error.
    from json5.loader import ModelLoader, loads

    try:
        node = loads(text, loader=ModelLoader()).value
    except Exception:
        return 1
    line = node.lineno or 1
    for name, index in _PATH_STEP.findall("." + path if path[:1] != "[" else path):
        node = _child(node, name, index)
        if node is None:
            return line
        line = node.lineno or line
    return line


def _child(node, name, index):
    """Returns the value of an array index or an object key, or None."""
    if index:
        values = getattr(node, "values", [])
        return values[int(index)] if int(index) < len(values) else None
    for pair in getattr(node, "key_value_pairs", []):
        if getattr(pair.key, "characters", getattr(pair.key, "name", None)) == name:
            return pair.value
    return None
