"""Start one process of acaciarill on the users' platform."""

from acaciarill.platform import main

if __name__ == "__main__":
    main()
