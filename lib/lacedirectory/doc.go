// Package lacedirectory registers an instance in the platform's store and tells callers which instances to use.
package lacedirectory
