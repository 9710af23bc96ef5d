"""Runs the command line as ``python -m catkincrank``."""

from catkincrank.cmdline import main

if __name__ == '__main__':
    main()
