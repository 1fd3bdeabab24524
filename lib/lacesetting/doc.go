// Package lacesetting reads the settings of a router process from a YAML file and from flags.
package lacesetting
