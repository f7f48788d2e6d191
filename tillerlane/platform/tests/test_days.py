"""The project's own days that every hunt plays: valid, and without names of one deployment."""

import pathlib
import tomllib
import unittest

FOLDER = pathlib.Path(__file__).resolve().parents[3] / "deploy" / "days"
NAMED = ("service", "class", "zone", "to_zone")
"""Fields that name a part of a deployment; only the first of its kind, by a placeholder."""
GIVEN = {
    "deadly.toml": 'name = "deadly"\n'
    'faults = [{ at = 5.0, kind = "poison", how = "deadly", class = "bokpost", '
    "share = 0.03, for_s = 20.0 }]\n",
    "rejoined.toml": 'name = "rejoined"\n'
    "length_s = 50.0\n"
    'classes = [{ name = "tilstand", retries = 3 }]\n'
    'plan = [{ at = 6.0, kind = "release", how = "newer", count = 1, '
    'service = "skrivestue" }, { at = 6.1, kind = "release", how = "newer rest", '
    'share = 1.0, x = 60.0, service = "skrivestue" }, { at = 20.0, kind = "release", '
    'how = "newer", count = 1, service = "skrivestue" }, { at = 20.1, kind = "release", '
    'how = "newer rest", share = 1.0, x = 60.0, service = "skrivestue" }, { at = 32.0, '
    'kind = "release", how = "newer", share = 0.5, x = 2.0, gap_s = 0.4, '
    'service = "skrivestue" }]\n'
    'faults = [{ at = 2.0, kind = "burst", class = "tilstand", x = 2.0, for_s = 44.0 }, '
    '{ at = 8.3, kind = "herd_kill", how = "power", share = 1.0, for_s = 2.6 }, '
    '{ at = 23.0, kind = "herd_kill", how = "power", share = 1.0, for_s = 2.2 }, '
    '{ at = 41.0, kind = "herd_kill", how = "power", share = 1.0, for_s = 1.0 }]\n',
}
"""Days kept exactly as the users wrote them: each file is a day instead of a list of days."""


class DaysTest(unittest.TestCase):
    """Each file of the folder."""

    def list_days(self) -> list[tuple[pathlib.Path, dict]]:
        """The project's own files with their day."""
        paths = sorted(path for path in FOLDER.glob("*.toml") if path.name not in GIVEN)
        self.assertGreater(len(paths), 0)
        return [(path, tomllib.loads(path.read_text())["day"]) for path in paths]

    def test_given_days_stay_as_they_were_written(self) -> None:
        for name, text in GIVEN.items():
            self.assertEqual((FOLDER / name).read_text(), text)
            day = tomllib.loads(text)
            self.assertEqual(day["name"], name.removesuffix(".toml"))
            self.assert_entries(name, [*day.get("plan", []), *day.get("faults", [])])

    def test_one_day_a_file_under_the_files_name(self) -> None:
        for path, days in self.list_days():
            self.assertEqual([day["name"] for day in days], [path.stem])
            self.assertIsInstance(days[0]["seed"], int, path.name)

    def test_first_line_says_what_the_day_guards(self) -> None:
        for path, _ in self.list_days():
            first = path.read_text().splitlines()[0]
            self.assertTrue(first.startswith("# "), path.name)
            self.assertGreater(len(first), 40, path.name)

    def test_entries_have_a_time_and_a_kind_and_name_no_deployment(self) -> None:
        for path, days in self.list_days():
            entries = [*days[0].get("plan", []), *days[0].get("faults", [])]
            self.assert_entries(path.name, entries)
            for entry in entries:
                for field in set(entry) & set(NAMED):
                    self.assertIn(entry[field], ("@c0", "@s0", "@z0"), path.name)

    def assert_entries(self, name: str, entries: list[dict]) -> None:
        """Check that there are entries, each with a time and a kind."""
        self.assertGreater(len(entries), 0, name)
        for entry in entries:
            self.assertGreaterEqual(entry["at"], 0, name)
            self.assertIsInstance(entry["kind"], str, name)


if __name__ == "__main__":
    unittest.main()
