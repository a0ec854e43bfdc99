#!/bin/sh
# Lays the bench's files that have to stand beside a site file, from the kit at hand.
# Usage: deploy/sites/lay.sh KIT_FOLDER, where KIT_FOLDER holds real.json, wire.json and unlock.txt.
set -eu
source_folder=${1:?usage: deploy/sites/lay.sh KIT_FOLDER}
here=$(cd "$(dirname "$0")" && pwd)
for name in real.json wire.json unlock.txt; do
    if [ ! -f "$source_folder/$name" ]; then
        echo "lay.sh: $source_folder has no $name" >&2
        exit 1
    fi
    cp "$source_folder/$name" "$here/$name"
    chmod u+w "$here/$name"
done
