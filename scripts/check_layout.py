"""Checks the layout: libraries include only lower ones, through their public
header; files stay small and have a head comment."""

import pathlib
import re
import sys

# Lower libraries first. A library includes only libraries before it.
LIBRARIES = ["base", "metrics", "routing", "admission", "gateway", "platform",
             "relay", "config", "membership", "placement", "fairness",
             "capacity", "dispatch", "router", "storage", "transport", "tasks",
             "apps"]
# Internal headers that others may include, with the reason.
EXCEPTIONS = {
    "transport/socket_address.h": "flags are validated before sockets open",
    "relay/socket_options.h": "flags are validated before sockets open",
    "tasks/operator_service.h": "papayaplankctl calls the operator port",
}
MAX_LINES = 560


def includes(path):
    return re.findall(r'^#include "([^"]+)"', path.read_text(), re.M)


def check_file(path, faults):
    library = path.parts[0]
    text = path.read_text()
    if not text.startswith("// "):
        faults.append(f"{path}: no head comment")
    if text.count("\n") > MAX_LINES:
        faults.append(f"{path}: more than {MAX_LINES} lines")
    for include in includes(path):
        other = include.split("/")[0]
        if other == library or other not in LIBRARIES:
            continue
        if library in LIBRARIES and \
                LIBRARIES.index(other) > LIBRARIES.index(library):
            faults.append(f"{path}: includes the higher library {other}")
        if include != f"{other}/{other}.h" and include not in EXCEPTIONS \
                and library != "apps" and library != "tests":
            faults.append(f"{path}: includes {include}, not the public header "
                          f"of {other}")


def check_documented(path, faults):
    """Finds types of a header without a comment above. Not called yet."""
    lines = path.read_text().splitlines()
    for i, line in enumerate(lines):
        if not re.match(r"(class|struct|enum class) \w+.*[{:]", line):
            continue
        above = lines[i - 1]
        if above.startswith("template"):
            above = lines[i - 2]
        if not above.startswith("//") and not re.match(r"^$", above) is None:
            faults.append(f"{path}:{i + 1}: type without a comment")


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    faults = []
    for folder in LIBRARIES + ["standins", "tests", "bench"]:
        for path in sorted((root / folder).rglob("*")):
            if path.suffix in (".h", ".cpp"):
                check_file(path.relative_to(root), faults)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
