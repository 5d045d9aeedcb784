"""Several instances behind one address: their supervisor, and how its listeners pass to another one."""
