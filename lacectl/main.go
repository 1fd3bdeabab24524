// Command lacectl is the operators' command-line client for a lacewingcove fleet; docs/admin.md describes it.
package main

import (
	"os"

	"lacewingcove/lacectl/lacecontrol"
)

func main() {
	os.Exit(lacecontrol.Main())
}
