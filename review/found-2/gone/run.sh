#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the script could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../../.." || exit 2
exec target/review-2/found-gone "$folder"
