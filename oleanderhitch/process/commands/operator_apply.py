"""Publish a folder of declarations and wait until it is in force."""

import getpass
import uuid
from datetime import timedelta
from functools import singledispatchmethod
from pathlib import Path
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.commands.operator_base import (
    CONNECTION_OPTIONS,
    FOLDER_ARGUMENT,
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)
from oleanderhitch.process.commands.operator_client import ConfigurationClient
from oleanderhitch.process.commands.operator_folder import (
    find_changes,
    find_pending_publish,
    read_base_version,
    read_valid_drafts,
    remove_pending_publish,
    write_base_version,
    write_pending_publish,
)
from oleanderhitch.process.configuration.messages import (
    Publish,
    PublishConflict,
    Published,
    PublishIdReused,
    PublishRefused,
    PublishResult,
)
from oleanderhitch.version.exceptions import InvalidConfigurationError
from oleanderhitch.version.ids import NO_VERSION, ConfigurationVersion, PublishId

RESEND_INTERVAL = timedelta(milliseconds=500)
STATUS_POLL_INTERVAL = timedelta(milliseconds=100)


class ApplyCommand(OperatorCommand):
    """Publishes the changes of a folder.

    The publish is written to the folder before it is sent, so that a resend after a
    crash of this command carries the same publish id and content.
    """

    name = "apply"
    description = "Publish a folder and wait until it is in force."
    arguments: ClassVar[list[Argument]] = [FOLDER_ARGUMENT]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        *CONNECTION_OPTIONS,
        option("base", None, "Version that the files are based on.", flag=False),
        option("author", None, "Who publishes.", flag=False),
        option("timeout", None, "Seconds to resend for.", flag=False, default="10"),
        option("wait", None, "Seconds to wait for in force.", flag=False, default="10"),
        option("no-wait", None, "Return once the version is accepted."),
    ]

    def run_command(self) -> ExitCode:
        """Resend the folder's pending publish, or publish its changes."""
        folder = Path(self.argument("folder"))
        client = self.connect_configuration_client()
        publish = find_pending_publish(folder)
        if publish is None:
            publish = self._make_publish(folder, client)
            if publish is None:
                self.write_result({"changes": []}, ["no changes"])
                return ExitCode.OK
            write_pending_publish(folder, publish)
        result = self._send_until_reply(client, publish)
        remove_pending_publish(folder)
        return self._report_result(result, folder, client)

    def _make_publish(
        self, folder: Path, client: ConfigurationClient
    ) -> Publish | None:
        drafts = read_valid_drafts(folder)
        base = read_base_version(folder)
        if self.option("base") is not None:
            base = ConfigurationVersion(
                self.parse_number(self.option("base"), "--base")
            )
        accepted = client.get_configuration(NO_VERSION)
        changed, removed = find_changes(drafts, accepted)
        if accepted.version == base and not changed and not removed:
            return None
        return Publish(
            PublishId(uuid.uuid4().hex),
            self.option("author") or getpass.getuser(),
            base,
            changed,
            removed,
            self.dependencies.clock.now(),
        )

    def _send_until_reply(
        self, client: ConfigurationClient, publish: Publish
    ) -> PublishResult:
        clock = self.dependencies.clock
        timeout_s = self.parse_number(self.option("timeout"), "--timeout")
        deadline = clock.now() + timedelta(seconds=timeout_s)
        while True:
            try:
                return client.publish(publish)
            except UnavailableError as error:
                if clock.now() >= deadline:
                    raise UnavailableError(
                        f"no answer to publish {publish.publish}: {error}; it may have "
                        "been accepted, run the same command again to learn it"
                    ) from None
            self.dependencies.sleep(RESEND_INTERVAL)

    @singledispatchmethod
    def _report_result(
        self, result: object, folder: Path, client: ConfigurationClient
    ) -> ExitCode:
        raise TypeError(f"apply does not support message type {type(result).__name__}")

    @_report_result.register
    def _(
        self, result: Published, folder: Path, client: ConfigurationClient
    ) -> ExitCode:
        write_base_version(folder, result.version)
        if self.option("no-wait"):
            is_in_force = None
        else:
            is_in_force = self._wait_until_in_force(client, result.version)
        output = {
            "publish": result.publish,
            "accepted_version": result.version,
            "is_in_force": is_in_force,
        }
        suffix = {True: ", in force", False: ", not yet in force", None: ""}[
            is_in_force
        ]
        self.write_result(output, [f"version {result.version} is accepted{suffix}"])
        return ExitCode.NOT_IN_FORCE if is_in_force is False else ExitCode.OK

    @_report_result.register
    def _(
        self, result: PublishConflict, folder: Path, client: ConfigurationClient
    ) -> ExitCode:
        lines = [
            f"conflict: the files are based on version {result.base_version}, accepted "
            f"is {result.accepted_version}; nothing was changed"
        ]
        for record in result.records:
            lines.append(f"version {record.version} by {record.author}:")
            lines.extend(f"  {change}" for change in record.changes)
        lines.append("your files would change in the accepted version:")
        lines.extend(f"  {change}" for change in result.difference)
        lines.append(
            "take over the accepted changes, then apply with "
            f"--base {result.accepted_version}"
        )
        self.write_result({"conflict": result}, lines)
        return ExitCode.CONFLICT

    @_report_result.register
    def _(
        self, result: PublishRefused, folder: Path, client: ConfigurationClient
    ) -> ExitCode:
        raise InvalidConfigurationError(result.faults)

    @_report_result.register
    def _(
        self, result: PublishIdReused, folder: Path, client: ConfigurationClient
    ) -> ExitCode:
        text = f"publish id {result.publish} belongs to another publish; apply again"
        self.write_result({"error": text}, [text])
        return ExitCode.ERROR

    def _wait_until_in_force(
        self, client: ConfigurationClient, version: ConfigurationVersion
    ) -> bool:
        clock = self.dependencies.clock
        timeout_s = self.parse_number(self.option("wait"), "--wait")
        deadline = clock.now() + timedelta(seconds=timeout_s)
        while True:
            try:
                in_force = client.get_status().in_force_version
            except UnavailableError:
                # A leader change only delays the status of the accepted version.
                in_force = None
            if in_force is not None and in_force >= version:
                return True
            if clock.now() >= deadline:
                return False
            self.dependencies.sleep(STATUS_POLL_INTERVAL)
