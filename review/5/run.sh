#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." && exec "target/review/$(basename "$folder")" "$folder"
