"""Define the names that declarations may use."""

from pydantic import StringConstraints

# Names stand in headers, file names and pool ids, where @, / and blanks
# separate parts.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"

Name = StringConstraints(pattern=NAME_PATTERN)
