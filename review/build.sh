#!/bin/sh
# The stand-ins of the cases are Python programs of the standard library: nothing is compiled. This
# checks that they can be read and that the daemon of deploy/system.toml has been built.
set -e
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x target/bin/fulmarpoint-platformd
