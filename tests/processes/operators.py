"""Publish declarations and replace hosts as an operator does."""

import os
import shutil
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path

import gevent

from oleanderhitch.process.commands.operator_client import ClientSettings
from oleanderhitch.process.commands.operator_folder import find_changes
from oleanderhitch.process.configuration.files import read_folder
from oleanderhitch.process.configuration.messages import Publish, Published
from oleanderhitch.process.groups.placement import parse_stores
from oleanderhitch.process.operators.network import (
    make_configuration_client,
    make_hosts_client,
)
from oleanderhitch.process.replication.states import ChangeOutcome
from oleanderhitch.version.ids import NO_VERSION

DEMO_FOLDER = Path(__file__).parents[2] / "examples" / "demo"
SPARE_STORES = ",store-4=127.0.0.1:27204@split-a,store-5=127.0.0.1:27205@zadar-b"


class Operator:
    """Edits and publishes the declarations of a deployment and replaces hosts."""

    def __init__(self, work_dir):
        self.folder = Path(work_dir) / "test-declarations"
        if not self.folder.exists():
            shutil.copytree(DEMO_FOLDER, self.folder)
        self.settings = ClientSettings(
            parse_stores(os.environ["OLEANDERHITCH_STORES"] + SPARE_STORES),
            Path(os.environ["OLEANDERHITCH_KEY_FILE"]),
        )
        self.client = make_configuration_client(self.settings)

    def edit(self, name, old, new):
        """Replace a text in a declaration, which must contain it."""
        path = self.folder / f"{name}.yaml"
        text = path.read_text()
        assert old in text, f"{name}.yaml does not contain {old!r}"
        path.write_text(text.replace(old, new))

    def publish(self):
        """Publish the folder; return the version and the time of its acceptance."""
        accepted = self.client.get_configuration(NO_VERSION)
        changed, removed = find_changes(read_folder(self.folder), accepted)
        publish = Publish(
            uuid.uuid4().hex,
            "test",
            accepted.version,
            changed,
            removed,
            datetime.now(UTC),
        )
        result = self.client.publish(publish)
        assert isinstance(result, Published), result
        return result.version, time.monotonic()

    def wait_in_force(self, version, accepted_at, timeout_s):
        """Return the seconds from acceptance of a version until it is in force."""
        while True:
            status = self.client.get_status()
            elapsed_s = time.monotonic() - accepted_at
            in_force = status.in_force_version
            if in_force is not None and in_force >= version:
                return elapsed_s
            assert elapsed_s <= timeout_s, (
                f"version {version} is not in force after {elapsed_s:.1f} s: {status}"
            )
            gevent.sleep(0.01)

    def is_store_up(self, name):
        """Return whether the store of a disk host replies."""
        identities = make_hosts_client(self.settings).list_identities()
        return any(
            identity is not None and identity.node == name
            for identity in identities.values()
        )

    def replace(self, lost, replacement):
        """Move the replicas of a lost host; fail unless each group completes it."""
        replies = dict(make_hosts_client(self.settings).replace_host(lost, replacement))
        assert replies, f"no group had a replica on {lost}"
        for group, reply in replies.items():
            assert reply.outcome is ChangeOutcome.COMPLETED, (group, reply)
