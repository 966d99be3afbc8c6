"""Run the command line by ``python -m balsamreach``."""

from balsamreach.ui.main import main

main(prog_name='balsamreach')
