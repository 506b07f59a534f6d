"""Runs the formatter and the linters, and checks the project's own rules: sizes of files, of the
soaks and of the adapter, generated pages and the table of metrics."""
import concurrent.futures
import glob
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build", "release")
MAX_FILE_LINES = 600
# Matches the names of metrics in the sources.
METRIC = re.compile(r'"((?:liftweir_[a-z_]+?|process_[a-z_]+_(?:total|bytes)))(?=[" {])')


def sources(*patterns):
    out = []
    for pattern in patterns:
        out += glob.glob(os.path.join(ROOT, pattern), recursive=True)
    return sorted(out)


def lines(files):
    return sum(len(open(name, encoding="utf-8").readlines()) for name in files)


def run(args):
    done = subprocess.run(args, cwd=ROOT, capture_output=True, text=True)
    return done.returncode, done.stdout + done.stderr


def tidy(name):
    code, text = run(["clang-tidy", "--quiet", "-p", BUILD, name])
    return name, code, text


def main():
    failures = []
    code_files = sources("src/**/*.cpp", "src/**/*.h", "platform/*.cpp", "platform/*.h")
    test_files = sources("tests/**/*.cpp", "tests/**/*.h", "tests/**/*.py")
    code, text = run(["clang-format", "--dry-run", "-Werror"] +
                     [f for f in code_files + test_files if not f.endswith(".py")])
    if code:
        failures.append("clang-format:\n" + text[:4000])
    tidied = [f for f in code_files if f.endswith(".cpp") and not f.endswith("rpcclient.cpp")]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for name, code, text in pool.map(tidy, tidied):
            if code:
                failures.append("clang-tidy %s:\n%s" % (os.path.relpath(name, ROOT), text[:3000]))
    code, text = run(["cppcheck", "--quiet", "--std=c++20", "--language=c++", "--inline-suppr",
                      "--enable=warning,performance,portability", "--error-exitcode=1",
                      "--suppress=missingIncludeSystem", "--suppress=unknownMacro",
                      "--suppress=passedByValue", "-j", str(os.cpu_count()), "-Isrc", "-I.", "src", "platform"])
    if code:
        failures.append("cppcheck:\n" + text[:4000])
    for name in code_files + test_files:
        count = len(open(name, encoding="utf-8").readlines())
        if count > MAX_FILE_LINES:
            failures.append("%s has %d lines; at most %d" % (os.path.relpath(name, ROOT), count,
                                                             MAX_FILE_LINES))
    code, text = run([os.path.join(BUILD, "liftweirctl"), "keys"])
    page = os.path.join(ROOT, "docs", "SETTINGS.md")
    if code or not os.path.exists(page) or open(page, encoding="utf-8").read() != text:
        failures.append("docs/SETTINGS.md differs from the output of `liftweirctl keys`")
    code, text = run([os.path.join(BUILD, "liftweirctl"), "metrics"])
    page = os.path.join(ROOT, "docs", "METRICS.md")
    if code or not os.path.exists(page) or open(page, encoding="utf-8").read() != text:
        failures.append("docs/METRICS.md differs from the output of `liftweirctl metrics`")
    used = {name for file in code_files if "metricnames" not in file
            for name in METRIC.findall(open(file, encoding="utf-8").read())}
    listed = set(re.findall(r"^\| `(\w+)`", text, re.M))
    failures += ["metric %s is not listed by liftweirctl" % name for name in sorted(used - listed)]
    failures += ["metric %s is listed by liftweirctl and not used" % name
                 for name in sorted(listed - used)]
    src, tests = lines(code_files), lines(test_files)
    share = tests / (src + tests)
    print("lines: src %d, tests %d; tests are %.0f %% of all code" % (src, tests, 100 * share))
    # Tests have no limit of size, but the soaks may have at most a tenth of the lines of the code.
    soak = lines(sources("tests/**/soak*.py"))
    if soak > src / 10:
        failures.append("the soaks have %d lines, more than a tenth of the code" % soak)
    # The adapter in platform/ only translates, which bounds its size.
    adapter = lines(sources("platform/*"))
    if adapter > src / 4:
        failures.append("platform/ has %d lines, more than a quarter of the code" % adapter)
    for failure in failures:
        print(failure)
    print("lint: %s" % ("%d failures" % len(failures) if failures else "clean"))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
