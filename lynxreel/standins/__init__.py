"""Stand-ins for all that a gateway talks to, after its protocol, with faults that a script switches on."""
