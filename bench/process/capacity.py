"""Rewrites the tables of ``docs/CAPACITY.md`` from ``docs/slopes.json`` and the target size.

``python -m bench.process.capacity --check`` prints them and fails if the page differs.
"""

import click

from ._capacity_page import PAGE, fill, tables
from ._target import Slopes


@click.command()
@click.option("--check", is_flag=True, help="Print the tables; fail if the page differs.")
def main(check: bool) -> None:
    """Write the page, or check it."""
    contents = tables(Slopes())
    page = PAGE.read_text(encoding="utf-8")
    filled_page = fill(page, contents)
    if not check:
        PAGE.write_text(filled_page, encoding="utf-8")
        return
    for name, table in contents.items():
        click.echo(f"{name}\n\n{table}\n")
    if page != filled_page:
        raise click.ClickException("docs/CAPACITY.md differs; run python -m bench.process.capacity")


if __name__ == "__main__":
    main()
