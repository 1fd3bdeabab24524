// Command lacectl is the operators' command line of a lacewingcove fleet; docs/admin.md describes it.
package main

import (
	"os"

	"lacewingcove/lacectl/lacecontrol"
)

func main() {
	os.Exit(lacecontrol.Main())
}
