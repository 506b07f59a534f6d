"""Days of the users' bench, played on a checkout and kept as reports, for the programs beside this one."""
import concurrent.futures
import hashlib
import json
import os
import subprocess
import tomllib

TROUBLED = ("trouble", "scale")  # slots of the days with trouble


class Play:
    """One day with one seed on one deployment."""

    def __init__(self, site, day, seed):
        self.site, self.day, self.seed = site, day, seed

    @property
    def key(self):
        return (self.deployment, self.day, self.seed)

    @property
    def deployment(self):
        return os.path.splitext(os.path.basename(self.site))[0]


def days_with_trouble(site):
    with open(site, "rb") as file:
        days = tomllib.load(file)["day"]
    return [day["name"] for day in days if day["slot"] in TROUBLED]


def seeds(text):
    """"101-108,200" as a list of numbers."""
    out = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        out += range(int(first), int(last or first) + 1)
    return out


def plays(sites, days, seed_list):
    return [Play(site, day, seed) for site in sites for day in (days or days_with_trouble(site))
            for seed in seed_list]


def state_of(checkout):
    """Names the sources that a play runs, so that kept reports are never taken for another code's."""
    digest = hashlib.sha256()
    for folder in ("src", "platform", "deploy"):
        for root, folders, files in sorted(os.walk(os.path.join(checkout, folder))):
            folders.sort()
            for name in sorted(files):
                digest.update(name.encode())
                with open(os.path.join(root, name), "rb") as file:
                    digest.update(file.read())
    return digest.hexdigest()[:12]


def build(bench, checkout):
    subprocess.run([bench, "build"], cwd=checkout, check=True, stdout=subprocess.DEVNULL)


class Player:
    """Plays days on one checkout; a report that is there already is not played again."""

    def __init__(self, bench, checkout, folder, charge_processor=False, why="paired comparison"):
        self.bench, self.checkout, self.why = bench, checkout, why
        self.charge_processor = charge_processor
        kind = "cpu" if charge_processor else "decisions"
        self.folder = os.path.join(folder, "%s-%s" % (state_of(checkout), kind))
        os.makedirs(self.folder, exist_ok=True)

    def report(self, play, log=None):
        """The report of a play, or None where it could not be played; with `log`, what its processes logged too."""
        path = os.path.join(self.folder, "%s.%s.%s.json" % play.key)
        if log is None and os.path.exists(path):
            with open(path) as file:
                return json.load(file)
        command = [self.bench, "run", play.site, play.day, "--seed", str(play.seed), "--report",
                   path + ".new", "--why", self.why]
        command += [] if self.charge_processor else ["--no-cpu"]
        command += ["--log", log] if log else []
        done = subprocess.run(command, cwd=self.checkout, capture_output=True, text=True)
        if not os.path.exists(path + ".new"):
            print("not played:", *play.key, done.stdout[-300:], done.stderr[-300:])
            return None
        os.replace(path + ".new", path)
        with open(path) as file:
            report = json.load(file)
        return (report, done.stderr) if log else report

    def all(self, wanted, jobs, log=None):
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            return dict(zip([p.key for p in wanted],
                            pool.map(lambda play: self.report(play, log), wanted)))
