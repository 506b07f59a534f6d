"""Simulates days of an external bench with a checkout and keeps the reports."""
import concurrent.futures
import hashlib
import json
import os
import subprocess
import tomllib

FAULT_SLOTS = ("trouble", "scale")  # slots of the days that inject faults


class Simulation:
    """One simulated day with one seed on one deployment."""

    def __init__(self, site, day, seed):
        self.site, self.day, self.seed = site, day, seed

    @property
    def key(self):
        return (self.deployment, self.day, self.seed)

    @property
    def deployment(self):
        return os.path.splitext(os.path.basename(self.site))[0]


def days_with_faults(site):
    with open(site, "rb") as file:
        days = tomllib.load(file)["day"]
    return [day["name"] for day in days if day["slot"] in FAULT_SLOTS]


def seeds(text):
    """Parses ranges such as "101-108,200" into a list of numbers."""
    out = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        out += range(int(first), int(last or first) + 1)
    return out


def plays(sites, days, seed_list):
    return [Simulation(site, day, seed) for site in sites
            for day in (days or days_with_faults(site)) for seed in seed_list]


def state_of(checkout):
    """A digest of the sources that a simulation runs, to keep the reports of versions apart."""
    digest = hashlib.sha256()
    for directory in ("src", "platform", "deploy"):
        for root, directories, files in sorted(os.walk(os.path.join(checkout, directory))):
            directories.sort()
            for name in sorted(files):
                digest.update(name.encode())
                with open(os.path.join(root, name), "rb") as file:
                    digest.update(file.read())
    return digest.hexdigest()[:12]


def build(bench, checkout):
    subprocess.run([bench, "build"], cwd=checkout, check=True, stdout=subprocess.DEVNULL)


class Simulator:
    """Simulates days with one checkout. A day whose report exists is not simulated again."""

    def __init__(self, bench, checkout, directory, charge_processor=False, why="paired comparison"):
        self.bench, self.checkout, self.why = bench, checkout, why
        self.charge_processor = charge_processor
        kind = "cpu" if charge_processor else "decisions"
        self.directory = os.path.join(directory, "%s-%s" % (state_of(checkout), kind))
        os.makedirs(self.directory, exist_ok=True)

    def report(self, simulation, log=None):
        """The report of a simulation, or None if it failed to run. With `log`, a pair of the report
        and the log of its processes."""
        path = os.path.join(self.directory, "%s.%s.%s.json" % simulation.key)
        if log is None and os.path.exists(path):
            with open(path) as file:
                return json.load(file)
        command = [self.bench, "run", simulation.site, simulation.day, "--seed",
                   str(simulation.seed), "--report", path + ".new", "--why", self.why]
        command += [] if self.charge_processor else ["--no-cpu"]
        command += ["--log", log] if log else []
        done = subprocess.run(command, cwd=self.checkout, capture_output=True, text=True)
        if not os.path.exists(path + ".new"):
            print("not simulated:", *simulation.key, done.stdout[-300:], done.stderr[-300:])
            return None
        os.replace(path + ".new", path)
        with open(path) as file:
            report = json.load(file)
        return (report, done.stderr) if log else report

    def all(self, simulations, jobs, log=None):
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            return dict(zip([p.key for p in simulations],
                            pool.map(lambda simulation: self.report(simulation, log), simulations)))
