"""Map the settings of a process to options of its command line."""

import re
from collections.abc import Callable
from typing import Any, TypeVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from pydantic import ValidationError
from pydantic_settings import BaseSettings

Settings = TypeVar("Settings", bound=BaseSettings)

EXIT_INVALID_SETTINGS = 1


def make_options(settings_class: type[BaseSettings]) -> list[Option]:
    """Return one option for each setting, with default and environment name."""
    prefix = settings_class.model_config["env_prefix"]
    return [
        option(
            name.replace("_", "-"),
            description=_format_description(
                field.description or "", f"{prefix}{name.upper()}", field.default
            ),
            flag=False,
        )
        for name, field in settings_class.model_fields.items()
    ]


def parse_settings(command: Command, settings_class: type[Settings]) -> Settings | None:
    """Return the validated settings, or None after printing every error."""
    option_values: dict[str, Any] = {}
    for name in settings_class.model_fields:
        value = command.option(name.replace("_", "-"))
        if value is not None:
            option_values[name] = value
    try:
        return settings_class(**option_values)
    except ValidationError as error:
        prefix = settings_class.model_config["env_prefix"]
        for detail in error.errors():
            command.line_error(_format_validation_error(detail, prefix), style="error")
        return None


def run_with_settings(
    command: Command, settings_class: type[Settings], run: Callable[[Settings], int]
) -> int:
    """Run a process with validated settings and return its exit code."""
    settings = parse_settings(command, settings_class)
    return EXIT_INVALID_SETTINGS if settings is None else run(settings)


def _format_description(description: str, variable: str, default: Any) -> str:
    # Pydantic marks a setting without default by its value PydanticUndefined.
    has_default = default is not None and not repr(default).startswith("Pydantic")
    default_text = f", default {default}" if has_default and str(default) else ""
    return f"{description} [{variable}{default_text}]"


def _format_validation_error(detail: Any, prefix: str) -> str:
    name = ".".join(str(part) for part in detail["loc"])
    message = re.sub("^Value error, ", "", detail["msg"])
    option_names = f"--{name.replace('_', '-')} ({prefix}{name.upper()})"
    if detail["type"] == "missing":
        return f"{option_names}: is missing"
    return f"{option_names}: {message}; got {detail['input']!r}"


def run_single_command(program: str, command: Command) -> int:
    """Run a program that consists of one command and return its exit code."""
    application = Application(program)
    application.add(command)
    # cleo has no public API for programs with a single command.
    application._default_command = command.name or ""
    application._single_command = True
    return application.run()
