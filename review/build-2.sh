#!/usr/bin/env bash
# The stand-ins of the second review's scripts use the standard library alone: nothing
# is compiled. This checks that they can be read by the Python that starts them.
set -eu
cd "$(dirname "$0")"
for file in [6-9]/*.py 10/*.py [6-9]/stand_ins/*.py 10/stand_ins/*.py; do
    [ -e "$file" ] || continue
    PYTHONDONTWRITEBYTECODE=1 python3 -c \
        'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
