// Command standin emulates everything around a lacewingcove fleet: the platform, the instance list, engines, services and
// the weight store.
package main

import (
	"os"

	"lacewingcove/standin/lacestandin"
)

func main() {
	os.Exit(lacestandin.Main())
}
