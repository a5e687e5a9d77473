"""Start one acaciarill process on the operating platform of the users."""

from acaciarill.platform import main

if __name__ == "__main__":
    main()
