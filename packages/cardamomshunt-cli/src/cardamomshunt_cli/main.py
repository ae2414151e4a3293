"""Entry point of the operator command line."""

import click


@click.group()
def main() -> None:
    """Steer and inspect a cardamomshunt deployment."""
