"""etcd v3: its protobuf messages, a small client, and a list-then-watch state machine."""
