#ifndef JACKDAW_CONFIG_TESTS_EXAMPLES_H
#define JACKDAW_CONFIG_TESTS_EXAMPLES_H

#include "config/types.h"

#include <string>

namespace config::examples {

/// A valid service file with one workspace, whose key is `Key`.
inline std::string serviceText(const std::string &Key = "key-of-acme",
                               int Slots = 90) {
  return "[backend]\nslots = " + std::to_string(Slots) +
         "\nconnections = 600\n\n[[workspace]]\nname = \"acme\"\n"
         "key_digests = [\"" +
         digestKey(Key).str() +
         "\"]\nrate = 100\nburst = 20.5\n\n[[route]]\nprefix = \"/\"\n";
}

/// A valid `fleet.toml` with one data centre.
inline std::string fleetText() {
  return "[fleet]\nslices_per_data_centre = 2\n\n[[data_centre]]\n"
         "name = \"dc1\"\nregion = \"north\"\n";
}

} // namespace config::examples

#endif // JACKDAW_CONFIG_TESTS_EXAMPLES_H
