"""The hash function for names.

It is imported without `hashlib`, which loads OpenSSL: over 3 MB of a process's memory.
"""

try:
    from _blake2 import blake2b
except ImportError:  # another interpreter than CPython, or another version of it
    from hashlib import blake2b

__all__ = ["blake2b"]
