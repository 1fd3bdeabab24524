// Package lacecommand implements the command line of the load and experiment tool.
package lacecommand
