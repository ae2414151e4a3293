"""Entry point of the daemon."""

import click


@click.command()
@click.option("--settings", required=True, type=click.Path(dir_okay=False))
def main(settings: str) -> None:
    """Run a daemon in the role that its settings name."""
    raise click.ClickException(f"no role is implemented yet ({settings})")
