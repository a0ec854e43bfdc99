"""Which balancers of one service live: a core without I/O, the count that the guards go by, and the calls between peers."""
