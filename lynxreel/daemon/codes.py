"""Exit codes, after sysexits.h."""

import errno

OK, USAGE, ADDRESS_TAKEN, INNER_FAULT, PLACE_TAKEN, BAD_CONFIG = 0, 64, 69, 70, 75, 78
ADDRESS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)  # what ADDRESS_TAKEN stands for
