"""Sources of the list of boxes: the discovery service, a file, and etcd."""
