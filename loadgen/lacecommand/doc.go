// Package lacecommand is the command line of the load and experiment tool.
package lacecommand
