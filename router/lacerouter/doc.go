// Package lacerouter assembles a router instance from the services of the library (gateway, budget ledger, fleet
// membership, offline journal, configuration replica, administration API and others) and runs it.
package lacerouter
