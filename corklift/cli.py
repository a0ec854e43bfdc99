"""The command line. Each command's program is imported when it is asked for, and no sooner.

Owns the words and options. Must never be imported by `python -m corklift` alone: that starts the balancer, at 32 MB.
"""

from __future__ import annotations

import sys

import click


class _Address(click.ParamType):
    name = "IPv4:PORT"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> tuple[str, int]:
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdecimal() or int(port) > 65535:
            self.fail(f"{value!r} is no address and port", param, ctx)
        return host, int(port)


@click.group(help="A balancer for long-lived connections, and the services round it.")
@click.version_option(package_name=None, version="0.2.0", prog_name="corklift")
def main() -> None:
    pass


@main.command(help="The balancer, configured by BALANCER_CONFIG; the same as no command.")
def run() -> None:
    from corklift.__main__ import balance
    sys.exit(balance())


@main.group(invoke_without_command=True, help="The control service: placement choices for proxies, through xDS.")
@click.option("--config", type=click.Path(dir_okay=False), help="TOML; see docs/operate/control.md.")
@click.option("--check", is_flag=True, help="Only read the configuration and say whether it holds.")
@click.pass_context
def control(context: click.Context, config: str | None, check: bool) -> None:
    if context.invoked_subcommand is not None:
        return
    if config is None:
        raise click.UsageError("--config is missing")
    if check:
        from corklift.control.config import BadConfig, read
        try:
            given = read(config)
        except BadConfig as problem:
            raise click.ClickException(str(problem)) from None
        click.echo(f"{config}: {len(given.workloads)} workloads, {len(given.doors)} listeners")
        return
    from corklift.control.program import main as serve
    sys.exit(serve(config))


@control.command(help="Which proxy has which view, from a running control service (CSDS).")
@click.option("--address", type=_Address(), default="127.0.0.1:18000", show_default=True)
@click.option("--node", default="", help="Only proxies whose id contains this.")
@click.option("--json", "as_json", is_flag=True)
def status(address: tuple[str, int], node: str, as_json: bool) -> None:
    from corklift.control.status import main as tell
    sys.exit(tell(address, node, as_json))
