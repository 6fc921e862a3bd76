import unittest

from basilwind.entry.configuration import ConfigurationWatcher
from basilwind.scheduling.fleet import Configuration, Customer, RequestLimits, Resources

LIMITS = RequestLimits(16384, 262144, 3.0, 15.0)


class TestFindCustomer(unittest.TestCase):
    def test_removed_customer_is_still_found(self):
        # Its accepted jobs would otherwise lose their weight and their quota.
        watcher = ConfigurationWatcher(None, lambda: 0.0, lambda: None)
        first = Customer("a", 2.0, Resources(1000))
        newer = Customer("a", 3.0, Resources(1000))
        self.assertIsNone(watcher.find_customer("a"))
        for version, customers in enumerate(({"a": first}, {"a": newer}, {}, None)):
            configuration = Configuration(version, {}, {}, LIMITS, customers)
            watcher._apply_configuration(configuration, False)
        self.assertEqual(watcher.find_customer("a"), newer)
