"""Test which ranges of ports a fleet of daemons can take."""

import socket
import unittest
from unittest import mock

from tests.fakes import fleet

FIRST_PORT = 31_600


class PortRangeTest(unittest.TestCase):
    """Use a port of the only range that there is."""

    def setUp(self) -> None:
        ports = (FIRST_PORT, FIRST_PORT + 12)
        self.enterContext(mock.patch.object(fleet, "LISTEN_PORT_RANGE", ports))
        self.enterContext(mock.patch.object(fleet, "PORTS_PER_FLEET", 10))
        self.listener = socket.create_server(("127.0.0.1", FIRST_PORT + 1))
        self.addCleanup(self.listener.close)

    def test_range_of_a_fleet_that_has_just_stopped_can_be_taken(self) -> None:
        # Its closed connections stay for a minute, in which the range could not be taken again.
        with socket.create_connection(self.listener.getsockname()) as client:
            self.listener.accept()[0].close()
            client.recv(1)
        self.listener.close()
        base_port, reservation = fleet.reserve_ports(10)
        reservation.close()
        self.assertEqual(base_port, FIRST_PORT)

    def test_range_with_a_listening_port_is_not_taken(self) -> None:
        with self.assertRaises(RuntimeError):
            fleet.reserve_ports(10)
