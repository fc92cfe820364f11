"""Define the options, output and exit codes that operators' commands share."""

import json
import sys
from collections.abc import Callable
from datetime import timedelta
from enum import IntEnum
from pathlib import Path
from typing import Any

import gevent
import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from pydantic import ValidationError
from pydantic_settings import BaseSettings, SettingsConfigDict

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError, UnavailableError
from oleanderhitch.process.clock import Clock, make_system_clock
from oleanderhitch.process.commands.operator_client import (
    ClientSettings,
    ConfigurationClient,
    MakeConfigurationClient,
)
from oleanderhitch.process.explaining.messages import ExplainRequest, Explanation
from oleanderhitch.process.groups.placement import (
    DEFAULT_N_SHARDS,
    Store,
    parse_stores,
)
from oleanderhitch.process.operators.hosts import HostsClient
from oleanderhitch.values import Value
from oleanderhitch.version.exceptions import InvalidConfigurationError


class ExitCode(IntEnum):
    """Exit codes of the operators' commands; scripts depend on the numbers."""

    OK = 0
    # The configuration, an option or an argument is invalid, or the deployment refused
    # the call.
    ERROR = 1
    # The folder is not based on the accepted version, or a replica was not replaced.
    CONFLICT = 2
    # The deployment or a group's leader did not reply; a publish may have been
    # accepted.
    UNREACHABLE = 3
    # The version is accepted but was not in force within the time of --wait.
    NOT_IN_FORCE = 4
    # The verdicts of `explain`, of which `sent_now` is 0. What would be refused ends
    # with 20 or more.
    QUEUED = 10
    ASKS_LEADER = 11
    BUSY = 12
    NOT_CURRENT = 13
    ASKS_OWNER = 14
    UNKNOWN_ROUTE = 20
    UNKNOWN_KEY = 21
    UNKNOWN_ID = 22
    MALFORMED = 23
    STOPPING = 24
    OVER_LIMIT = 25
    OVERLOADED = 26
    QUARANTINED = 27
    NO_ENDPOINT = 28
    IN_PROGRESS = 29


class OperatorSettings(BaseSettings):
    """Settings that operators' commands read from environment variables."""

    model_config = SettingsConfigDict(env_prefix="OLEANDERHITCH_")

    stores: str = ""
    key_file: Path | None = None
    n_shards: int = DEFAULT_N_SHARDS


MakeHostsClient = Callable[[ClientSettings], HostsClient]
# Sends a call to the entry host at an address, with the key in a file.
SendExplainRequest = Callable[[HostAddress, Path | None, ExplainRequest], Explanation]


def _raise_no_hosts_client(settings: ClientSettings) -> HostsClient:
    raise UnavailableError("no client for the disk hosts is configured")


def _raise_no_explain_client(
    host: HostAddress, key_file: Path | None, request: ExplainRequest
) -> Explanation:
    raise UnavailableError("no client for entry hosts is configured")


class CommandDependencies(Value, frozen=True):
    """Clients, clock and output of the commands, which tests replace."""

    make_configuration_client: MakeConfigurationClient
    clock: Clock
    sleep: Callable[[timedelta], None]
    write_line: Callable[[str], None]
    make_hosts_client: MakeHostsClient = _raise_no_hosts_client
    send_explain_request: SendExplainRequest = _raise_no_explain_client


def make_command_dependencies(
    make_configuration_client: MakeConfigurationClient,
    make_hosts_client: MakeHostsClient,
    send_explain_request: SendExplainRequest = _raise_no_explain_client,
) -> CommandDependencies:
    """Return dependencies with the system clock and standard output."""
    return CommandDependencies(
        make_configuration_client,
        make_system_clock(),
        lambda duration: gevent.sleep(duration.total_seconds()),
        lambda text: print(text, file=sys.stdout),
        make_hosts_client,
        send_explain_request,
    )


CONNECTION_OPTIONS: list[Option] = [
    option("stores", None, "Stores as IP:PORT,IP:PORT.", flag=False),
    option("key-file", None, "File with the shared key.", flag=False),
]
JSON_OPTION = option("json", None, "Write JSON.")
FOLDER_ARGUMENT: Argument = argument("folder", "Folder of YAML declarations.")


class OperatorCommand(Command):
    """Base class of the operators' commands; maps errors to exit codes."""

    dependencies: CommandDependencies

    def run_command(self) -> ExitCode:
        """Run the command and return its exit code.

        Raise InvalidInputError or UnavailableError, which `handle` maps to exit codes.
        """
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command, write any error and return the exit code."""
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

    def connect_configuration_client(self) -> ConfigurationClient:
        """Return a client for the stores given by options or environment.

        Raise InvalidInputError if a setting is missing or invalid.
        """
        return self.dependencies.make_configuration_client(self._read_settings())

    def connect_hosts_client(self) -> HostsClient:
        """Return a client that lists and replaces the replicas of the disk hosts.

        Raise InvalidInputError if a setting is missing or invalid.
        """
        return self.dependencies.make_hosts_client(self._read_settings())

    def get_key_file(self) -> Path | None:
        """Return the file with the shared key, from the option or environment."""
        key_file = self.option("key-file")
        return Path(key_file) if key_file else _read_environment().key_file

    def write_result(self, result: dict[str, Any], lines: list[str]) -> None:
        """Write the result as JSON or as lines of text."""
        if self.option("json"):
            lines = [json.dumps(make_json_value(result), ensure_ascii=False, indent=2)]
        for line in lines:
            self.dependencies.write_line(line)

    def parse_number(self, text: object, option_name: str) -> int:
        """Return the number given for an option; raise InvalidInputError."""
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
        settings = _read_environment()
        stores = _parse_stores(self.option("stores") or settings.stores)
        return ClientSettings(stores, self.get_key_file(), settings.n_shards)


def _read_environment() -> OperatorSettings:
    try:
        return OperatorSettings()
    except ValidationError as error:
        raise InvalidInputError(f"settings are invalid: {error}") from None


def make_json_value(value: Any) -> Any:
    """Return a value converted to the maps, lists and scalars of JSON."""
    return _make_text(msgspec.to_builtins(value, builtin_types=(bytes, timedelta)))


def _make_text(value: Any) -> Any:
    """Return a value with bytes as text and durations as seconds."""
    match value:
        case dict():
            return {key: _make_text(item) for key, item in value.items()}
        case list() | tuple():
            return [_make_text(item) for item in value]
        case bytes():
            return value.decode("utf-8", errors="replace")
        case timedelta():
            return value.total_seconds()
    return value


def _parse_stores(text: str) -> tuple[Store, ...]:
    detail = "none"
    try:
        stores = parse_stores(text)
    except InvalidInputError as error:
        stores, detail = (), str(error)
    if not stores:
        raise InvalidInputError(
            f"expected stores as IP:PORT,IP:PORT or NAME=IP:PORT@DATA_CENTRE, got "
            f"{detail}; use --stores or OLEANDERHITCH_STORES"
        )
    return stores
