"""Derives a deployment of another shape from a site file, to simulate days on deployments that no
site file describes:

    bench/days/shape.py SITE FOLDER three|single|tight

three: three control hosts, one of which may be lost. single: models of one host each.
tight: half of the entry hosts' memory and descriptors."""
import os
import shutil
import sys
import tomllib

from kinds import toml


def three(site):
    for machine in site["machines"]:
        if machine["class"] == "core":
            machine["count"] = 1
    site["tolerate"]["machines"] = 1


def single(site):
    for model in site["models"]:
        model["size"] = 1


def tight(site):
    for machine in site["machines"]:
        if machine["class"] == "front":
            machine["memory_mb"] //= 2
            machine["fds"] //= 2


SHAPES = {"three": three, "single": single, "tight": tight}


def dump(site):
    lines = ["%s = %s" % (k, toml(v)) for k, v in site.items() if k != "day"]
    for day in site["day"]:
        lines += ["", "[[day]]"] + ["%s = %s" % (k, toml(v)) for k, v in day.items()]
    return "\n".join(lines) + "\n"


def main():
    source, directory, shape = sys.argv[1:4]
    with open(source, "rb") as file:
        site = tomllib.load(file)
    SHAPES[shape](site)
    site["name"] += "-" + shape
    os.makedirs(directory, exist_ok=True)
    shutil.copy(os.path.join(os.path.dirname(source), site["wire"]), directory)
    with open(os.path.join(directory, site["name"] + ".toml"), "w") as out:
        out.write(dump(site))


if __name__ == "__main__":
    main()
