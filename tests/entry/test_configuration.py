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
        for version, customers in enumerate(({"a": first}, {"a": newer}, {})):
            configuration = Configuration(version, {}, {}, LIMITS, customers)
            watcher._apply_configuration(configuration, False)
        self.assertEqual(watcher.find_customer("a"), newer)

    def test_nothing_is_limited_without_customers(self):
        # Jobs of a fleet that gave up customers would otherwise keep their old limits.
        watcher = ConfigurationWatcher(None, lambda: 0.0, lambda: None)
        customers = {"a": Customer("a", 2.0, Resources(1000))}
        for version, known in enumerate((customers, None)):
            configuration = Configuration(version, {}, {}, LIMITS, known)
            watcher._apply_configuration(configuration, False)
        self.assertEqual(watcher.find_customer("a"), Customer("a", 1.0, Resources()))
