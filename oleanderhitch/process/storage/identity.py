"""Store the replica id of a data directory, and lock the directory."""

import fcntl
import json
import os
import uuid
from pathlib import Path

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.storage.disk import Disk
from oleanderhitch.process.storage.exceptions import DirectoryInUseError, StorageError
from oleanderhitch.process.storage.files import (
    SEGMENT_PATTERN,
    get_segment_path,
    sync_directory,
    write_atomically,
)

IDENTITY_FILE = "identity.json"
LOCK_FILE = "lock"


def make_replica_id(node: NodeId) -> ReplicaId:
    """Return a new replica id, different from those of the node's earlier disks."""
    return ReplicaId(f"{node}/{uuid.uuid4().hex[:8]}")


def get_node(replica: ReplicaId) -> NodeId:
    """Return the node that a replica runs on."""
    return NodeId(replica.rpartition("/")[0])


def lock_directory(directory: Path) -> int:
    """Lock the directory and return the lock's descriptor.

    Raise DirectoryInUseError if another process has locked it.
    """
    descriptor = os.open(directory / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise DirectoryInUseError(
            f"data directory {directory} is in use by another process; "
            f"stop that process or choose another directory"
        ) from None
    return descriptor


def load_or_create_identity(directory: Path, node: NodeId, disk: Disk) -> ReplicaId:
    """Return the directory's replica id, and create one for an empty directory.

    A new disk gets a new id. With the old one, the replica could vote again in a term
    in which it voted before the old disk was lost. Raise StorageError if only one of
    identity and log is missing, or if the identity is malformed or of another node.
    """
    path = directory / IDENTITY_FILE
    segments = list(directory.glob(SEGMENT_PATTERN))
    if not path.exists():
        if any(segment.stat().st_size for segment in segments):
            raise StorageError(
                f"{path} is missing but there is a log; "
                f"start with an empty directory and replace this replica from its peers"
            )
        # The first segment is created before the identity, so that an identity without
        # a log means that the log was lost.
        get_segment_path(directory, 1).touch(mode=0o600)
        sync_directory(directory)
        replica = make_replica_id(node)
        text = json.dumps({"node": node, "replica": replica})
        write_atomically(path, text.encode(), disk)
        return replica
    if not segments:
        raise StorageError(
            f"{path} exists but the log is missing; "
            f"start with an empty directory and replace this replica from its peers"
        )
    try:
        identity = json.loads(path.read_text())
        stored_node, replica = identity["node"], ReplicaId(identity["replica"])
    except (ValueError, KeyError, TypeError) as error:
        raise StorageError(f"{path} is malformed: {error}") from None
    if stored_node != node:
        raise StorageError(
            f"data directory {directory} belongs to node {stored_node}, not {node}; "
            f"check the data directory and the node name in the settings"
        )
    return replica
