"""The control service: our placement choices handed to other people's proxies through xDS."""
