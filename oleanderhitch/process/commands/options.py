"""Offer the settings of a process as options of its command line."""

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

EXIT_WRONG_SETTINGS = 1


def make_options(settings: type[BaseSettings]) -> list[Option]:
    """Return one option for each setting, with default and environment name."""
    prefix = settings.model_config["env_prefix"]
    return [
        option(
            name.replace("_", "-"),
            description=_describe(
                field.description or "", f"{prefix}{name.upper()}", field.default
            ),
            flag=False,
        )
        for name, field in settings.model_fields.items()
    ]


def find_settings(command: Command, settings: type[Settings]) -> Settings | None:
    """Return the checked settings, or None after every fault was printed."""
    given: dict[str, Any] = {}
    for name in settings.model_fields:
        value = command.option(name.replace("_", "-"))
        if value is not None:
            given[name] = value
    try:
        return settings(**given)
    except ValidationError as error:
        prefix = settings.model_config["env_prefix"]
        for fault in error.errors():
            command.line_error(_describe_fault(fault, prefix), style="error")
        return None


def run_with_settings(
    command: Command, settings: type[Settings], run: Callable[[Settings], int]
) -> int:
    """Run a process and return its exit code."""
    checked = find_settings(command, settings)
    return EXIT_WRONG_SETTINGS if checked is None else run(checked)


def _describe(text: str, variable: str, default: Any) -> str:
    has_default = default is not None and not repr(default).startswith("Pydantic")
    shown = f", default {default}" if has_default and str(default) else ""
    return f"{text} [{variable}{shown}]"


def _describe_fault(fault: Any, prefix: str) -> str:
    name = ".".join(str(part) for part in fault["loc"])
    message = re.sub("^Value error, ", "", fault["msg"])
    flag = f"--{name.replace('_', '-')} ({prefix}{name.upper()})"
    if fault["type"] == "missing":
        return f"{flag}: is missing"
    return f"{flag}: {message}; got {fault['input']!r}"


def run_single_command(program: str, command: Command) -> int:
    """Run a program that has one command and return its exit code."""
    application = Application(program)
    application.add(command)
    # cleo has no public setter for programs with a single command.
    application._default_command = command.name or ""
    application._single_command = True
    return application.run()
