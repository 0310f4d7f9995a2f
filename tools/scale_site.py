#!/usr/bin/env python3
"""Writes a copy of a bench site file with more machines, jobs, team limits and outside rates.

    tools/scale_site.py SITE FACTOR OUT

What is multiplied: the cloud's capacity, the jobs at the start and their arrivals, the teams'
guarantees and limits, the rates of the state service and of the cloud, and the controllers'
sockets, since each worker holds one. Zones, controllers, processor shares, memory, sizes of values
and all times stay. OUT has to lie outside the repository.
"""

import re
import sys

# The entries that grow with the size, by table.
SCALED = {
    "capacity": ("count", "spot"),
    "teams": ("cpus", "cpus_max", "gpus", "gpus_max"),
    "jobs": ("initial",),
    "state": ("rps", "write_rps"),
    "cloud": ("rps",),
    "nodes": ("max_connections",),
}
TABLE = re.compile(r"^\[+([a-z_.]+)\]+")
ENTRY = re.compile(r"^([a-z_]+) = ([0-9.]+)$")
ARRIVALS = re.compile(r"(rate = )([0-9.]+)")


def scaled(text, factor):
    """The number in the text times the factor; whole numbers stay whole."""
    if "." in text:
        return repr(float(text) * factor)
    return str(round(int(text) * factor))


def scale_line(table, line, factor):
    """A line of the site file at the new size."""
    entry = ENTRY.match(line)
    if entry and entry.group(1) in SCALED.get(table, ()):
        return f"{entry.group(1)} = {scaled(entry.group(2), factor)}"
    if table == "jobs" and line.startswith("arrivals"):
        return ARRIVALS.sub(lambda it: it.group(1) + scaled(it.group(2), factor), line)
    if table == "" and line.startswith("name = "):
        return f'{line[:-1]}-x{factor:g}"'
    return line


def main(site, factor, out):
    """Copies the site file line by line."""
    table = ""
    lines = []
    with open(site, encoding="utf-8") as source:
        for line in source.read().splitlines():
            header = TABLE.match(line)
            if header:
                table = header.group(1)
            lines.append(scale_line(table, line, factor))
    with open(out, "w", encoding="utf-8") as target:
        target.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    main(sys.argv[1], float(sys.argv[2]), sys.argv[3])
