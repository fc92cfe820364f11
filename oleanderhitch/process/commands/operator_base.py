"""Provide what the operators' commands share: options, output and exit codes."""

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import IntEnum
from pathlib import Path
from typing import Any

import cattrs
import gevent
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from pydantic import ValidationError
from pydantic_settings import BaseSettings, SettingsConfigDict

from oleanderhitch.exceptions import InvalidInputError, UnavailableError
from oleanderhitch.process.clock import Clock, make_system_clock
from oleanderhitch.process.commands.operator_client import (
    ClientSettings,
    ConfigurationClient,
    ConfigurationClientFactory,
)
from oleanderhitch.process.groups.placement import (
    N_SHARDS_DEFAULT,
    Store,
    parse_stores,
)
from oleanderhitch.process.operators.hosts import HostsClient
from oleanderhitch.version.exceptions import InvalidConfigurationError


class ExitCode(IntEnum):
    """Say how a command ended; scripts depend on the numbers."""

    OK = 0
    ERROR = 1
    CONFLICT = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


class OperatorSettings(BaseSettings):
    """Take the stores and the key from the environment."""

    model_config = SettingsConfigDict(env_prefix="OLEANDERHITCH_")

    stores: str = ""
    key_file: Path | None = None
    n_shards: int = N_SHARDS_DEFAULT


HostsClientFactory = Callable[[ClientSettings], HostsClient]


def _reject_hosts_client(settings: ClientSettings) -> HostsClient:
    raise UnavailableError("these surroundings do not reach the disk hosts")


@dataclass(frozen=True, slots=True)
class CommandDependencies:
    """Hold what the commands reach, so that tests can replace it."""

    make_configuration_client: ConfigurationClientFactory
    clock: Clock
    sleep: Callable[[timedelta], None]
    write_line: Callable[[str], None]
    make_hosts_client: HostsClientFactory = _reject_hosts_client


def make_command_dependencies(
    make_configuration_client: ConfigurationClientFactory,
    make_hosts_client: HostsClientFactory,
) -> CommandDependencies:
    """Return the surroundings of a real process."""
    return CommandDependencies(
        make_configuration_client,
        make_system_clock(),
        lambda duration: gevent.sleep(duration.total_seconds()),
        lambda text: print(text, file=sys.stdout),
        make_hosts_client,
    )


CONNECTION_OPTIONS: list[Option] = [
    option("stores", None, "Stores as IP:PORT,IP:PORT.", flag=False),
    option("key-file", None, "File with the shared key.", flag=False),
]
JSON_OPTION = option("json", None, "Write JSON.")
FOLDER_ARGUMENT: Argument = argument("folder", "Folder of YAML declarations.")


class OperatorCommand(Command):
    """Run one command and turn errors into exit codes."""

    dependencies: CommandDependencies

    def run_command(self) -> ExitCode:
        """Do the command's work."""
        raise NotImplementedError

    def handle(self) -> int:
        """Return the exit code of the command."""
        try:
            return int(self.run_command())
        except InvalidConfigurationError as error:
            return int(
                self._write_failure(ExitCode.ERROR, "faults", list(error.faults))
            )
        except InvalidInputError as error:
            return int(self._write_failure(ExitCode.ERROR, "error", str(error)))
        except UnavailableError as error:
            return int(self._write_failure(ExitCode.UNREACHABLE, "error", str(error)))

    def connect(self) -> ConfigurationClient:
        """Return a client of the stores named by options or environment."""
        return self.dependencies.make_configuration_client(self._read_settings())

    def connect_hosts(self) -> HostsClient:
        """Return a client of the disk hosts' replicas."""
        return self.dependencies.make_hosts_client(self._read_settings())

    def write_result(self, result: dict[str, Any], lines: list[str]) -> None:
        """Write the result as JSON or as lines of text."""
        if self.option("json"):
            lines = [json.dumps(make_json_value(result), ensure_ascii=False, indent=2)]
        for line in lines:
            self.dependencies.write_line(line)

    def parse_number(self, text: object, option_name: str) -> int:
        """Return a count given as an option; raise InvalidInputError."""
        if not (isinstance(text, str) and text.isascii() and text.isdecimal()):
            raise InvalidInputError(
                f"expected a number for {option_name}, got {text!r}"
            )
        return int(text)

    def _write_failure(self, code: ExitCode, key: str, detail: object) -> ExitCode:
        lines = [str(item) for item in detail] if isinstance(detail, list) else None
        self.write_result({key: detail}, lines or [str(detail)])
        return code

    def _read_settings(self) -> ClientSettings:
        try:
            settings = OperatorSettings()
        except ValidationError as error:
            raise InvalidInputError(f"settings are invalid: {error}") from None
        stores = _parse_stores(self.option("stores") or settings.stores)
        key_file = self.option("key-file")
        return ClientSettings(
            stores, Path(key_file) if key_file else settings.key_file, settings.n_shards
        )


def make_json_value(value: Any) -> Any:
    """Return a value as maps, lists and scalars that JSON has."""
    return _JSON_CONVERTER.unstructure(value)


def _make_json_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    converter.register_unstructure_hook(datetime, lambda value: value.isoformat())
    converter.register_unstructure_hook(
        bytes, lambda value: value.decode("utf-8", errors="replace")
    )
    return converter


_JSON_CONVERTER = _make_json_converter()


def _parse_stores(text: str) -> tuple[Store, ...]:
    problem = "none"
    try:
        stores = parse_stores(text)
    except InvalidInputError as error:
        stores, problem = (), str(error)
    if not stores:
        raise InvalidInputError(
            f"expected stores as IP:PORT,IP:PORT or NAME=IP:PORT@DATA_CENTRE, got "
            f"{problem}; use --stores or OLEANDERHITCH_STORES"
        )
    return stores
