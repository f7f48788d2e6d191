"""Operators' orders on targets and data halls, sent from the command line to real processes."""

import json
import time
import unittest

from tillerlane.testing import fleet_scenes

READER_KEY = fleet_scenes.READER_KEY


class OrdersTest(fleet_scenes.FleetCase):
    """Two runners in two data halls."""

    def test_drain_and_undrain(self) -> None:
        status, output = self.run_cli("runner", "drain", "r-1")
        self.assertEqual(status, 0, output)
        while "leaving" not in self.run_cli("runner", "list")[1]:
            time.sleep(0.1)
        for _ in range(5):
            response = self.post("/v1/completions", {"model": "record", "prompt": "x"})
            self.assertTrue(response.json()["id"].startswith("r-2~"), response.text)
        self.assertEqual(self.run_cli("runner", "undrain", "r-1")[0], 0)
        self.assertEqual(self.run_cli("runner", "drain", "nothing")[0], 14)

    def test_evacuate_and_end_evacuation(self) -> None:
        status, output = self.run_cli("runner", "list", "--json")
        halls = {item["target"]: item["data_hall"] for item in json.loads(output)}
        hall = halls["r-1"]
        self.assertNotEqual(hall, halls["r-2"])
        for _ in range(2):
            status, output = self.run_cli("evacuate", "start", hall)
            self.assertEqual(status, 0, output)
        self.assertIn(hall, self.run_cli("evacuate", "list")[1])
        time.sleep(0.5)
        for _ in range(8):
            response = self.post("/v1/completions", {"model": "record", "prompt": "x"})
            self.assertTrue(response.json()["id"].startswith("r-2~"), response.text)
        self.assertEqual(self.run_cli("evacuate", "end", hall)[0], 0)
        self.assertNotIn(hall, self.run_cli("evacuate", "list")[1])
        self.assertEqual(self.run_cli("evacuate", "start", "nowhere")[0], 14)
        self.assertEqual(self.run_cli("evacuate", "start", hall, key=READER_KEY)[0], 13)
        self.assertIn(f"evacuate {hall}", self.run_cli("config", "history")[1])


if __name__ == "__main__":
    unittest.main()
