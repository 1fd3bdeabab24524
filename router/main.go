// Command router runs one instance of the router fleet.
package main

import (
	"os"

	"lacewingcove/router/lacerouter"
)

func main() {
	os.Exit(lacerouter.Run(os.Args[1:], os.Stderr))
}
