// Package lacerouter assembles a router instance from the services of the library and runs it.
package lacerouter
