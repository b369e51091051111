#!/bin/sh
CASE=3
. "$(dirname "$0")/../common/run.sh"
