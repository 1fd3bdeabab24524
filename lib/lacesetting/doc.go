// Package lacesetting loads the settings of a router process from a YAML file and command line flags.
package lacesetting
