// Command loadgen runs workloads against a fleet of instances, checks every response and the billed tokens, and runs
// experiments.
package main

import (
	"os"

	"lacewingcove/loadgen/lacecommand"
)

func main() {
	os.Exit(lacecommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
