"""Load the message types that `protocol.thrift` defines."""

from pathlib import Path

import thriftpy2

messages = thriftpy2.load(
    str(Path(__file__).with_name("protocol.thrift")), module_name="acaciarill_thrift"
)
