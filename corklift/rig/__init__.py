"""Real processes of the program, links with faults between them, and a checker over what all of them tell."""
