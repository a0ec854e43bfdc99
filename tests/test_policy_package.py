"""The package `corklift.policy`: what its modules import, and the files that must name them all."""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODULES = sorted((ROOT / "corklift/policy").rglob("*.py"))
# No clock, file, socket or thread, and of the project only the types that both sides exchange.
ALLOWED = {
    "__future__",
    "collections.abc",
    "itertools",
    "math",
    "random",
    "typing",
    "corklift.interface",
    "corklift.records",
} | {"corklift.policy." + path.stem for path in MODULES}


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield "." * node.level + (node.module or "")


def test_the_decisions_import_nothing_that_does_io_and_nothing_else_of_the_project():
    imported = {(path.name, name) for path in MODULES for name in imported_modules(path)}
    assert len(imported) > len(MODULES)
    assert {pair for pair in imported if pair[1] not in ALLOWED} == set()


def test_the_deploy_file_names_every_module_of_the_decisions():
    deployment = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
    assert deployment["policy"] == [path.relative_to(ROOT).as_posix() for path in MODULES]


def test_an_installation_has_every_package():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    packages = sorted(
        path.parent.relative_to(ROOT).as_posix().replace("/", ".")
        for path in (ROOT / "corklift").rglob("__init__.py")
    )
    assert sorted(project["tool"]["setuptools"]["packages"]) == packages
