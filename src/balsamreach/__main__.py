"""Entry point of ``python -m balsamreach``."""

from balsamreach.ui.main import main

main(prog_name='balsamreach')
