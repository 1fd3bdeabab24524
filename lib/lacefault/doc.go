// Package lacefault defines the closed set of outcomes and error codes that are returned to callers.
package lacefault
