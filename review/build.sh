#!/usr/bin/env bash
# Builds the stand-ins of the cases with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -Xlint:all -d review/target/classes review/standins/*.java
