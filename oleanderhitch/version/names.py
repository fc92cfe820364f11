"""Define the names that configuration documents may declare."""

from pydantic import StringConstraints

# Names are used in headers, file names and pool ids, where '@', '/' and whitespace are
# separators.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"

Name = StringConstraints(pattern=NAME_PATTERN)
