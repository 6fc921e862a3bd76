#!/usr/bin/env bash
# Generates basilwind/settings/generated from basilwind/settings/schema.
# Requires datamodel-code-generator, which is not a dependency of the build.
set -eu
cd "$(dirname "$0")/.."
PYTHON=${PYTHON:-.venv/bin/python}
mkdir -p basilwind/settings/generated
for name in daemon fleet load team; do
    "$PYTHON" -m datamodel_code_generator \
        --input "basilwind/settings/schema/$name.json" \
        --input-file-type jsonschema \
        --output-model-type msgspec.Struct \
        --output "basilwind/settings/generated/$name.py" \
        --use-schema-description --use-field-description \
        --disable-timestamp --target-python-version 3.11 \
        --use-annotated --field-constraints --use-double-quotes \
        --base-class basilwind.settings.base.StrictStruct --formatters ruff-format
done
sed -i -E ':a;N;$!ba;s/\n    \| UnsetType//g;s/ \| UnsetType//g' basilwind/settings/generated/*.py
sed -i -E 's/, UnsetType//;s/UnsetType, //' basilwind/settings/generated/*.py
"$PYTHON" -m ruff format -q basilwind/settings/generated
"$PYTHON" -m ruff check -q --select I,F401 --fix basilwind/settings/generated
