// Command standin emulates the external systems that a lacewingcove fleet depends on: the platform's key-value store,
// the instance list, model engines, plain services and the weight store.
package main

import (
	"os"

	"lacewingcove/standin/lacestandin"
)

func main() {
	os.Exit(lacestandin.Main())
}
