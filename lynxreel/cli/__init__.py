"""The command line. Each command imports what it needs when it runs, so that none pays for the others."""
